package searcher

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/holder"
	"marigoldhill/router/monitor"
)

const (
	service   = "findings"
	hostCount = 5
	// step is the time between two checks.
	step = 5 * time.Millisecond
	// calmTime is the time without faults at the start, faultTime when they end.
	calmTime  = 4 * time.Second
	faultTime = 24 * time.Second
	// maxAppliedAfter is how much later than it arrived an unanswered grant may be
	// applied.
	maxAppliedAfter = 12 * time.Second
)

// keyRange is a range of keys that includes both ends.
type keyRange struct {
	from uint32
	to   uint32
}

// event is a line of the trace. The host is -1 for the control group.
type event struct {
	at   time.Duration
	host int
	text string
	// ranges are the keys concerned, nil if the event concerns all.
	ranges []keyRange
}

func (e *event) concerns(key uint32) bool {
	for _, r := range e.ranges {
		if r.from <= key && key <= r.to {
			return true
		}
	}
	return e.ranges == nil
}

// plan has the faults of a seed and their frequency.
type plan struct {
	// faultInterval is the mean time between two faults of one kind at one host.
	faultInterval time.Duration
	weights       map[string]int
	// beatNoise and callNoise are the fractions of heartbeats and calls, in a
	// thousand, that a fault concerns.
	beatNoise int
	callNoise int
}

// options select kinds of faults that are not part of each run.
type options struct {
	// sameNames lets servers start again under the name that they had.
	sameNames bool
	// namedStarts makes calls name the start of their server, so that another start under
	// the same name refuses them.
	namedStarts bool
	// refusals lets the ports of servers that work refuse connections.
	refusals bool
}

// world is a control group with several hosts.
type world struct {
	seed    uint64
	options options
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	network *disrupter.SimulatedNetwork
	control *controlGroup
	plan    plan
	faults  *rand.Rand
	// hotKey is a key that gets much load, failing the number plus one of a host whose
	// server fails its requests.
	hotKey  atomic.Uint32
	failing atomic.Int64
	// wallOffset is the sum of all steps of the routers' wall clocks.
	wallOffset time.Duration

	mu         sync.Mutex
	hosts      []*host
	lives      []*server
	violations []violation
	checker

	// traceMu guards the fields below. It may be locked while mu is.
	traceMu sync.Mutex
	events  []event
	counts  map[string]int
}

func newWorld(seed uint64, options options) *world {
	w := &world{
		seed: seed, options: options, started: time.Now(), network: disrupter.New(time.Millisecond), counts: make(map[string]int),
		lives: []*server{nil}, checker: newChecker(),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.faults = w.newRandom("faults")
	w.plan = newPlan(w.faults)
	if options.refusals {
		w.plan.weights["refuse connections"] = 1 + w.faults.IntN(4)
	}
	w.control = newControlGroup(w)
	for n := range hostCount {
		name := fmt.Sprintf("r%d", n)
		w.hosts = append(w.hosts, &host{
			number: n, name: name, address: fmt.Sprintf("10.0.0.%d:80", n+1), calls: w.newRandom("calls" + name),
			beats: w.newRandom("beats" + name), requests: w.newRandom("requests" + name), announce: w.newRandom("announce" + name),
		})
	}
	return w
}

// The kinds of faults.
var faultKinds = []string{
	"kill router", "freeze router", "slow router", "drain router", "crash server", "flap server", "freeze server", "drain server",
	"change leader", "pause leader", "step clock", "heat", "fail", "step replica clock", "refuse connections",
}

func newPlan(random *rand.Rand) plan {
	p := plan{faultInterval: time.Duration(1500+random.IntN(6000)) * time.Millisecond, weights: make(map[string]int)}
	for _, kind := range faultKinds {
		if kind != "refuse connections" && random.IntN(2) == 0 {
			p.weights[kind] = 1 + random.IntN(4)
		}
	}
	if random.IntN(3) > 0 {
		p.beatNoise = random.IntN(150)
	}
	if random.IntN(3) > 0 {
		p.callNoise = random.IntN(200)
	}
	return p
}

// newRandom returns the source of the random numbers for one purpose.
func (w *world) newRandom(purpose string) *rand.Rand {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(purpose))
	return rand.New(rand.NewPCG(w.seed, sum.Sum64()))
}

func (w *world) seconds(at time.Time) float64 {
	return at.Sub(w.started).Seconds()
}

// isDisturbed reports whether faults happen now.
func (w *world) isDisturbed() bool {
	elapsed := time.Since(w.started)
	return elapsed >= calmTime && elapsed < faultTime
}

