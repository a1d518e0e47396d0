package searcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/holder"
	"marigoldhill/router/keeper"
	"marigoldhill/router/mapper"
	"marigoldhill/router/monitor"
)

// host is a VM with a router and a backend server. world.mu guards it.
type host struct {
	number  int
	name    string
	address string
	// process is the running router process, nil while there is none; server the
	// running or the last backend server.
	process *process
	server  *server
	// thaw is closed when the router is thawed; nil unless it is frozen.
	thaw     chan struct{}
	thawedAt time.Time
	// slowUntil is until when the router gets too little processor time.
	slowUntil time.Time
	// busy is set while a fault that lasts concerns the router, serverBusy the server.
	busy       bool
	serverBusy bool

	calls    *rand.Rand
	beats    *rand.Rand
	requests *rand.Rand
	announce *rand.Rand
}

// process is one router process, wired like assembler.Routed.
type process struct {
	w           *world
	host        *host
	ctx         context.Context
	cancel      context.CancelFunc
	log         *logger.Log
	pool        *linker.Pool
	mapper      *mapper.Mapper
	server      *monitor.Monitor
	keeper      *keeper.Keeper
	holder      *holder.Holder
	handingOver atomic.Bool
	// connected is the server to which the process has a connection, which ends with
	// that server. world.mu guards it.
	connected *server
	rangesMu  sync.Mutex
	members   []string
	reports   int
}

var errFault = errors.New("injected fault")

// traceWriter adds the log lines of a process to the trace.
type traceWriter struct{ p *process }

func (t traceWriter) Write(data []byte) (int, error) {
	for line := range strings.Lines(string(data)) {
		if _, text, ok := strings.Cut(strings.TrimSpace(line), "marigold: "); ok {
			text, _, _ = strings.Cut(text, " name=")
			_, fields, _ := strings.Cut(line, " event=")
			t.p.w.traceKeys(t.p.host.number, rangesOf(fields), "%s log: %s: event=%s", t.p.host.name, text, strings.TrimSpace(fields))
		}
	}
	return len(data), nil
}

// rangesOf returns the keys that a log line concerns.
func rangesOf(fields string) []keyRange {
	_, rest, ok := strings.Cut(fields, " from=")
	if !ok {
		return nil
	}
	var r keyRange
	if _, err := fmt.Sscanf(rest, "%d to=%d", &r.from, &r.to); err != nil {
		return nil
	}
	return []keyRange{r}
}

// startRouter starts a router process on a host.
func (w *world) startRouter(h *host) {
	p := &process{w: w, host: h, mapper: mapper.New(), members: w.control.addresses()}
	p.ctx, p.cancel = context.WithCancel(w.ctx)
	p.log = logger.New(traceWriter{p}, logger.FormatText, "router", h.name)
	hello := messenger.Hello{Cluster: "search", Version: messenger.Version, Role: messenger.RoleRouter, Name: h.name}
	p.pool = linker.NewPool(w.network.Node(h.name), linker.Options{Hello: hello})
	p.server = monitor.New(monitor.Options{
		Address:     h.address,
		OnChange:    p.serverChanged,
		IsConnected: p.isConnected,
		Log:         p.log,
	})
	p.keeper = keeper.New(keeper.Settings{
		Name: h.name, Address: h.name + ":1", Domain: h.name, Control: p.members,
	}, keeper.Options{
		Opener:           opener{p},
		HeartbeatHandler: p,
		OnMembers:        func(members []string) { p.members = members },
		Log:              p.log,
	})
	p.holder = holder.New(holder.Options{
		Caller: p, Lease: p.lease, LeaseDuration: messenger.LeaseDuration, OnChange: p.keeper.RequestHeartbeat, Log: p.log,
	})
	w.mu.Lock()
	h.process = p
	w.mu.Unlock()
	w.trace(h.number, "%s: router starts", h.name)
	go p.holder.Run(p.ctx)
	go p.keeper.Run(p.ctx)
	go p.watch()
}

// kill ends the process at once.
func (p *process) kill() {
	p.w.mu.Lock()
	if p.host.process == p {
		p.host.process = nil
		if p.host.thaw != nil {
			close(p.host.thaw)
			p.host.thaw = nil
		}
	}
	p.cancel()
	p.w.mu.Unlock()
	p.w.trace(p.host.number, "%s: router ends", p.host.name)
	p.pool.Close()
	p.log.Close()
}

