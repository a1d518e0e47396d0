package warmer_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
	"marigoldhill/router/queuer"
)

// The replay: a fleet of which one failure domain returns cold. The figures are those of
// the specification in docs/design/evacuation-and-load.md.
const (
	replayServers  = 35
	replayDomains  = 4
	replaySlots    = 13
	replayRouters  = 73
	replayWork     = 160 * ms
	replayColdRate = 15
	replayMost     = 22 // floor(15 x 1.5)
	replayBound    = 15*1.5 + 8
	replayCold     = 3 * time.Second
	replayAim      = 400 * ms
	replayDeadline = 2500 * ms
	// replaySpread is the spread of the speeds of servers. Without it, no server is so slow
	// at this rate that a cold one seems faster.
	replaySpread = 0.4
	// coldWork is how much longer a cold server takes for a request.
	coldWork = 2
	// returns is when the domain returns. The replay starts before, and ends at replayEnd;
	// requests that arrive after the return are counted.
	returns   = 4 * time.Second
	replayEnd = 10 * time.Second
	// hop is the time of a message between two routers.
	hop = 2 * ms
	// interval is the time between two heartbeats.
	interval = 300 * ms
)

func newReplay(policy replayPolicy, rate float64) *replay {
	r := &replay{policy: policy, rate: rate, random: rand.New(rand.NewPCG(7, 7))}
	domains := []string{"a", "b", "c", "d"}
	for n := range replayServers {
		server := &replayServer{
			session: uint64(n + 1), domain: domains[n%replayDomains], returning: n%replayDomains == 0, speed: math.Exp(replaySpread * r.random.NormFloat64()),
			queue: queuer.NewQueue(replaySlots), waiting: make(map[*queuer.Entry]*replayRequest),
		}
		r.servers = append(r.servers, server)
		if policy.limit && server.returning {
			server.queue.SetCold(replayMost)
			r.schedule(returns+replayCold, func() {
				server.queue.SetCold(0)
				r.begin(server, server.queue.StartWaiting(r.now)...)
			})
		}
	}
	for n := range replayRouters {
		r.routers = append(r.routers, &replayRouter{
			domain: domains[n%replayDomains], balancer: chooser.New(),
			seesReturn: returns + r.upTo(interval),
			seesWarm:   returns + replayCold + r.upTo(2*interval),
		})
	}
	r.arrive()
	return r
}

func (r *replay) upTo(limit time.Duration) time.Duration {
	return time.Duration(r.random.Float64() * float64(limit))
}

func (r *replay) schedule(at time.Duration, run func()) {
	r.order++
	heap.Push(&r.agenda, replayEvent{at: at, order: r.order, run: run})
}

func (r *replay) run() {
	for len(r.agenda) > 0 {
		event := heap.Pop(&r.agenda).(replayEvent)
		r.now = event.at
		event.run()
	}
}

// arrive adds the next request of a caller, and itself again.
func (r *replay) arrive() {
	at := r.now + time.Duration(r.random.ExpFloat64()/r.rate*float64(time.Second))
	if at > replayEnd {
		return
	}
	r.schedule(at, func() {
		r.arrive()
		if r.now >= returns {
			r.counted++
		}
		work := time.Duration((0.5 + r.random.Float64()) * float64(replayWork))
		r.route(&replayRequest{arrived: r.now, entry: r.routers[r.random.IntN(replayRouters)], work: work})
	})
}

// route sends a request to the server that its entry router chooses.
func (r *replay) route(request *replayRequest) {
	entry := request.entry
	var candidates []chooser.Candidate
	for _, server := range r.servers {
		if server.returning && r.now < entry.seesReturn {
			continue
		}
		candidate := chooser.Candidate{Session: server.session, Domain: server.domain, Slots: replaySlots, Cold: server.returning && r.now < entry.seesWarm}
		if candidate.Cold && r.policy.shares {
			candidate.ColdRate = replayColdRate
		}
		candidates = append(candidates, candidate)
	}
	session := entry.balancer.Choose(r.now, candidates, chooser.Requirements{
		Domain: entry.domain, Aim: replayAim, Bytes: 3000, MaxLocalDelay: 100 * ms, Routers: replayRouters, Exclude: request.tried,
	})
	if session == 0 {
		r.end(request, false)
		return
	}
	request.tried = append(request.tried, session)
	entry.balancer.Begin(session)
	r.schedule(r.now+hop, func() { r.receive(r.servers[session-1], request) })
}

// receive offers a request at its owner.
func (r *replay) receive(server *replayServer, request *replayRequest) {
	r.expire(server)
	entry, refusal := server.queue.Offer(r.now, queuer.Job{Kind: "find", Aim: request.arrived + replayAim, Deadline: request.arrived + replayDeadline})
	switch {
	case refusal != nil:
		r.refuse(server, request)
		return
	case entry.IsRunning():
		server.waiting[entry] = request
		r.begin(server, entry)
	default:
		server.waiting[entry] = request
	}
	if delay, waits := server.queue.NextStart(r.now); waits {
		r.schedule(r.now+delay, func() { r.begin(server, server.queue.StartWaiting(r.now)...) })
	}
}