// sleep reports whether the run still goes on after a time.
func (w *world) sleep(length time.Duration) bool {
	return sleep(w.ctx, length)
}

// trace adds an event that concerns no keys in particular.
func (w *world) trace(host int, format string, arguments ...any) {
	w.traceKeys(host, nil, format, arguments...)
}

// traceKeys adds an event that concerns ranges of keys.
func (w *world) traceKeys(host int, ranges []keyRange, format string, arguments ...any) {
	e := event{at: time.Since(w.started), host: host, text: fmt.Sprintf(format, arguments...), ranges: ranges}
	w.traceMu.Lock()
	defer w.traceMu.Unlock()
	w.events = append(w.events, e)
}

// traceCall adds an event that concerns the keys of a call.
func (w *world) traceCall(host int, call *holder.Call, format string, arguments ...any) {
	kind := "grant"
	if call.Release {
		kind = "release"
	}
	text := fmt.Sprintf("%s [%d,%d] fence %d: ", kind, call.From, call.To, call.Fence) + fmt.Sprintf(format, arguments...)
	w.traceKeys(host, []keyRange{{call.From, call.To}}, "%s", text)
}

// count counts a kind of event.
func (w *world) count(name string) {
	w.traceMu.Lock()
	defer w.traceMu.Unlock()
	w.counts[name]++
}

// run runs the hosts, the faults and the checks.
func (w *world) run() {
	defer w.close()
	w.trace(-1, "plan %+v", w.plan)
	for _, h := range w.hosts {
		w.startRouter(h)
		w.startServer(h)
	}
	next := w.drawFaultTime()
	var heldAt time.Duration
	for n := 0; ; n++ {
		time.Sleep(step)
		elapsed := time.Since(w.started)
		w.control.step(n%5 == 0)
		for _, h := range w.hosts {
			if (n+h.number)%4 == 0 {
				w.request(h)
			}
		}
		for w.isDisturbed() && elapsed >= next {
			w.fault()
			next += w.drawFaultTime() / hostCount
		}
		if elapsed < calmTime {
			next = calmTime
		}
		w.mu.Lock()
		w.check()
		missing := 1
		if elapsed >= faultTime && n%20 == 0 {
			missing, _ = w.missingKeys()
		}
		failed := len(w.violations) > 0 && !*keepGoing
		w.mu.Unlock()
		if missing == 0 && heldAt == 0 {
			heldAt = elapsed
			w.trace(-1, "all keys are held")
		}
		if failed || (heldAt > 0 && elapsed >= heldAt+2*time.Second) {
			return
		}
		if elapsed >= w.lastFaultEnds()+recoveryTime {
			w.mu.Lock()
			missing, key := w.missingKeys()
			w.violate(ruleLost, []int{0, 1, 2, 3, 4}, key, "%d keys are not held, such as %d", missing, key)
			w.mu.Unlock()
			return
		}
	}
}

// lastFaultEnds returns a time at which all faults have ended.
func (w *world) lastFaultEnds() time.Duration {
	return faultTime + 6*time.Second
}

func (w *world) close() {
	for _, h := range w.hosts {
		w.mu.Lock()
		p := h.process
		w.mu.Unlock()
		if p != nil {
			p.kill()
		}
	}
	w.cancel()
	w.control.close()
	timer.StepWallClock(-w.wallOffset)
}

func (w *world) drawFaultTime() time.Duration {
	return time.Duration((0.2 + w.faults.ExpFloat64()) * float64(w.plan.faultInterval))
}

// fault injects one fault.
func (w *world) fault() {
	sum := 0
	for _, kind := range faultKinds {
		sum += w.plan.weights[kind]
	}
	if sum == 0 {
		return
	}
	drawn := w.faults.IntN(sum)
	for _, kind := range faultKinds {
		if drawn -= w.plan.weights[kind]; drawn < 0 {
			w.inject(kind, w.hosts[w.faults.IntN(len(w.hosts))])
			return
		}
	}
}

// milliseconds draws a time.
func (w *world) milliseconds(least, most int) time.Duration {
	return time.Duration(least+w.faults.IntN(most-least+1)) * time.Millisecond
}

