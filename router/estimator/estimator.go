// Package estimator predicts how long the answers of a backend server will wait for the
// link of its VM, and how many requests per second the link can carry.
//
// The load that it addresses: a fast server whose answers of some kilobytes add up to more
// than its VM's link carries. Slots are free, so admission by slots accepts every request,
// the link's queue grows, and answers that are ready arrive after their callers have left.
// The requests that run decide how much will be sent, so those whose answers would arrive
// too late have to be refused before they run. On a heavy day of a fleet with full links this
// raised the worth of the day from 0.39 to 0.40 beside early refusal at entry routers; where
// links are wide, it is worth nothing.
//
// An [Estimator] learns the size of the answers of each route and counts the requests that
// run. What the link has to send already is measured by [pacer.Bucket]; both together give
// the expected delay of one more answer. It reads no clock and is not safe for concurrent
// use.
//
// # Usage
//
//	estimates := estimator.New(bucket.Rate())
//	estimates.Arrive(now, rank, "lookup")
//	delay := estimates.Delay(now, bucket.Load(time.Now()), estimator.Answer{Route: "lookup", Rank: rank, After: cost})
//	estimates.Start("lookup")
//	defer estimates.End("lookup")
//	estimates.Record(now, "lookup", size)
package estimator

import (
	"time"

	"marigoldhill/kernel/pacer"
)

const (
	// defaultSize is the expected size in bytes of an answer of a route without samples.
	defaultSize = 4 << 10
	// sizeWeight is the weight of a new sample in the moving average size of its route.
	sizeWeight = 0.1
	// chunkSize is the size in bytes that is sent ahead of another answer at once:
	// package pacer lets larger ones wait after each chunk.
	chunkSize = 8 << 10
	// maxSize bounds the size in bytes at which an answer counts. Larger ones are sent while
	// their request runs, so that its cost contains the time on the link, and give way to
	// others.
	maxSize = 64 << 10
	// maxUrgentShare bounds the share of the link that answers of lower ranks are
	// expected to take.
	maxUrgentShare = 0.8
	// fullShare is the share of its rate above which the link limits the server.
	fullShare = 0.7
	// minLimit is the lowest limit in requests per second. Without a request, the sizes of
	// answers would never be measured again.
	minLimit = 0.5
)

// Estimator predicts the use of one link.
type Estimator struct {
	// rate is how many bytes per second the link sends.
	rate    float64
	sizes   map[string]float64
	running map[string]int
	waiting map[waiter]int
	// offered is the rate of the expected answers by rank.
	offered map[int]*flow
	// sent is the rate of everything written to the link, unpaced that of small writes.
	sent    flow
	unpaced flow
	// answers is the rate of the answers of the server, smallAnswers that of those of up
	// to chunkSize.
	answers      flow
	smallAnswers flow
	// observed is the state of the link at the last call of Observe.
	observed pacer.Load
}

// waiter is a kind of requests that wait for a slot.
type waiter struct {
	rank  int
	route string
}

// New returns an Estimator for a link that sends rate bytes per second.
func New(rate float64) *Estimator {
	return &Estimator{rate: rate, sizes: make(map[string]float64), running: make(map[string]int), waiting: make(map[waiter]int), offered: make(map[int]*flow)}
}

// Size returns the expected size in bytes of an answer of a route.
func (e *Estimator) Size(route string) float64 {
	if size, known := e.sizes[route]; known {
		return size
	}
	return defaultSize
}

// Arrive counts a request that arrives.
func (e *Estimator) Arrive(now time.Duration, rank int, route string) {
	if e.offered[rank] == nil {
		e.offered[rank] = new(flow)
	}
	e.offered[rank].add(now, e.Size(route))
}

// Wait counts a request that waits for a slot, until Leave.
func (e *Estimator) Wait(rank int, route string) {
	e.waiting[waiter{rank, route}]++
}

// Leave removes a request that waited for a slot.
func (e *Estimator) Leave(rank int, route string) {
	key := waiter{rank, route}
	e.waiting[key]--
	if e.waiting[key] <= 0 {
		delete(e.waiting, key)
	}
}

// Start counts a request that starts to run.
func (e *Estimator) Start(route string) {
	e.running[route]++
}

// End removes a request that has ended, when its answer is ready to be sent.
func (e *Estimator) End(route string) {
	e.running[route]--
	if e.running[route] <= 0 {
		delete(e.running, route)
	}
}