// gate waits while the process is frozen and reports whether it still runs.
func (p *process) gate() bool {
	for {
		p.w.mu.Lock()
		thaw := p.host.thaw
		running := p.host.process == p
		p.w.mu.Unlock()
		if !running || p.ctx.Err() != nil {
			return false
		}
		if thaw == nil {
			return true
		}
		select {
		case <-thaw:
		case <-p.ctx.Done():
			return false
		}
	}
}

// starve waits for the processor.
func (p *process) starve(random *rand.Rand) {
	p.w.mu.Lock()
	delay := time.Duration(0)
	if time.Now().Before(p.host.slowUntil) && random.IntN(2) == 0 {
		delay = time.Duration(random.IntN(200)) * time.Millisecond
	}
	p.w.mu.Unlock()
	if delay > 0 {
		_ = sleep(p.ctx, delay)
	}
}

// sleep reports whether the time passed before ctx ended.
func sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch checks the announcements like assembler.Routed.
func (p *process) watch() {
	for sleep(p.ctx, 250*time.Millisecond) {
		if p.gate() {
			p.server.Tick(timer.Now())
		}
	}
}

func (p *process) isConnected() bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.connected != nil && p.connected.up
}

// dial reports whether a call or a request reaches the server that listens now, by the
// connection that is open or by a new one. The caller holds world.mu.
func (p *process) dial(random *rand.Rand) bool {
	s := p.host.server
	if !s.up || s.refusesUntil.After(time.Now()) && (p.connected != s || random.IntN(2) == 0) {
		return false
	}
	p.connected = s
	return true
}

func (p *process) lease() *keeper.Lease {
	p.starve(p.host.calls)
	p.gate()
	return p.keeper.Lease()
}

func (p *process) serverChanged(*monitor.View) {
	p.updateRanges()
	p.keeper.RequestHeartbeat()
}

func (p *process) updateRanges() {
	p.rangesMu.Lock()
	defer p.rangesMu.Unlock()
	view := p.server.View()
	routes, session := p.mapper.Load(), p.keeper.Session()
	p.holder.SetRecordedServer(routes.ServerOf(session))
	p.holder.SetRows(routes.OwnedRanges(service, session), view.Row, view.State)
}

// Report implements keeper.HeartbeatHandler.
func (p *process) Report(_ timer.Instant, _ uint64, heartbeat *messenger.Heartbeat) {
	p.gate()
	view := p.server.View()
	heartbeat.Routed = true
	heartbeat.Sole = true
	heartbeat.Server = view.Row
	heartbeat.State = view.State
	heartbeat.Revision = p.mapper.Load().Revision
	heartbeat.Leaving = p.handingOver.Load()
	heartbeat.Freed = p.holder.Freed()
	heartbeat.Members = messenger.HashAddresses(p.members)
	p.reports++
	if view.Row != nil && p.reports%2 == 0 {
		heartbeat.Work = p.workReport()
	}
}

// workReport reports a load that makes ranges move.
func (p *process) workReport() *messenger.RangeLoadReport {
	rows := p.mapper.Load().OwnedRanges(service, p.keeper.Session())
	if len(rows) == 0 {
		return nil
	}
	report := &messenger.RangeLoadReport{Span: 600 * time.Millisecond}
	hot := p.w.hotKey.Load()
	for _, row := range rows {
		arrivals := uint64(row.To-row.From)/512 + 1
		if row.From <= hot && hot <= row.To {
			report.Loads = append(report.Loads, messenger.RangeLoad{From: hot, To: hot, Arrivals: 40})
			report.Finished += 40
		}
		report.Loads = append(report.Loads, messenger.RangeLoad{From: row.From, To: row.To, Arrivals: arrivals})
		report.Finished += arrivals
	}
	report.Judged = report.Finished
	if p.w.failing.Load() == int64(p.host.number)+1 {
		report.Failed = report.Judged
	}
	report.Busy = time.Duration(report.Finished) * 20 * time.Millisecond
	return report
}

// Apply implements keeper.HeartbeatHandler.
func (p *process) Apply(_ uint64, delta *messenger.TableDelta) error {
	p.gate()
	if delta != nil {
		if err := p.mapper.Apply(delta); err != nil {
			return err
		}
	}
	p.updateRanges()
	return nil
}

// SessionEnded implements keeper.HeartbeatHandler.
func (p *process) SessionEnded(uint64) {
	p.gate()
	p.updateRanges()
}

// opener opens the streams of heartbeats.
type opener struct{ p *process }

