// Package responder is a stand-in backend server for trials. It announces
// itself to its router, runs requests in a bounded number of slots and answers
// them with JSON that says which server ran them and how often.
//
// Faults can be caused on purpose: [Server.Freeze] and [Server.Thaw], a crash by
// [Server.Crash] or by a request whose route is "crash", shedding, a cold start,
// and reports of load and health that lag or lie.
//
// # Usage
//
//	settings := responder.Defaults()
//	settings.Name, settings.Service = "d1", "findings"
//	settings.Listen, settings.Router = "127.0.0.1:9001", "http://127.0.0.1:7001"
//	server := responder.New(settings, networker.TCP{}, responder.NewLedger())
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
	settings Settings
	network  networker.Network
	ledger   *Ledger
	gate     *gate
	client   *http.Client

	mutex sync.Mutex // guards life, address and ended
	life  *life
	// address is kept over restarts, so that the router finds the server again.
	address string
	ended   bool
	revival *time.Timer
	crashes atomic.Int64
}

// life is what ends when the server crashes or stops.
type life struct {
	born    time.Time
	http    *http.Server
	slots   chan struct{}
	fences  *fences
	reports *reports
	running atomic.Int64
	queued  atomic.Int64
	// draining is reported as health; leaving ends the announcements.
	draining atomic.Bool
	leaving  atomic.Bool
	done     chan struct{}
	workers  sync.WaitGroup
}

// New returns a server that is not started.
func New(settings Settings, network networker.Network, ledger *Ledger) *Server {
	client := transporter.New(network, announceIdle)
	client.Timeout = announceTimeout
	return &Server{
		settings: settings,
		network:  network,
		ledger:   ledger,
		gate:     newGate(),
		client:   client,
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

// Ledger returns the counts of runs.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Crashes returns how often the server has crashed.
func (s *Server) Crashes() int { return int(s.crashes.Load()) }

// Start serves and announces.
func (s *Server) Start(context.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = false
	return s.begin()
}

// begin opens the listener and starts a new life. The caller holds mutex.
func (s *Server) begin() error {
	address := s.address
	if address == "" {
		address = s.settings.Listen
	}
	listener, err := s.network.Listen(address)
	if err != nil {
		return Error.New("starting server %s: %w", s.settings.Name, err)
	}
	s.address = listener.Addr().String()
	life := &life{
		born:   time.Now(),
		slots:  make(chan struct{}, s.settings.realSlots()),
		fences: newFences(),
		done:   make(chan struct{}),
	}
	life.reports = newReports(s.settings, life)
	life.http = &http.Server{Handler: s.routes(life), ReadHeaderTimeout: headerTimeout}
	s.life = life
	life.workers.Go(func() { _ = life.http.Serve(listener) })
	life.workers.Go(func() { life.reports.run(life.done) })
	if s.settings.Router != "" {
		life.workers.Go(func() { s.announceUntil(life) })
	}
	return nil
}

// Stop leaves in order: it announces that it goes, waits until it holds no
// shards, and ends. When ctx ends first, it ends at once.
func (s *Server) Stop(ctx context.Context) error {
	s.Thaw()
	life := s.living()
	if life == nil {
		return nil
	}
	life.draining.Store(true)
	life.leaving.Store(true)
	var failure error
	if s.settings.Router != "" {
		failure = s.leave(ctx, life)
	}
	s.end(false)
	return failure
}

// Kill ends the server at once, with no word to its router.
func (s *Server) Kill() {
	s.end(false)
	s.Thaw()
}

// Crash ends the server as a fatal fault would; it starts again after
// Settings.Revive.
func (s *Server) Crash() {
	s.crashes.Add(1)
	s.end(true)
}

// Freeze makes the server answer nothing until Thaw. Its connections stay open.
func (s *Server) Freeze() { s.gate.shut() }

// Thaw ends a freeze. What was held up goes on as if nothing had happened.
func (s *Server) Thaw() { s.gate.open() }

func (s *Server) living() *life {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.life
}

// end closes the listener and all connections, and plans the revival.
func (s *Server) end(revive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !revive {
		s.ended = true
		if s.revival != nil {
			s.revival.Stop()
		}
	}
	life := s.life
	s.life = nil
	if life == nil {
		return
	}
	close(life.done)
	_ = life.http.Close()
	s.client.CloseIdleConnections()
	if revive && s.settings.Revive > 0 {
		s.revival = time.AfterFunc(s.settings.Revive, s.revive)
	}
}

func (s *Server) revive() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended || s.life != nil {
		return
	}
	if err := s.begin(); err != nil {
		s.revival = time.AfterFunc(s.settings.Revive, s.revive)
	}
}
