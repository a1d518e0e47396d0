// Package chooser selects the backend server for a request that any server of a
// service can run.
//
// It takes the server with the lowest cost: the expected time of the request, from
// the server's slowness, load and recent failures, plus a penalty for bytes that
// cross failure domains. The load of a server is what it reported in its last response
// to this router, plus what this router has sent to it since. On heavy days load is worth
// 0.01 to 0.08 of the day, and the penalty for bytes 0.015 to 0.07. No difference beyond the
// noise was measured for the other terms, which serve single slow or failing servers.
//
// A server with a rate while it is cold gets only the share of this router at no extra
// cost: the routers choose independently of each other, and each of them sees a server
// without load. Without shares all of them send to the servers of a failure domain that
// returns, and most of that is refused there while warm servers have capacity.
//
// # Usage
//
//	balancer := chooser.New()
//	session := balancer.Choose(now, candidates, chooser.Requirements{Domain: "a", Bytes: 90_000})
//	balancer.Begin(session)
//	...
//	balancer.End(now, session, work, failed)
package chooser

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// crossDomainDelayPerByte is the cost of each byte that crosses failure domains,
	// as the extra latency accepted in the local domain to avoid it: about 20 ms for
	// a small response; Requirements.MaxLocalDelay bounds it for a download.
	crossDomainDelayPerByte = 20 * time.Microsecond
	// failureWeight is the weight of one request in the moving average of failures.
	failureWeight = 0.15
	// failurePenalty is added to the load factor of the cost of a server that always
	// fails, in proportion for others.
	failurePenalty = 10
	// coldFactor multiplies the slowness of a server that has just started.
	coldFactor = 2
	// loadPenalty is added to the load factor of the cost of a server whose slots
	// are all in use, in proportion for others. It spreads requests before they queue.
	loadPenalty = 0.5
	// staleTime is how long a load report of a server is used.
	staleTime = time.Second
	// defaultSlowness is the slowness of servers if no candidate has reported one,
	// and defaultAim the aim of a request without one.
	defaultSlowness = 0.3
	defaultAim      = 400 * time.Millisecond
	// slownessDecayTime is the time constant with which the slowness of a server
	// decays to the slowness of the fastest one. A slow server receives no requests and so
	// reports nothing; the decay lets it be tried again.
	slownessDecayTime = 15 * time.Second
	// costJitter is the width of the random variation of costs, so that many routers
	// do not select the same server at the same time.
	costJitter = 0.2
	// failureMemoryTime is how long failures count after the last one.
	failureMemoryTime = 3 * time.Second
)

// Candidate is a server that may be selected.
type Candidate struct {
	Session uint64
	Domain  string
	Slots   int
	// Cold means that the server has just started, or has become cold again, and is slow.
	Cold bool
	// ColdRate is how many requests per second a cold server can handle; 0 if the server
	// is warm or its rate is unknown.
	ColdRate float64
}

// Requirements holds the requirements of a request.
type Requirements struct {
	// Domain is the failure domain of the entry router.
	Domain string
	// Aim is the latency target; defaultAim is used if it is not positive.
	Aim time.Duration
	// Bytes is the expected size of the request and its response.
	Bytes int
	// MaxLocalDelay bounds the extra latency accepted to stay in Domain.
	MaxLocalDelay time.Duration
	// Routers is the number of routers, which share the rate of a cold server.
	Routers int
	// Exclude lists the sessions that were already tried.
	Exclude []uint64
}

// serverStats holds what this router has observed of a server.
type serverStats struct {
	// work is the last load report, received at reported; known is set once there is
	// one.
	work     messenger.ServerWork
	reported time.Duration
	known    bool
	// inFlight counts the requests that this router has in flight at the server,
	// inFlightAtReport is its value when the last report arrived.
	inFlight         int
	inFlightAtReport int
	// failureRate is the moving average of failures, failed the time of the last one.
	failureRate float64
	failed      time.Duration
	share       coldShare
}

// Balancer holds the statistics of all servers. It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	servers map[uint64]*serverStats
}

// New returns an empty Balancer.
func New() *Balancer {
	return &Balancer{servers: make(map[uint64]*serverStats)}
}

func (b *Balancer) statsOf(session uint64) *serverStats {
	known := b.servers[session]
	if known == nil {
		known = new(serverStats)
		b.servers[session] = known
	}
	return known
}