func (o opener) Open(ctx context.Context, address string, kind messenger.Kind) (*linker.Stream, error) {
	o.p.starve(o.p.host.beats)
	if !o.p.gate() {
		return nil, errFault
	}
	return o.p.pool.Open(ctx, address, kind)
}

// Grant implements holder.Caller.
func (p *process) Grant(ctx context.Context, _ string, call *holder.Call) (holder.CallResult, error) {
	result, _, err := p.call(ctx, call)
	return result, err
}

// Release implements holder.Caller.
func (p *process) Release(ctx context.Context, _ string, call *holder.Call) (holder.CallResult, string, error) {
	return p.call(ctx, call)
}

// call passes a call to the backend server that listens now.
func (p *process) call(ctx context.Context, call *holder.Call) (holder.CallResult, string, error) {
	w := p.w
	noise := w.drawCallNoise(p.host, call)
	p.starve(p.host.calls)
	if !sleep(ctx, noise.delay) || !p.gate() {
		return holder.Unanswered, "", errFault
	}
	if ctx.Err() != nil && noise.abandoned {
		return holder.Unanswered, "", ctx.Err()
	}
	w.mu.Lock()
	s := p.host.server
	if !p.dial(p.host.calls) {
		w.mu.Unlock()
		p.server.DialRefused(timer.Now())
		w.count("refused")
		return holder.NotSent, "", errFault
	}
	isOther := w.isForOther(s, call) && !s.isFrozen(time.Now())
	w.mu.Unlock()
	if isOther {
		w.count("misdirected")
		w.traceCall(p.host.number, call, "%s refuses a call for %s", s, call.Server)
		return holder.Misdirected, "", nil
	}
	if noise.lost {
		w.traceCall(p.host.number, call, "%s: lost", p.host.name)
		<-ctx.Done()
		return holder.Unanswered, "", ctx.Err()
	}
	answer := make(chan answer, 2)
	w.deliver(p.host, s, call, noise, answer)
	select {
	case a := <-answer:
		if !sleep(ctx, noise.answerDelay) {
			return holder.Unanswered, "", errFault
		}
		if !p.gate() {
			return holder.Unanswered, "", errFault
		}
		return a.result, a.handover, nil
	case <-ctx.Done():
		p.gate()
		w.count("unanswered")
		w.traceCall(p.host.number, call, "%s: unanswered", p.host.name)
		return holder.Unanswered, "", ctx.Err()
	}
}

// isForOther reports whether a call names another server than s.
func (w *world) isForOther(s *server, call *holder.Call) bool {
	return s.name != call.Server || w.options.namedStarts && s.born != call.Born
}

// answer is the answer of a backend server.
type answer struct {
	result   holder.CallResult
	handover string
}

// deliver applies a call that arrives at a server now.
func (w *world) deliver(h *host, s *server, call *holder.Call, noise callNoise, answers chan<- answer) {
	w.mu.Lock()
	arrived := time.Now()
	thawed := !h.thawedAt.IsZero() && arrived.Sub(h.thawedAt) < thawSlack
	frozen := time.Until(s.frozenUntil)
	w.mu.Unlock()
	apply := func(late, answered bool, arrived time.Time) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !s.up {
			return
		}
		if w.isForOther(s, call) {
			if answered {
				answers <- answer{result: holder.Misdirected}
			}
			return
		}
		if late {
			w.count("applied late")
		}
		if !call.Release {
			result := s.grant(w, call, arrived, thawed, late)
			if answered {
				answers <- answer{result: result}
			}
			return
		}
		ends := s.release(w, call)
		if answered {
			go func() {
				if w.sleep(time.Until(ends)) && s.isUp(w) {
					answers <- answer{result: holder.Accepted, handover: "warm"}
				}
			}()
		}
	}
	switch {
	case frozen > 0:
		// The server reads the call when it runs again, unless it was reset before.
		if noise.abandoned {
			return
		}
		go func() {
			if w.sleep(frozen) {
				apply(true, true, arrived)
			}
		}()
	case noise.appliedAfter >= 0:
		go func() {
			if w.sleep(noise.appliedAfter) {
				apply(noise.appliedAfter > 0, false, arrived)
			}
		}()
	default:
		apply(false, true, arrived)
		if noise.doubledAfter > 0 {
			w.count("doubled")
			go func() {
				if w.sleep(noise.doubledAfter) {
					apply(true, false, time.Now())
				}
			}()
		}
	}
}

func (s *server) isUp(w *world) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.up
}
