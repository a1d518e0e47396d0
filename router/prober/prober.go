// Package prober tracks the state of the backend server on the router's VM.
//
// The state is derived from announcements, probes of the health endpoint and the
// outcomes of real requests, which take precedence. [StateMachine] makes the decisions. It
// is owned by one goroutine; request handlers read an immutable [View]. In routed mode a
// router uses package monitor instead.
//
// # Usage
//
//	probes := prober.New(prober.Options{Network: network, OnChange: onChange, Log: log, Metrics: metrics})
//	go probes.Run(ctx)
//	probes.Announce(row)
//	probes.Observe(prober.TrafficAnswered)
//	if probes.View().State != messenger.ServerReady { ... }
package prober

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("prober")

const (
	// probeInterval is the time between two probes.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 200 * time.Millisecond
	// evidenceBuffer is the number of observations that are queued for Run.
	evidenceBuffer = 256
)

// View is the state of the backend server. It is immutable.
type View struct {
	State messenger.ServerState
	// Row is the last announcement, nil before the first one.
	Row *messenger.ServerRow
}

// Options are the dependencies of a Prober.
type Options struct {
	Network networker.Network
	// OnChange is called from the goroutine of Run after the view has changed. It must
	// not block.
	OnChange func(view *View)
	Log      *logger.Log
	Metrics  *metrics.Set
}

// Prober tracks the state of one backend server.
type Prober struct {
	options  Options
	machine  *StateMachine
	row      *messenger.ServerRow
	view     atomic.Pointer[View]
	evidence chan observation
	// answerQueued is set while evidence holds a TrafficAnswered.
	answerQueued atomic.Bool
	probing      bool
}

// observation is evidence; row is set for an announcement.
type observation struct {
	evidence Evidence
	row      *messenger.ServerRow
	// probe is set if the observation is the result of a probe.
	probe bool
}

// New returns a Prober without a backend server.
func New(options Options) *Prober {
	prober := &Prober{
		options:  options,
		machine:  NewStateMachine(),
		evidence: make(chan observation, evidenceBuffer),
	}
	prober.view.Store(&View{State: messenger.ServerAbsent})
	return prober
}

// View returns the current view.
func (p *Prober) View() *View {
	return p.view.Load()
}

// Announce adds an announcement of the backend server.
func (p *Prober) Announce(row messenger.ServerRow) {
	p.enqueue(observation{evidence: Announced, row: &row})
}

// Observe adds evidence from traffic or of a withdrawal. It does not block: if the buffer
// is full, the evidence is dropped and counted.
func (p *Prober) Observe(evidence Evidence) {
	if evidence == TrafficAnswered && !p.answerQueued.CompareAndSwap(false, true) {
		return
	}
	p.enqueue(observation{evidence: evidence})
}

func (p *Prober) enqueue(observation observation) {
	select {
	case p.evidence <- observation:
	default:
		p.options.Metrics.GetOrCreateCounter(`marigold_evidence_dropped_total`).Inc()
	}
}

// Run probes the backend server and processes evidence until ctx is done. It must be
// called only once.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.probe(ctx)
		case observation := <-p.evidence:
			p.apply(observation)
			if observation.row != nil {
				p.probe(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) apply(observation observation) {
	if observation.probe {
		p.probing = false
	}
	if observation.evidence == TrafficAnswered {
		p.answerQueued.Store(false)
	}
	if observation.row != nil {
		p.row = observation.row
	}
	p.publish(p.machine.Observe(timer.Now(), observation.evidence))
}

// publish stores, logs and passes on the view if it has changed.
func (p *Prober) publish(state messenger.ServerState) {
	previous := p.view.Load()
	if previous.State == state && isSameRow(previous.Row, p.row) {
		return
	}
	view := &View{State: state, Row: p.row}
	p.view.Store(view)
	if p.row != nil && !isSameRow(previous.Row, p.row) {
		p.options.Log.Emit(logger.ServerAnnounced, "server", p.row.Name, "service", p.row.Service, "slots", p.row.Slots)
	}
	if previous.State != state {
		p.options.Log.Emit(logger.ServerStateChanged, "from", previous.State, "to", state)
		p.options.Metrics.GetOrCreateCounter(
			`marigold_server_changes_total{reason="` + string(state) + `"}`).Inc()
	}
	p.options.OnChange(view)
}

func isSameRow(a, b *messenger.ServerRow) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// probe starts a probe, unless one is running or no server has announced itself.
func (p *Prober) probe(ctx context.Context) {
	if p.probing || p.row == nil {
		return
	}
	p.probing = true
	url := p.row.URL
	go func() {
		observation := observation{evidence: checkHealth(ctx, p.options.Network, url), probe: true}
		select {
		case p.evidence <- observation:
		case <-ctx.Done():
		}
	}()
}