// expire refuses the waiting requests that are too late.
func (r *replay) expire(server *replayServer) {
	for _, entry := range server.queue.RemoveLate(r.now) {
		request := server.waiting[entry]
		delete(server.waiting, entry)
		r.refuse(server, request)
	}
}

// refuse reports a refusal to the entry router, which tries another server.
func (r *replay) refuse(server *replayServer, request *replayRequest) {
	if r.now >= returns {
		r.refused++
		if server.isCold(r.now) {
			r.refusedCold++
			if r.hasWarmCapacity() {
				r.refusedBeside++
			}
		}
	}
	work := r.workOf(server)
	r.schedule(r.now+hop, func() {
		request.entry.balancer.End(r.now, server.session, &work, false)
		if len(request.tried) < 3 && r.now < request.arrived+replayDeadline {
			r.route(request)
			return
		}
		r.end(request, false)
	})
}

// hasWarmCapacity reports whether a warm server has a free slot.
func (r *replay) hasWarmCapacity() bool {
	for _, server := range r.servers {
		running, waiting, slots := server.queue.Load()
		if (!server.returning || r.now >= returns+replayCold) && running < slots && waiting == 0 {
			return true
		}
	}
	return false
}

func (r *replay) workOf(server *replayServer) messenger.ServerWork {
	running, waiting, slots := server.queue.Load()
	return messenger.ServerWork{
		Running: running, Waiting: waiting, Slots: slots, Pace: server.queue.Pace(), Slowness: float32(server.queue.Slowness()),
		Limit: float32(server.queue.Limit()), LimitWait: server.queue.LimitWait(r.now),
	}
}

// begin runs requests that were started.
func (r *replay) begin(server *replayServer, started ...*queuer.Entry) {
	for _, entry := range started {
		request := server.waiting[entry]
		delete(server.waiting, entry)
		server.queue.Send(r.now, entry)
		work := time.Duration(float64(request.work) / server.speed)
		if server.isCold(r.now) {
			server.starts = append(server.starts, r.now)
			work *= coldWork
		}
		r.schedule(r.now+work, func() {
			r.expire(server)
			r.begin(server, server.queue.Done(r.now, entry, true)...)
			report := r.workOf(server)
			r.schedule(r.now+hop, func() {
				request.entry.balancer.End(r.now, server.session, &report, false)
				r.end(request, true)
			})
		})
	}
}

func (r *replay) end(request *replayRequest, served bool) {
	if request.arrived < returns || !served {
		return
	}
	r.served++
	if r.now <= request.arrived+replayAim {
		r.inTime++
	}
}

// busiestSecond returns the most requests that a cold server got in any second.
func (r *replay) busiestSecond() int {
	most := 0
	for _, server := range r.servers {
		starts := slices.Sorted(slices.Values(server.starts))
		first := 0
		for n, at := range starts {
			for at-starts[first] >= time.Second {
				first++
			}
			most = max(most, n-first+1)
		}
	}
	return most
}

// coldStarts returns how many requests the cold servers got.
func (r *replay) coldStarts() int {
	count := 0
	for _, server := range r.servers {
		count += len(server.starts)
	}
	return count
}

// A failure domain returns cold. Guards against entry routers that take its idle servers
// for fast ones: the owners alone keep the bound, but refuse most of what arrives, while
// warm servers have capacity.
func TestReplayOfDomainThatReturnsCold(t *testing.T) {
	// At 1,900 requests per second the warm servers are nearly full; 2,300 are too many.
	for _, rate := range []float64{1900, 2300} {
		results := make(map[string]*replay)
		for _, policy := range []replayPolicy{{name: "no limit"}, {name: "limit at the owner", limit: true}, {name: "limit and shares", limit: true, shares: true}} {
			r := newReplay(policy, rate)
			r.run()
			results[policy.name] = r
			share := func(count int) float64 { return math.Round(1e4*float64(count)/float64(r.counted)) / 100 }
			t.Logf("%4.0f/s, %-18s: most in a second %3d, bound %.1f; sent to cold servers %4d, refused there %4d, of these beside warm capacity %4d (%.2f%%); served %.2f%%, within the aim %.2f%%",
				rate, policy.name, r.busiestSecond(), replayBound, r.coldStarts(), r.refusedCold, r.refusedBeside, share(r.refusedBeside), share(r.served), share(r.inTime))
		}
		none, owner, shares := results["no limit"], results["limit at the owner"], results["limit and shares"]
		qt.Check(t, float64(none.busiestSecond()) > replayBound, qt.IsTrue)
		for _, r := range []*replay{owner, shares} {
			qt.Check(t, float64(r.busiestSecond()) <= replayBound, qt.IsTrue, qt.Commentf(r.policy.name))
		}
		qt.Check(t, owner.refusedBeside > 50 && shares.refusedBeside*5 <= owner.refusedBeside, qt.IsTrue)
		// The cold servers are used all the same, and nobody pays for it.
		qt.Check(t, shares.coldStarts() > 50, qt.IsTrue)
		qt.Check(t, shares.inTime > owner.inTime-owner.counted/50, qt.IsTrue)
	}
}
