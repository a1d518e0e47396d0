// Package acceptor is the HTTP server for the callers of a router. It validates
// requests, passes them to the forwarder and streams the responses back.
//
// Each response reports the outcome of the request in Marigold-Outcome;
// docs/CALLERS.md describes the interface. When the response of a backend server is
// truncated, the connection to the caller is aborted, so that the caller never takes
// a partial body for a complete one. The response to a request that was given up is
// sent at once.
//
// [Routed] is the HTTP handler of a router in routed mode.
//
// # Usage
//
//	a := acceptor.New(acceptor.Settings{Listen: "127.0.0.1:8000", Name: "r1"}, acceptor.Options{
//		Network: networker.TCP{}, Locator: locator, Forwarder: forwarder, Lease: lease, Log: log, Metrics: set})
//	err := registry.Add(a) // a *registrar.Registrar
package acceptor

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/registrar"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
	"marigoldhill/router/locator"
)

// Error is the class of all errors of this package.
var Error = errs.Class("acceptor")

// ServiceName is the name of an Acceptor in a [registrar.Registrar].
const ServiceName = "acceptor"

const (
	// MaxHeader is the maximum size of a request header in bytes.
	MaxHeader = 16 << 10
	// DefaultMaxBodyBytes is the default for Settings.MaxBodyBytes.
	DefaultMaxBodyBytes = 64 << 20
	// HeaderTimeout limits the time to read a request header.
	HeaderTimeout = 10 * time.Second
	// ReadGrace is how long after the deadline of a request its body may still be
	// read.
	ReadGrace = 50 * time.Millisecond
	// WriteGrace is how long after the deadline of a request its response may still be
	// written.
	WriteGrace = 2 * time.Second
	// ConnIdleTimeout is how long an idle connection is kept open.
	ConnIdleTimeout = 2 * time.Minute
)

// Forwarder sends requests to the owners of their keys. [forwarder.Forwarder]
// implements it.
type Forwarder interface {
	Forward(ctx context.Context, request *messenger.Request, profile *messenger.Profile, body io.Reader) executor.Answer
}

// Settings are the settings of the caller interface.
type Settings struct {
	// Listen is the address that callers connect to, host:port.
	Listen string `yaml:"listen"`
	// MaxBodyBytes is the maximum size of a request body in bytes; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64 `yaml:"body"`
	// Name is the name of the router. Request IDs start with it.
	Name string `yaml:"-"`
}

// Options are the dependencies of an Acceptor.
type Options struct {
	Network   networker.Network
	Locator   *locator.Locator
	Forwarder Forwarder
	Lease     forwarder.Lease
	// Clients are the limits of the listener.
	Clients listener.Options
	Log     *logger.Log
	// Metrics is the set that the counters are registered in.
	Metrics *metrics.Set
}

// Acceptor serves the requests of callers. It is a [registrar.Service].
type Acceptor struct {
	settings   Settings
	options    Options
	requestIDs *idGenerator
	counters   *counters
	server     *http.Server
	guard      *listener.Guard
	serveDone  chan struct{}
}

var _ registrar.Service = (*Acceptor)(nil)

// New returns an Acceptor that does not listen yet.
func New(settings Settings, options Options) *Acceptor {
	if settings.MaxBodyBytes == 0 {
		settings.MaxBodyBytes = DefaultMaxBodyBytes
	}
	a := &Acceptor{
		settings:   settings,
		options:    options,
		requestIDs: newIDGenerator(settings.Name),
		counters:   newCounters(options.Metrics),
		serveDone:  make(chan struct{}),
	}
	a.server = &http.Server{
		Handler:           a.routes(),
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       ConnIdleTimeout,
		// Twice the limit, so that this package refuses headers that are slightly
		// too large, and net/http only those that are far larger.
		MaxHeaderBytes: 2 * MaxHeader,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
	return a
}

// routes returns a handler that calls handle for every path and method. It bypasses
// the router of echo, which would normalize the path first.
func (a *Acceptor) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return a.handle })
	return e
}

// Name implements [registrar.Service].
func (a *Acceptor) Name() string {
	return ServiceName
}

// Dependencies implements [registrar.Service].
func (a *Acceptor) Dependencies() []string {
	return nil
}

// Start implements [registrar.Service]. It starts to listen.
func (a *Acceptor) Start(context.Context, *registrar.Registrar) error {
	socket, err := a.options.Network.Listen(a.settings.Listen)
	if err != nil {
		return Error.New("listening for callers: %w", err)
	}
	a.guard = listener.NewGuard(socket, a.options.Clients)
	a.server.Handler = a.guard.Handler(a.server.Handler)
	a.server.ConnState = a.guard.ConnState
	a.server.ConnContext = a.guard.ConnContext
	go func() {
		defer close(a.serveDone)
		// Serve returns when Stop closes the listener.
		_ = a.server.Serve(&inspectingListener{Listener: a.guard, counters: a.counters})
	}()
	a.options.Log.Emit(logger.CallerListening, "address", a.Address())
	return nil
}

// Address returns the address that the listener is bound to.
func (a *Acceptor) Address() string {
	return a.guard.Addr().String()
}

// Stop implements [registrar.Service]. It accepts no more requests and waits for those
// in flight. When ctx is done first, it closes their connections.
func (a *Acceptor) Stop(ctx context.Context) error {
	err := a.guard.Stop(ctx, a.server)
	if err != nil {
		err = Error.New("closing connections with requests in flight: %w", err)
	}
	<-a.serveDone
	return err
}