func (w *world) inject(kind string, h *host) {
	switch kind {
	case "kill router":
		w.restartRouter(h, w.milliseconds(20, 3000))
	case "freeze router":
		w.freezeRouter(h, w.milliseconds(50, 4000))
	case "slow router":
		w.mu.Lock()
		h.slowUntil = time.Now().Add(w.milliseconds(1000, 6000))
		w.mu.Unlock()
		w.trace(h.number, "%s: router is slow", h.name)
	case "drain router":
		w.drainRouter(h, w.milliseconds(100, 2500))
	case "crash server":
		w.crashServer(h, w.milliseconds(5, 4000))
	case "flap server":
		w.crashServer(h, w.milliseconds(5, 300))
	case "freeze server":
		w.freezeServer(h, w.milliseconds(50, 5000))
	case "drain server":
		w.drainServer(h, w.milliseconds(500, 4000), w.milliseconds(5, 2000))
	case "refuse connections":
		w.refuseConnections(h, w.milliseconds(50, 3000))
	case "change leader":
		w.control.changeLeader(w.faults)
	case "pause leader":
		w.control.pause(w.milliseconds(20, 420))
	case "step clock":
		w.stepClock(w.milliseconds(-4000, 4000))
	case "step replica clock":
		w.control.stepClock(w.faults.IntN(replicaCount), w.milliseconds(-4000, 4000))
	case "heat":
		w.hotKey.Store(uint32(w.faults.IntN(messenger.LastKey + 1)))
	case "fail":
		w.failing.Store(int64(w.faults.IntN(hostCount + 1)))
	}
}

// stepClock steps the wall clock of all routers.
func (w *world) stepClock(offset time.Duration) {
	if !*wallSteps {
		return
	}
	w.control.mu.Lock()
	w.wallOffset += offset
	timer.StepWallClock(offset)
	w.control.mu.Unlock()
	w.trace(-1, "the wall clocks of the routers step by %v", offset)
}

// occupy marks the router of a host as concerned by a fault unless it already is.
func (w *world) occupy(h *host) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.busy || h.process == nil {
		return nil
	}
	h.busy = true
	return h.process
}

func (w *world) restartRouter(h *host, downFor time.Duration) {
	p := w.occupy(h)
	if p == nil {
		return
	}
	w.count("router kills")
	go func() {
		p.kill()
		w.startAgain(h, downFor)
	}()
}

func (w *world) startAgain(h *host, downFor time.Duration) {
	if !w.sleep(downFor) {
		return
	}
	w.startRouter(h)
	w.mu.Lock()
	h.busy = false
	w.mu.Unlock()
}

func (w *world) freezeRouter(h *host, length time.Duration) {
	if w.occupy(h) == nil {
		return
	}
	w.count("router freezes")
	w.trace(h.number, "%s: router freezes for %v", h.name, length)
	w.mu.Lock()
	h.thaw = make(chan struct{})
	w.mu.Unlock()
	go func() {
		w.sleep(length)
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.thaw != nil {
			close(h.thaw)
			h.thaw = nil
		}
		h.thawedAt = time.Now()
		h.busy = false
		w.trace(h.number, "%s: router thaws", h.name)
	}()
}

// drainRouter stops a router as on SIGTERM and starts it again.
func (w *world) drainRouter(h *host, downFor time.Duration) {
	p := w.occupy(h)
	if p == nil {
		return
	}
	w.count("router drains")
	w.trace(h.number, "%s: router hands over", h.name)
	p.handingOver.Store(true)
	p.keeper.RequestHeartbeat()
	go func() {
		for passed := time.Duration(0); passed < 3900*time.Millisecond && !p.holder.IsEmpty(); passed += 25 * time.Millisecond {
			if !w.sleep(25 * time.Millisecond) {
				return
			}
		}
		if p.holder.IsEmpty() {
			ctx, cancel := context.WithTimeout(p.ctx, time.Second)
			p.keeper.Close(ctx)
			cancel()
		}
		if w.ctx.Err() != nil {
			return
		}
		p.kill()
		w.startAgain(h, downFor)
	}()
}

// startServer starts a new life of the backend server of a host.
func (w *world) startServer(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	life := len(w.lives)
	name := fmt.Sprintf("s%d", life)
	born := time.Now().UnixMilli()
	if h.server != nil {
		born = max(born, h.server.born+1)
		if w.options.sameNames && w.faults.IntN(4) == 0 {
			name = h.server.name
		}
	}
	s := newServer(h, life, name, born, 1+0.02*w.faults.Float64())
	h.server = s
	w.lives = append(w.lives, s)
	w.trace(h.number, "%s starts, born %d", s, born)
	first := time.Duration(h.announce.IntN(30)) * time.Millisecond
	if h.announce.IntN(3) == 0 {
		first = time.Duration(h.announce.IntN(1200)) * time.Millisecond
	}
	go w.announce(s, first)
}

