// Package prober judges the state of the backend server beside the router.
//
// It weighs announcements, probes of the health endpoint and, above both, what
// became of real requests. The decisions are in [Judge]; one goroutine owns it,
// and traffic reads an immutable [View].
//
// # Usage
//
//	probes := prober.New(prober.Options{Network: network, Changed: changed, Log: log, Metrics: metrics})
//	go probes.Run(ctx)
//	probes.Announce(row)
//	probes.See(prober.TrafficAnswered)
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
	// probeTime bounds one probe.
	probeTime = 200 * time.Millisecond
	// maxEvidence is how many pieces of evidence wait for the goroutine of Run.
	maxEvidence = 256
)

// View is the backend server as it is judged. It is immutable.
type View struct {
	State messenger.ServerState
	// Row is what the server announced, nil before that.
	Row *messenger.ServerRow
}

// Options are the parts that a Prober works with.
type Options struct {
	Network networker.Network
	// Changed is called from the goroutine of Run after the view changed. It
	// must not block.
	Changed func(view *View)
	Log     *logger.Log
	Metrics *metrics.Set
}

// Prober judges one backend server.
type Prober struct {
	options  Options
	judge    *Judge
	row      *messenger.ServerRow
	view     atomic.Pointer[View]
	evidence chan sighting
	// answered says that an answer to a request waits in evidence already.
	answered atomic.Bool
	probing  bool
}

// sighting is one piece of evidence, with the row of an announcement.
type sighting struct {
	evidence Evidence
	row      *messenger.ServerRow
	// probe says that a probe ended with it.
	probe bool
}

// New returns a Prober that knows no backend server yet.
func New(options Options) *Prober {
	prober := &Prober{
		options:  options,
		judge:    NewJudge(),
		evidence: make(chan sighting, maxEvidence),
	}
	prober.view.Store(&View{State: messenger.ServerAbsent})
	return prober
}

// View returns the newest view.
func (p *Prober) View() *View {
	return p.view.Load()
}

// Announce takes an announcement.
func (p *Prober) Announce(row messenger.ServerRow) {
	p.put(sighting{evidence: Announced, row: &row})
}

// See takes evidence of traffic or of a withdrawal. It never blocks: evidence
// that finds no room is dropped and counted.
func (p *Prober) See(evidence Evidence) {
	if evidence == TrafficAnswered && !p.answered.CompareAndSwap(false, true) {
		return
	}
	p.put(sighting{evidence: evidence})
}

func (p *Prober) put(sighting sighting) {
	select {
	case p.evidence <- sighting:
	default:
		p.options.Metrics.GetOrCreateCounter(`marigold_evidence_dropped_total`).Inc()
	}
}

// Run judges until ctx ends. It must be called once.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.probe(ctx)
		case sighting := <-p.evidence:
			p.take(sighting)
			if sighting.row != nil {
				p.probe(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) take(sighting sighting) {
	if sighting.probe {
		p.probing = false
	}
	if sighting.evidence == TrafficAnswered {
		p.answered.Store(false)
	}
	if sighting.row != nil {
		p.row = sighting.row
	}
	p.publish(p.judge.Take(timer.Now(), sighting.evidence))
}

// publish makes a changed view known.
func (p *Prober) publish(state messenger.ServerState) {
	before := p.view.Load()
	if before.State == state && isSameRow(before.Row, p.row) {
		return
	}
	view := &View{State: state, Row: p.row}
	p.view.Store(view)
	if p.row != nil && !isSameRow(before.Row, p.row) {
		p.options.Log.Emit(logger.ServerAnnounced, "server", p.row.Name, "service", p.row.Service, "slots", p.row.Slots)
	}
	if before.State != state {
		p.options.Log.Emit(logger.ServerChanged, "from", before.State, "to", state)
		p.options.Metrics.GetOrCreateCounter(
			`marigold_server_changes_total{reason="` + string(state) + `"}`).Inc()
	}
	p.options.Changed(view)
}

func isSameRow(a, b *messenger.ServerRow) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// probe starts a probe, unless one runs or there is nothing to probe.
func (p *Prober) probe(ctx context.Context) {
	if p.probing || p.row == nil {
		return
	}
	p.probing = true
	url := p.row.URL
	go func() {
		sighting := sighting{evidence: check(ctx, p.options.Network, url), probe: true}
		select {
		case p.evidence <- sighting:
		case <-ctx.Done():
		}
	}()
}
