// Package listener runs an HTTP server on its own listening socket.
//
// # Usage
//
//	server, err := listener.Listen(network, "127.0.0.1:7101", handler, listener.Options{Budget: budget})
//	url := server.URL()
//	err = server.Stop(ctx)
package listener

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("listener")

const (
	// readHeaderTimeout limits the time to read a request header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout limits the time between two requests on a connection.
	idleTimeout = time.Minute
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 32 << 10
)

// Listener is an HTTP server that listens on one address.
type Listener struct {
	server  http.Server
	guard   *Guard
	address string
	done    chan struct{}
}

// Listen listens on address and starts to serve handler.
func Listen(network networker.Network, address string, handler http.Handler, options Options) (*Listener, error) {
	socket, err := network.Listen(address)
	if err != nil {
		return nil, Error.New("opening the listener: %w", err)
	}
	guard := NewGuard(socket, options)
	listener := &Listener{
		server: http.Server{
			Handler:           guard.Handler(handler),
			ConnState:         guard.ConnState,
			ConnContext:       guard.ConnContext,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		guard:   guard,
		address: socket.Addr().String(),
		done:    make(chan struct{}),
	}
	go listener.serve()
	return listener, nil
}

func (l *Listener) serve() {
	defer close(l.done)
	_ = l.server.Serve(l.guard)
}

// URL returns the base URL of the server.
func (l *Listener) URL() string {
	return "http://" + l.address
}

// Stop closes the socket and waits for the requests in flight; see [Guard.Stop]. When ctx
// is done first, it closes their connections and returns an error.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.guard.Stop(ctx, &l.server)
	<-l.done
	if err != nil {
		return Error.New("stopping the listener: %w", err)
	}
	return nil
}
