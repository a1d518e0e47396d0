// Package listener serves HTTP on a listener of its own.
//
// # Usage
//
//	server, err := listener.Listen(network, "127.0.0.1:7101", handler)
//	url := server.URL()
//	err = server.Stop(ctx)
package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("listener")

const (
	// headerTime bounds the reading of a request's header.
	headerTime = 5 * time.Second
	// maxHeader is the largest header in bytes.
	maxHeader = 32 << 10
)

// Listener is one HTTP server at one address.
type Listener struct {
	server  http.Server
	address string
	done    chan struct{}
}

// Listen opens a listener at address and serves handler there.
func Listen(network networker.Network, address string, handler http.Handler) (*Listener, error) {
	socket, err := network.Listen(address)
	if err != nil {
		return nil, Error.New("opening the listener: %w", err)
	}
	listener := &Listener{
		server: http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTime,
			MaxHeaderBytes:    maxHeader,
		},
		address: socket.Addr().String(),
		done:    make(chan struct{}),
	}
	go listener.serve(socket)
	return listener, nil
}

func (l *Listener) serve(socket net.Listener) {
	defer close(l.done)
	_ = l.server.Serve(socket)
}

// URL is the base URL of the listener.
func (l *Listener) URL() string {
	return "http://" + l.address
}

// Stop ends the listener and waits for the requests on it, until ctx ends.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	<-l.done
	if err != nil {
		return Error.New("stopping the listener: %w", err)
	}
	return nil
}