// announce sends the announcements of a server until it ends.
func (w *world) announce(s *server, first time.Duration) {
	h := s.host
	for wait := first; w.sleep(wait); {
		w.mu.Lock()
		if !s.up {
			w.mu.Unlock()
			return
		}
		wait = time.Duration(900+h.announce.IntN(200)) * time.Millisecond
		if s.isFrozen(time.Now()) {
			wait = time.Until(s.frozenUntil)
			w.mu.Unlock()
			continue
		}
		w.sendAnnouncement(s)
		w.mu.Unlock()
	}
}

// sendAnnouncement sends one announcement, which may be lost, late or doubled. The
// caller holds w.mu.
func (w *world) sendAnnouncement(s *server) {
	h := s.host
	s.sequence++
	announcement := monitor.Announcement{Row: s.row(), Sequence: s.sequence, Leaving: s.draining}
	delay, copies := time.Duration(h.announce.IntN(3))*time.Millisecond, 1
	if w.isDisturbed() {
		switch h.announce.IntN(12) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		case 2:
			delay = time.Duration(h.announce.IntN(4000)) * time.Millisecond
		}
	}
	for n := range copies {
		go func() {
			if w.sleep(delay + time.Duration(n)*700*time.Millisecond) {
				w.deliverAnnouncement(s, announcement)
			}
		}()
	}
}

func (w *world) deliverAnnouncement(s *server, announcement monitor.Announcement) {
	w.mu.Lock()
	p, up := s.host.process, s.up
	w.mu.Unlock()
	if p == nil || !p.gate() {
		return
	}
	if !up {
		w.count("late announcements")
		w.trace(s.host.number, "%s is announced late, sequence %d", s, announcement.Sequence)
	}
	p.server.Announce(timer.Now(), announcement)
}

// end ends a server, which holds nothing any more. The caller holds w.mu.
func (s *server) end(w *world) {
	s.up = false
	w.trace(s.host.number, "%s ends", s)
	if s.host.announce.IntN(3) == 0 {
		s.sequence++
		announcement := monitor.Announcement{Row: s.row(), Sequence: s.sequence, Leaving: s.draining}
		delay := time.Duration(s.host.announce.IntN(5000)) * time.Millisecond
		go func() {
			if w.sleep(delay) {
				w.deliverAnnouncement(s, announcement)
			}
		}()
	}
}

// occupyServer marks the server of a host as concerned by a fault unless it already is.
func (w *world) occupyServer(h *host) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.serverBusy || !h.server.up {
		return nil
	}
	h.serverBusy = true
	return h.server
}

func (w *world) crashServer(h *host, downFor time.Duration) {
	s := w.occupyServer(h)
	if s == nil {
		return
	}
	w.count("server crashes")
	w.mu.Lock()
	s.end(w)
	w.mu.Unlock()
	go w.startServerAgain(h, downFor)
}

func (w *world) startServerAgain(h *host, downFor time.Duration) {
	if !w.sleep(downFor) {
		return
	}
	w.startServer(h)
	w.mu.Lock()
	h.serverBusy = false
	w.mu.Unlock()
}

// refuseConnections lets the port of a server that works refuse connections.
func (w *world) refuseConnections(h *host, length time.Duration) {
	s := w.occupyServer(h)
	if s == nil {
		return
	}
	w.count("refusing servers")
	w.trace(h.number, "%s refuses connections for %v", s, length)
	w.mu.Lock()
	s.refusesUntil = time.Now().Add(length)
	w.mu.Unlock()
	go func() {
		w.sleep(length)
		w.mu.Lock()
		h.serverBusy = false
		w.mu.Unlock()
	}()
}

func (w *world) freezeServer(h *host, length time.Duration) {
	s := w.occupyServer(h)
	if s == nil {
		return
	}
	w.count("server freezes")
	w.trace(h.number, "%s freezes for %v", s, length)
	w.mu.Lock()
	s.frozenUntil = time.Now().Add(length)
	w.mu.Unlock()
	go func() {
		w.sleep(length)
		w.mu.Lock()
		h.serverBusy = false
		w.mu.Unlock()
	}()
}

func (w *world) drainServer(h *host, length, downFor time.Duration) {
	s := w.occupyServer(h)
	if s == nil {
		return
	}
	w.count("server drains")
	w.trace(h.number, "%s drains", s)
	w.mu.Lock()
	s.draining = true
	w.sendAnnouncement(s)
	w.mu.Unlock()
	go func() {
		if !w.sleep(length) {
			return
		}
		w.mu.Lock()
		p := h.process
		w.mu.Unlock()
		if p != nil && p.gate() {
			p.server.Withdraw(timer.Now(), s.name)
		}
		w.mu.Lock()
		s.end(w)
		w.mu.Unlock()
		w.startServerAgain(h, downFor)
	}()
}

