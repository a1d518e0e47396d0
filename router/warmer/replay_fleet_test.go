package warmer_test

import (
	"math/rand/v2"
	"time"

	"marigoldhill/router/chooser"
	"marigoldhill/router/queuer"
)

// replayPolicy is what is compared.
type replayPolicy struct {
	name string
	// limit is set if the owner bounds the starts, shares if entry routers know the rate.
	limit, shares bool
}

type replayEvent struct {
	at    time.Duration
	order int
	run   func()
}

// agenda is a heap of events by time.
type agenda []replayEvent

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(replayEvent)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type replayServer struct {
	session uint64
	domain  string
	// returning is set for the servers of the domain that returns.
	returning bool
	queue     *queuer.Queue
	// speed divides the time for a request.
	speed   float64
	waiting map[*queuer.Entry]*replayRequest
	starts  []time.Duration
}

func (s *replayServer) isCold(now time.Duration) bool {
	return s.returning && now < returns+replayCold
}

type replayRequest struct {
	arrived time.Duration
	entry   *replayRouter
	work    time.Duration
	tried   []uint64
}

type replayRouter struct {
	domain   string
	balancer *chooser.Balancer
	// seesReturn and seesWarm are when the updates of the map reach the router.
	seesReturn, seesWarm time.Duration
}

type replay struct {
	policy replayPolicy
	// rate is the number of requests per second.
	rate    float64
	random  *rand.Rand
	now     time.Duration
	order   int
	agenda  agenda
	servers []*replayServer
	routers []*replayRouter

	counted, inTime, served, refused int
	// refusedCold counts the refusals at cold servers, refusedBeside those while a warm
	// server had a free slot.
	refusedCold, refusedBeside int
}