// Choose returns the session of the candidate with the lowest cost, or 0 if there is
// none.
func (b *Balancer) Choose(now time.Duration, candidates []Candidate, requirements Requirements) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, lowest := Candidate{}, time.Duration(0)
	fastest := b.fastest(candidates)
	for _, candidate := range candidates {
		if contains(requirements.Exclude, candidate.Session) {
			continue
		}
		cost := b.cost(now, candidate, requirements, fastest)
		if best.Session == 0 || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	if best.ColdRate > 0 {
		b.statsOf(best.Session).share.take(now)
	}
	return best.Session
}

// fastest returns the lowest slowness reported by a candidate, or defaultSlowness.
func (b *Balancer) fastest(candidates []Candidate) float64 {
	lowest := 0.0
	for _, candidate := range candidates {
		known := b.servers[candidate.Session]
		if known == nil || known.work.Slowness <= 0 {
			continue
		}
		if slowness := float64(known.work.Slowness); lowest == 0 || slowness < lowest {
			lowest = slowness
		}
	}
	if lowest == 0 {
		return defaultSlowness
	}
	return lowest
}

// slowness returns the last reported slowness, decayed toward the slowness of the
// fastest server. A server without a report counts as the fastest, so that it receives
// requests and reports.
func (s *serverStats) slowness(now time.Duration, fastest float64) float64 {
	if s.work.Slowness <= 0 {
		return fastest
	}
	remaining := math.Exp(-(now - s.reported).Seconds() / slownessDecayTime.Seconds())
	return fastest + (float64(s.work.Slowness)-fastest)*remaining
}

func contains(sessions []uint64, session uint64) bool {
	for _, other := range sessions {
		if other == session {
			return true
		}
	}
	return false
}

// cost returns the expected time of a request at a server, with penalties.
func (b *Balancer) cost(now time.Duration, candidate Candidate, requirements Requirements, fastest float64) time.Duration {
	known := b.statsOf(candidate.Session)
	slowness := known.slowness(now, fastest)
	if candidate.Cold {
		slowness *= coldFactor
	}
	aim := requirements.Aim
	if aim <= 0 {
		aim = defaultAim
	}
	slots := max(candidate.Slots, 1)
	load := known.load(now)
	factor := 1 + loadPenalty*float64(load)/float64(slots)
	if known.failureRate > 0 && now-known.failed < failureMemoryTime {
		factor += failurePenalty * known.failureRate
	}
	factor *= 1 + costJitter*(rand.Float64()-0.5)
	cost := time.Duration(factor * slowness * float64(aim))
	if load >= slots {
		pace := max(known.work.Pace, time.Duration(slowness*float64(aim)))
		cost += pace * time.Duration(load+1-slots) / time.Duration(slots)
	}
	cost += known.limitWait(now) + known.share.wait(now, candidate, requirements.Routers)
	if candidate.Domain != requirements.Domain {
		cost += min(time.Duration(requirements.Bytes)*crossDomainDelayPerByte, requirements.MaxLocalDelay)
	}
	return cost
}

// limitWait returns the time until the server could start one more request under the limit
// that it has named.
func (s *serverStats) limitWait(now time.Duration) time.Duration {
	if !s.known || s.work.Limit <= 0 {
		return 0
	}
	sentSince := float64(max(s.inFlight-s.inFlightAtReport, 0))
	wait := s.work.LimitWait + time.Duration(sentSince/float64(s.work.Limit)*float64(time.Second))
	return max(wait-(now-s.reported), 0)
}

// load returns the estimated number of requests at a server.
func (s *serverStats) load(now time.Duration) int {
	if !s.known || now-s.reported > staleTime {
		return s.inFlight
	}
	return max(s.work.Running+s.work.Waiting+s.inFlight-s.inFlightAtReport, s.inFlight)
}

// Begin records that a request is sent to a server.
func (b *Balancer) Begin(session uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statsOf(session).inFlight++
}

// End records the end of a request. work is the load report of the response, or nil.
func (b *Balancer) End(now time.Duration, session uint64, work *messenger.ServerWork, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.statsOf(session)
	known.inFlight--
	if work != nil && work.Slots > 0 {
		known.work, known.reported, known.known, known.inFlightAtReport = *work, now, true, known.inFlight
	}
	outcome := 0.0
	if failed {
		outcome = 1
		known.failed = now
	}
	known.failureRate += failureWeight * (outcome - known.failureRate)
}

// Prune removes the statistics of servers for which keep returns false and that have
// no requests in flight.
func (b *Balancer) Prune(keep func(session uint64) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for session, known := range b.servers {
		if known.inFlight == 0 && !keep(session) {
			delete(b.servers, session)
		}
	}
}