// callNoise is what happens to one call to a backend server.
type callNoise struct {
	// delay is the time until it arrives, answerDelay the time until its answer does.
	delay       time.Duration
	answerDelay time.Duration
	lost        bool
	// appliedAfter is how long after its arrival a call that gets no answer is applied;
	// negative for calls that are answered.
	appliedAfter time.Duration
	doubledAfter time.Duration
	// abandoned is set if a call ends without effect when its time limit passes before
	// it is sent, or before a frozen server has read it.
	abandoned bool
}

func (w *world) drawCallNoise(h *host, call *holder.Call) callNoise {
	w.mu.Lock()
	defer w.mu.Unlock()
	random := h.calls
	noise := callNoise{appliedAfter: -1, abandoned: random.IntN(2) == 0}
	noise.delay = time.Duration(random.IntN(1500)) * time.Microsecond
	noise.answerDelay = time.Duration(random.IntN(1500)) * time.Microsecond
	if !w.isDisturbed() || random.IntN(1000) >= w.plan.callNoise {
		return noise
	}
	switch random.IntN(6) {
	case 0:
		noise.lost = true
	case 1:
		noise.delay = time.Duration(random.IntN(250)) * time.Millisecond
	case 2:
		noise.answerDelay = time.Duration(random.IntN(600)) * time.Millisecond
	case 3:
		noise.doubledAfter = time.Duration(1+random.IntN(100)) * time.Millisecond
	case 4:
		noise.appliedAfter = 0
	case 5:
		noise.appliedAfter = time.Duration(random.Int64N(int64(maxAppliedAfter)))
		if random.IntN(2) == 0 {
			noise.appliedAfter /= 8
		}
	}
	if call.Release && noise.appliedAfter > 0 {
		noise.appliedAfter = time.Duration(random.IntN(2000)) * time.Millisecond
	}
	return noise
}

// beatNoise is what happens to one heartbeat.
type beatNoise struct {
	lost        bool
	answerLost  bool
	doubled     bool
	delay       time.Duration
	doubleDelay time.Duration
	answerDelay time.Duration
}

func (w *world) drawBeatNoise(router string) beatNoise {
	w.mu.Lock()
	defer w.mu.Unlock()
	var noise beatNoise
	for _, h := range w.hosts {
		if h.name != router || !w.isDisturbed() || h.beats.IntN(1000) >= w.plan.beatNoise {
			continue
		}
		switch h.beats.IntN(5) {
		case 0:
			noise.lost = true
		case 1:
			noise.answerLost = true
		case 2:
			noise.doubled, noise.doubleDelay = true, time.Duration(h.beats.IntN(3000))*time.Millisecond
		case 3:
			noise.delay = time.Duration(h.beats.IntN(1500)) * time.Millisecond
		case 4:
			noise.answerDelay = time.Duration(h.beats.IntN(1500)) * time.Millisecond
		}
	}
	return noise
}

// request sends one request through the router of a host.
func (w *world) request(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := h.process
	if p == nil || h.thaw != nil {
		return
	}
	rows := p.mapper.Load().OwnedRanges(service, p.keeper.Session())
	view := p.server.View()
	if len(rows) == 0 || view.Row == nil {
		return
	}
	row := rows[h.requests.IntN(len(rows))]
	key := row.From + uint32(h.requests.IntN(int(row.To-row.From+1)))
	if !h.passes(key) {
		return
	}
	delay := time.Duration(h.requests.IntN(2000)) * time.Microsecond
	if time.Now().Before(h.slowUntil) {
		delay = time.Duration(h.requests.IntN(300)) * time.Millisecond
	}
	length := time.Duration(10+h.requests.IntN(300)) * time.Millisecond
	if h.requests.IntN(20) == 0 {
		length = time.Duration(h.requests.IntN(2500)) * time.Millisecond
	}
	go func() {
		if sleep(p.ctx, delay) && p.gate() {
			w.passRequest(p, view.Row, key, length)
		}
	}()
}

// passRequest passes a request to the server that listens now.
func (w *world) passRequest(p *process, row *messenger.ServerRow, key uint32, length time.Duration) {
	w.mu.Lock()
	s := p.host.server
	now := time.Now()
	switch {
	case !p.dial(p.host.requests):
		w.mu.Unlock()
		p.server.DialRefused(timer.Now())
		return
	case s.isFrozen(now):
		w.mu.Unlock()
		return
	case s.name == row.Name && s.begin(w, key, length):
		w.mu.Unlock()
		if !sleep(p.ctx, length) || !s.isUp(w) || !p.gate() {
			return
		}
	default:
		w.mu.Unlock()
	}
	p.server.ResponseReceived()
}
