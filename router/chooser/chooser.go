// Package chooser chooses the backend server for a request that any server of a
// service can run.
//
// Each choice weighs the time that the request would take at a server, by how slow
// it is, what it is known to have to do and how often it failed lately, against the
// cost of bytes that cross the border of a failure domain. What is known of a
// server is what it said in its answers to this router, and what this router has
// sent it since.
//
// # Usage
//
//	board := chooser.New()
//	session := board.Choose(now, candidates, chooser.Wish{Domain: "a", Bytes: 90_000})
//	board.Begin(session)
//	...
//	board.End(now, session, work, failed)
package chooser

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// toll is how much longer an answer may take at home than elsewhere, for each
	// byte of it: a small answer some 20 ms, a download as long as the wish
	// allows.
	toll = 20 * time.Microsecond
	// failPart is the weight of one request in the share of failures.
	failPart = 0.15
	// failWeight is how much longer a request counts at a server that always
	// fails, in times of its pace.
	failWeight = 10
	// coldTimes is how much longer a server takes that has just started.
	coldTimes = 2
	// loadWeight is how much longer a request is taken to need at a server whose
	// slots are all in use; it spreads requests before anybody waits.
	loadWeight = 0.5
	// staleTime is how long what a server said of its load counts.
	staleTime = time.Second
	// defaultSlowness is the slowness of servers of which nothing is known, and
	// defaultAim the aim of a request that has none.
	defaultSlowness = 0.3
	defaultAim      = 400 * time.Millisecond
	// fadeTime is the time constant with which a slow server that is not asked any
	// more is taken for a fast one again, so that it is asked.
	fadeTime = 15 * time.Second
	// noise is the part by which times are blurred, so that many routers do not
	// choose the same server.
	noise = 0.2
	// forgetTime is how long failures are remembered without a new request.
	forgetTime = 3 * time.Second
)

// Candidate is a server that may be chosen.
type Candidate struct {
	Session uint64
	Domain  string
	Slots   int
	// Cold says that it has just started and is slow.
	Cold bool
}

// Wish is what a request needs.
type Wish struct {
	// Domain is the failure domain of the entry.
	Domain string
	// Aim is the time within which an answer is worth most.
	Aim time.Duration
	// Bytes is the expected size of request and answer.
	Bytes int
	// Patience bounds how much longer the request may take at home.
	Patience time.Duration
	// Avoid are sessions that were tried.
	Avoid []uint64
}

// standing is what is known of a server.
type standing struct {
	work     messenger.ServerWork
	said     time.Duration
	known    bool
	open     int
	openThen int
	failing  float64
	failed   time.Duration
}

// Board is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	servers map[uint64]*standing
}

// New returns a Board that knows nothing.
func New() *Board {
	return &Board{servers: make(map[uint64]*standing)}
}

func (b *Board) of(session uint64) *standing {
	known := b.servers[session]
	if known == nil {
		known = new(standing)
		b.servers[session] = known
	}
	return known
}

// Choose returns the session of the best server, 0 when there is none.
func (b *Board) Choose(now time.Duration, candidates []Candidate, wish Wish) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, least := uint64(0), time.Duration(0)
	fastest := b.fastest(candidates)
	for _, candidate := range candidates {
		if contains(wish.Avoid, candidate.Session) {
			continue
		}
		cost := b.cost(now, candidate, wish, fastest)
		if best == 0 || cost < least {
			best, least = candidate.Session, cost
		}
	}
	return best
}

// fastest is the least slowness that is known of a candidate.
func (b *Board) fastest(candidates []Candidate) float64 {
	least := 0.0
	for _, candidate := range candidates {
		known := b.servers[candidate.Session]
		if known == nil || known.work.Slowness <= 0 {
			continue
		}
		if slowness := float64(known.work.Slowness); least == 0 || slowness < least {
			least = slowness
		}
	}
	if least == 0 {
		return defaultSlowness
	}
	return least
}

// slowness is that of a server as it was when it answered last. One that was never
// heard of counts as fast as the fastest: it is found out by asking it.
func (s *standing) slowness(now time.Duration, fastest float64) float64 {
	if s.work.Slowness <= 0 {
		return fastest
	}
	kept := math.Exp(-(now - s.said).Seconds() / fadeTime.Seconds())
	return fastest + (float64(s.work.Slowness)-fastest)*kept
}

func contains(sessions []uint64, session uint64) bool {
	for _, other := range sessions {
		if other == session {
			return true
		}
	}
	return false
}

// cost is the expected time of a request at a server.
func (b *Board) cost(now time.Duration, candidate Candidate, wish Wish, fastest float64) time.Duration {
	known := b.of(candidate.Session)
	slowness := known.slowness(now, fastest)
	if candidate.Cold {
		slowness *= coldTimes
	}
	aim := wish.Aim
	if aim <= 0 {
		aim = defaultAim
	}
	slots := max(candidate.Slots, 1)
	load := known.load(now)
	turns := 1 + loadWeight*float64(load)/float64(slots)
	if known.failing > 0 && now-known.failed < forgetTime {
		turns += failWeight * known.failing
	}
	turns *= 1 + noise*(rand.Float64()-0.5)
	cost := time.Duration(turns * slowness * float64(aim))
	if load >= slots {
		pace := max(known.work.Pace, time.Duration(slowness*float64(aim)))
		cost += pace * time.Duration(load+1-slots) / time.Duration(slots)
	}
	if candidate.Domain != wish.Domain {
		cost += min(time.Duration(wish.Bytes)*toll, wish.Patience)
	}
	return cost
}

// load is how many requests a server has.
func (s *standing) load(now time.Duration) int {
	if !s.known || now-s.said > staleTime {
		return s.open
	}
	return max(s.work.Running+s.work.Waiting+s.open-s.openThen, s.open)
}

// Begin notes that a request is sent to a server.
func (b *Board) Begin(session uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(session).open++
}

// End notes the end of a request; work is nil when the server said nothing.
func (b *Board) End(now time.Duration, session uint64, work *messenger.ServerWork, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.of(session)
	known.open--
	if work != nil && work.Slots > 0 {
		known.work, known.said, known.known, known.openThen = *work, now, true, known.open
	}
	share := 0.0
	if failed {
		share = 1
		known.failed = now
	}
	known.failing += failPart * (share - known.failing)
}

// Forget drops servers that are not listed.
func (b *Board) Forget(kept func(session uint64) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for session, known := range b.servers {
		if known.open == 0 && !kept(session) {
			delete(b.servers, session)
		}
	}
}
