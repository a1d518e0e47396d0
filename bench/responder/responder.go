// Package responder is a stand-in backend server for experiments. It announces
// itself to its router, runs requests in a limited number of slots and responds
// with JSON that names the server and how often it ran the request.
//
// It can inject faults: a freeze by [Server.Freeze] until [Server.Thaw], a crash
// by [Server.Crash] or by a request whose route is "crash", load shedding, a cold
// start, delayed reports of load, and false reports of load and health.
//
// # Usage
//
//	settings := responder.DefaultSettings()
//	settings.Name, settings.Service = "d1", "findings"
//	settings.Listen, settings.Router = "127.0.0.1:9001", "http://127.0.0.1:7001"
//	server := responder.New(settings, networker.TCP{}, responder.NewRunCounter())
//	if err := server.Start(ctx); err != nil { ... }
//	defer server.Stop(ctx)
package responder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/bench/transporter"
	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("responder")

// Server is a stand-in backend server.
type Server struct {
	settings   Settings
	network    networker.Network
	runCounter *RunCounter
	gate       *gate
	client     *http.Client

	mutex    sync.Mutex // guards instance, address and stopped
	instance *instance
	// address is kept across restarts, so that the router can reach the server
	// again.
	address      string
	stopped      bool
	restartTimer *time.Timer
	crashes      atomic.Int64
}

// instance is the state of one run of the server, from a start to the next crash
// or stop.
type instance struct {
	startedAt time.Time
	http      *http.Server
	slots     chan struct{}
	fences    *fences
	reporter  *reporter
	running   atomic.Int64
	queued    atomic.Int64
	// draining is reported as health. leaving suppresses further announcements.
	draining atomic.Bool
	leaving  atomic.Bool
	done     chan struct{}
	workers  sync.WaitGroup
}

// New returns a Server that is not yet started.
func New(settings Settings, network networker.Network, runCounter *RunCounter) *Server {
	client := transporter.New(network, maxIdleConns)
	client.Timeout = announceTimeout
	return &Server{
		settings:   settings,
		network:    network,
		runCounter: runCounter,
		gate:       newGate(),
		client:     client,
	}
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.settings.Name }

// URL returns the base URL of the server, empty before its first start.
func (s *Server) URL() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.address == "" {
		return ""
	}
	return "http://" + s.address
}

// RunCounter returns the counter passed to New.
func (s *Server) RunCounter() *RunCounter { return s.runCounter }

// Crashes returns how often the server has crashed.
func (s *Server) Crashes() int { return int(s.crashes.Load()) }

// Start opens the listener, serves requests and announces the server to its router
// in the background.
func (s *Server) Start(context.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = false
	return s.startInstance()
}

// startInstance opens the listener and starts a new instance. The caller must hold
// mutex.
func (s *Server) startInstance() error {
	address := s.address
	if address == "" {
		address = s.settings.Listen
	}
	listener, err := s.network.Listen(address)
	if err != nil {
		return Error.New("starting server %s: %w", s.settings.Name, err)
	}
	s.address = listener.Addr().String()
	instance := &instance{
		startedAt: time.Now(),
		slots:     make(chan struct{}, s.settings.actualSlots()),
		fences:    newFences(),
		done:      make(chan struct{}),
	}
	instance.reporter = newReporter(s.settings, instance)
	instance.http = &http.Server{Handler: s.routes(instance), ReadHeaderTimeout: headerTimeout}
	s.instance = instance
	instance.workers.Go(func() { _ = instance.http.Serve(listener) })
	instance.workers.Go(func() { instance.reporter.refreshLoop(instance.done) })
	if s.settings.Router != "" {
		instance.workers.Go(func() { s.announceLoop(instance) })
	}
	return nil
}

// Stop shuts the server down gracefully: it announces the shutdown to the router,
// waits until it holds no shards, and stops. If ctx is done first, it stops
// immediately.
func (s *Server) Stop(ctx context.Context) error {
	s.Thaw()
	instance := s.currentInstance()
	if instance == nil {
		return nil
	}
	instance.draining.Store(true)
	instance.leaving.Store(true)
	var err error
	if s.settings.Router != "" {
		err = s.leave(ctx, instance)
	}
	s.stopInstance(false)
	return err
}

// Kill stops the server immediately, without notifying its router.
func (s *Server) Kill() {
	s.stopInstance(false)
	s.Thaw()
}

// Crash stops the server as a fatal error would. It restarts after
// Settings.Revive, unless that is 0.
func (s *Server) Crash() {
	s.crashes.Add(1)
	s.stopInstance(true)
}

// Freeze blocks announcements and requests until Thaw. Connections stay open. Requests
// to PathRuns, PathFreeze and PathCrash are still served.
func (s *Server) Freeze() { s.gate.pause() }

// Thaw ends a freeze. Blocked requests continue.
func (s *Server) Thaw() { s.gate.resume() }

func (s *Server) currentInstance() *instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.instance
}

// stopInstance closes the listener and all connections. With restart set it
// schedules a restart after Settings.Revive, otherwise it cancels a pending one.
func (s *Server) stopInstance(restart bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !restart {
		s.stopped = true
		if s.restartTimer != nil {
			s.restartTimer.Stop()
		}
	}
	instance := s.instance
	s.instance = nil
	if instance == nil {
		return
	}
	close(instance.done)
	_ = instance.http.Close()
	s.client.CloseIdleConnections()
	if restart && s.settings.Revive > 0 {
		s.restartTimer = time.AfterFunc(s.settings.Revive, s.restart)
	}
}

func (s *Server) restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.instance != nil {
		return
	}
	if err := s.startInstance(); err != nil {
		s.restartTimer = time.AfterFunc(s.settings.Revive, s.restart)
	}
}