// Record counts an answer of size bytes.
func (e *Estimator) Record(now time.Duration, route string, size int64) {
	counted := min(float64(size), maxSize)
	e.answers.add(now, counted)
	if size <= chunkSize {
		e.smallAnswers.add(now, counted)
	}
	mean, known := e.sizes[route]
	if !known {
		mean = counted
	}
	e.sizes[route] = mean + sizeWeight*(counted-mean)
}

// Observe counts what was written to the link since the last call.
func (e *Estimator) Observe(now time.Duration, load pacer.Load) {
	written, paced := load.Written-e.observed.Written, load.Paced-e.observed.Paced
	e.sent.add(now, float64(written))
	e.unpaced.add(now, float64(written-paced))
	e.observed = load
}

// Use returns the share of the link's rate that was used in the last second.
func (e *Estimator) Use(now time.Duration) float64 {
	return e.sent.rate(now) / e.rate
}

// Expected returns the expected size in bytes of the answers of the requests that run.
func (e *Estimator) Expected() int64 {
	sum := 0.0
	for route, count := range e.running {
		sum += float64(count) * e.Size(route)
	}
	return int64(sum)
}

// Answer is an answer that may be sent.
type Answer struct {
	Route string
	// Rank is the priority; lower ranks are more urgent.
	Rank int
	// Queued is set if its request runs after those that wait.
	Queued bool
	// After is the time until it is ready, without the time for which the request waits.
	After time.Duration
}

// Delay returns how long an answer is expected to take on the link once it is ready. It is
// 0 if the link will be idle then, however large the answer is: only requests that compete
// for a full link are refused. The time to send the answer itself counts up to one chunk.
// For a request that waits for a slot, the link sends while it waits, so that its answer
// needs that much less time on the link.
func (e *Estimator) Delay(now time.Duration, load pacer.Load, answer Answer) time.Duration {
	own := e.Size(answer.Route)
	// Large answers give way after each chunk, so another answer waits for no more of one
	// than its own size.
	most := max(own, chunkSize)
	ahead := 0.0
	for route, count := range e.running {
		ahead += float64(count) * min(e.Size(route), most)
	}
	for other, count := range e.waiting {
		if answer.Queued && other.rank <= answer.Rank {
			ahead += float64(count) * min(e.Size(other.route), most)
		}
	}
	// While the request runs, the link sends what other servers have answered, too.
	drained := float64(answer.After) * max(1-e.others(now)/e.rate, 0)
	delay := load.Backlog + e.duration(ahead) - time.Duration(drained)
	if own > chunkSize {
		// Each chunk of this answer waits for those of the others that are being sent;
		// half of the others are expected to end earlier.
		delay += e.duration(float64(load.Waiting) * max(own/chunkSize/2, 1))
	}
	if delay <= 0 {
		return 0
	}
	delay += e.duration(min(own, chunkSize))
	return time.Duration(float64(delay) / (1 - e.urgentShare(now, answer.Rank)))
}

// duration returns how long the link needs for a number of bytes.
func (e *Estimator) duration(size float64) time.Duration {
	return time.Duration(size / e.rate * float64(time.Second))
}

// urgentShare returns the share of the link that answers of lower ranks are expected to
// take. They reach the link at the same time as others, so room is left for them.
func (e *Estimator) urgentShare(now time.Duration, rank int) float64 {
	rate := 0.0
	for other, flow := range e.offered {
		if other < rank {
			rate += flow.rate(now)
		}
	}
	return min(rate/e.rate, maxUrgentShare)
}

// Capacity returns how many requests per second the link can carry at the present mix of
// answers, beside its other traffic. It returns 0 before the first answer.
func (e *Estimator) Capacity(now time.Duration) float64 {
	size := e.answers.mean()
	if size <= 0 {
		return 0
	}
	return max((e.rate-e.others(now))/size, minLimit)
}

// others returns the rate of small writes other than the answers of the server.
func (e *Estimator) others(now time.Duration) float64 {
	return max(e.unpaced.rate(now)-e.smallAnswers.rate(now), 0)
}

// Limit returns the capacity of the link, and how long another answer is expected to wait
// for it that is ready after some time. It returns 0 while the link is not above fullShare
// of its rate.
func (e *Estimator) Limit(now time.Duration, load pacer.Load, after time.Duration) (limit float64, wait time.Duration) {
	if e.sent.rate(now) <= fullShare*e.rate {
		return 0, 0
	}
	wait = load.Backlog + e.duration(float64(e.Expected())) - after
	return e.Capacity(now), max(wait, 0)
}
