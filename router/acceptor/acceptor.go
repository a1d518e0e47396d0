// Package acceptor is the caller interface of a router: it takes HTTP requests,
// checks them, hands them to the forwarder and streams the answers back.
//
// Each answer says in Marigold-Outcome what became of the request; docs/CALLERS.md
// describes the interface. An answer that is cut short reaches the caller as an
// aborted connection, never as a short success. A request that is given up gets
// its answer at once.
//
// # Usage
//
//	a := acceptor.New(acceptor.Settings{Listen: "127.0.0.1:8000", Name: "r1"}, acceptor.Options{
//		Network: networker.TCP{}, Locator: locator, Forwarder: forwarder, Lease: lease, Log: log, Metrics: set})
//	err := kernel.Add(a) // a service of the registrar, named "acceptor"
package acceptor

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

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

// ServiceName is the name in the registrar.
const ServiceName = "acceptor"

const (
	// MaxHeader is the largest header in bytes.
	MaxHeader = 16 << 10
	// DefaultMaxBody is the largest body in bytes unless the settings say
	// otherwise.
	DefaultMaxBody = 64 << 20
	// HeaderTime bounds the reading of a header.
	HeaderTime = 10 * time.Second
	// ReadGrace is how long after its deadline a request's body may still be
	// waited for.
	ReadGrace = 50 * time.Millisecond
	// WriteGrace is how long after the deadline a caller may take to read the
	// answer.
	WriteGrace = 2 * time.Second
	// IdleTime is how long an idle connection is kept.
	IdleTime = 2 * time.Minute
)

// Forwarder brings requests to their owners; [forwarder.Forwarder] is one.
type Forwarder interface {
	Forward(ctx context.Context, request *messenger.Request, profile *messenger.Profile, body io.Reader) executor.Answer
}

// Settings are the settings of the caller interface.
type Settings struct {
	// Listen is the address that callers connect to, host:port.
	Listen string `yaml:"listen"`
	// MaxBody is the largest body in bytes; 0 takes DefaultMaxBody.
	MaxBody int64 `yaml:"body"`
	// Name is the name of the router, a part of request numbers.
	Name string `yaml:"-"`
}

// Options are what an Acceptor works with.
type Options struct {
	Network   networker.Network
	Locator   *locator.Locator
	Forwarder Forwarder
	Lease     forwarder.Lease
	Log       *logger.Log
	// Metrics gets the counters.
	Metrics *metrics.Set
}

// Acceptor serves callers. It is a [registrar.Service].
type Acceptor struct {
	settings Settings
	options  Options
	numbers  *numberer
	counters *counters
	server   *http.Server
	listener net.Listener
	served   chan struct{}
}

var _ registrar.Service = (*Acceptor)(nil)

// New returns an Acceptor that does not listen yet.
func New(settings Settings, options Options) *Acceptor {
	if settings.MaxBody == 0 {
		settings.MaxBody = DefaultMaxBody
	}
	a := &Acceptor{
		settings: settings,
		options:  options,
		numbers:  newNumberer(settings.Name),
		counters: newCounters(options.Metrics),
		served:   make(chan struct{}),
	}
	a.server = &http.Server{
		Handler:           a.routes(),
		ReadHeaderTimeout: HeaderTime,
		IdleTimeout:       IdleTime,
		// Twice the limit, so that this package refuses a header that is
		// somewhat too large, and net/http only what is far beyond.
		MaxHeaderBytes: 2 * MaxHeader,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
	return a
}

// routes hands every path and method to one handler, ahead of echo's router,
// which would clean paths first.
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

// Needs implements [registrar.Service].
func (a *Acceptor) Needs() []string {
	return nil
}

// Start opens the listener.
func (a *Acceptor) Start(context.Context, *registrar.Registrar) error {
	listener, err := a.options.Network.Listen(a.settings.Listen)
	if err != nil {
		return Error.New("opening the caller interface: %w", err)
	}
	a.listener = listener
	go func() {
		defer close(a.served)
		// Serve returns when Stop closes the listener.
		_ = a.server.Serve(&inspected{Listener: a.listener, counters: a.counters})
	}()
	a.options.Log.Emit(logger.CallerListening, "address", a.Address())
	return nil
}

// Address is the address that the listener got.
func (a *Acceptor) Address() string {
	return a.listener.Addr().String()
}

// Stop accepts no more requests and waits for those in flight until ctx ends;
// then it cuts them off.
func (a *Acceptor) Stop(ctx context.Context) error {
	err := a.server.Shutdown(ctx)
	if err != nil {
		err = Error.New("requests were still in flight: %w", err)
		_ = a.server.Close()
	}
	<-a.served
	return err
}
