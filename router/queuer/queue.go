// Package queuer decides which requests run at a backend server now, which wait
// and which are turned away.
//
// [Queue] is the decision: it takes events with their time and reads no clock.
// [Gate] puts requests that wait to sleep around it.
//
// The load that it answers is more work than slots. Whoever can't be answered
// within the aim of its route is refused at once, while its caller can still come
// back; so a burst costs the excess and not everybody's time. Requests of a lower
// rank go first. Within a rank the nearest aim goes first, and one that has
// missed its aim waits until nobody is left who can keep theirs: it would only
// make the next one late as well.
//
// # Usage
//
//	gate := queuer.NewGate(6)
//	slot, refusal := gate.Acquire(ctx, queuer.Job{Kind: "lookup", Rank: 2, Aim: aim, Deadline: deadline})
//	if slot == nil {
//		return refusal.Reason, refusal.After
//	}
//	defer slot.Release()
package queuer

import (
	"math"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// defaultCost is the time that a request of an unknown kind is expected to
	// take.
	defaultCost = 100 * time.Millisecond
	// costPart is the weight of one request in the mean cost of its kind.
	costPart = 0.1
	// maxWaiting bounds the queue, in requests for each slot. With equal costs
	// the last one waits for so many turns, which no aim allows.
	maxWaiting = 8
	// overdue is the part of its cost that a job which has run for longer than that
	// is expected to take still.
	overdue = 4
	// minAfter and maxAfter bound when a refused caller is asked to come back.
	minAfter = 50 * time.Millisecond
	maxAfter = 2 * time.Second
)

// Job is a request that wants a slot. Times are on the clock of the events.
type Job struct {
	// Kind groups requests of like cost.
	Kind string
	// Rank orders the work; a lower one goes first.
	Rank int
	// Aim is when its answer should be there, Deadline when it must be.
	Aim      time.Duration
	Deadline time.Duration
}

// Entry is a job that waits or runs.
type Entry struct {
	Job
	cost    time.Duration
	started time.Duration
	running bool
}

// Queue is the state of one server. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running map[*Entry]struct{}
	waiting []*Entry
	costs   map[string]time.Duration
	// aims is the longest time that jobs of a kind had for their aim: those that
	// were refused before have less of it left.
	aims    map[string]time.Duration
	offered map[int]*flow
}

// flow is the work of a rank that was offered lately.
type flow struct {
	// busy is in slots.
	busy float64
	at   time.Duration
}

// flowTime is the time constant of the mean work of a rank: several requests of
// each slot.
const flowTime = time.Second

// maxPressure bounds the part of the slots that more urgent work is expected to
// take.
const maxPressure = 0.8

func (f *flow) add(now, cost time.Duration) {
	f.busy = f.mean(now) + cost.Seconds()/flowTime.Seconds()
	f.at = now
}

func (f *flow) mean(now time.Duration) float64 {
	return f.busy * math.Exp(-(now-f.at).Seconds()/flowTime.Seconds())
}

// pressure is the part of the slots that goes to work of lower ranks.
func (q *Queue) pressure(now time.Duration, rank int) float64 {
	busy := 0.0
	for other, flow := range q.offered {
		if other < rank {
			busy += flow.mean(now)
		}
	}
	return min(busy/float64(max(q.slots, 1)), maxPressure)
}

// NewQueue returns a Queue for a server with so many slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, running: make(map[*Entry]struct{}), costs: make(map[string]time.Duration), aims: make(map[string]time.Duration), offered: make(map[int]*flow)}
}

// Refusal says why a job was turned away, and when to come back.
type Refusal struct {
	Reason messenger.Reason
	After  time.Duration
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) {
	q.slots = slots
}

// Load returns how many jobs run and wait.
func (q *Queue) Load() (running, waiting, slots int) {
	return len(q.running), len(q.waiting), q.slots
}

// Cost is the time that a kind of request is expected to take.
func (q *Queue) Cost(kind string) time.Duration {
	if cost, known := q.costs[kind]; known {
		return cost
	}
	return defaultCost
}

// Pace is the mean cost of what runs and waits.
func (q *Queue) Pace() time.Duration {
	sum, count := time.Duration(0), 0
	for entry := range q.running {
		sum += entry.cost
		count++
	}
	for _, entry := range q.waiting {
		sum += entry.cost
		count++
	}
	if count > 0 {
		return sum / time.Duration(count)
	}
	for _, cost := range q.costs {
		sum += cost
		count++
	}
	if count == 0 {
		return defaultCost
	}
	return sum / time.Duration(count)
}

// Slowness is the mean cost of all kinds as a part of their aims, 0 when none is
// known.
func (q *Queue) Slowness() float64 {
	sum, count := 0.0, 0
	for kind, cost := range q.costs {
		if aim := q.aims[kind]; aim > 0 {
			sum += cost.Seconds() / aim.Seconds()
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// Offer takes a job in, to run at once or to wait, or refuses it.
func (q *Queue) Offer(now time.Duration, job Job) (*Entry, *Refusal) {
	entry := &Entry{Job: job, cost: q.Cost(job.Kind)}
	if q.offered[job.Rank] == nil {
		q.offered[job.Rank] = new(flow)
	}
	q.offered[job.Rank].add(now, entry.cost)
	q.aims[job.Kind] = max(q.aims[job.Kind], job.Aim-now)
	if now+entry.cost > job.Deadline {
		return nil, &Refusal{Reason: messenger.ReasonDeadline}
	}
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		q.start(now, entry)
		return entry, nil
	}
	wait := q.wait(now, entry)
	if len(q.waiting) >= maxWaiting*q.slots || now+wait+entry.cost > job.Aim {
		return nil, &Refusal{Reason: messenger.ReasonQueue, After: q.after(now, job, wait+entry.cost)}
	}
	q.waiting = append(q.waiting, entry)
	return entry, nil
}

// wait predicts how long a job would wait: until the first slot is free, and for
// its part of the work ahead of it.
func (q *Queue) wait(now time.Duration, entry *Entry) time.Duration {
	if q.slots == 0 {
		return entry.Deadline
	}
	first := time.Duration(-1)
	for running := range q.running {
		left := max(running.started+running.cost-now, running.cost/overdue)
		if first < 0 || left < first {
			first = left
		}
	}
	ahead := time.Duration(0)
	for _, other := range q.waiting {
		if other.Rank < entry.Rank || (other.Rank == entry.Rank && other.Aim <= entry.Aim) {
			ahead += other.cost
		}
	}
	// More urgent work that comes meanwhile goes ahead as well.
	wait := float64(max(first, 0)) + float64(ahead)/float64(q.slots)
	return time.Duration(wait / (1 - q.pressure(now, entry.Rank)))
}

// after is when a refused caller may find room: once what is ahead of it has
// shrunk so far that it would keep its aim.
func (q *Queue) after(now time.Duration, job Job, needed time.Duration) time.Duration {
	return min(max(now+needed-job.Aim, minAfter), maxAfter)
}

func (q *Queue) start(now time.Duration, entry *Entry) {
	entry.started = now
	entry.running = true
	q.running[entry] = struct{}{}
}

// Done takes note that a job that ran has ended; with served it was answered, so
// its time counts for its kind. So does that of one without an answer that took
// longer than expected: a server that turned slow answers little. It returns the
// jobs to start now.
func (q *Queue) Done(now time.Duration, entry *Entry, served bool) []*Entry {
	delete(q.running, entry)
	if took := now - entry.started; served || took > q.Cost(entry.Kind) {
		q.learn(entry.Kind, took)
	}
	return q.Next(now)
}

func (q *Queue) learn(kind string, took time.Duration) {
	cost, known := q.costs[kind]
	if !known {
		q.costs[kind] = took
		return
	}
	q.costs[kind] = cost + time.Duration(costPart*float64(took-cost))
}

// Leave takes a job that waits out. It reports whether it was still waiting.
func (q *Queue) Leave(entry *Entry) bool {
	at := slices.Index(q.waiting, entry)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Next starts jobs while there is room.
func (q *Queue) Next(now time.Duration) []*Entry {
	var started []*Entry
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		best := 0
		for n := range q.waiting {
			if q.before(now, q.waiting[n], q.waiting[best]) {
				best = n
			}
		}
		entry := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.start(now, entry)
		started = append(started, entry)
	}
	return started
}

// before reports whether one waiting job goes before another.
func (q *Queue) before(now time.Duration, a, b *Entry) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	aInTime, bInTime := now+a.cost <= a.Aim, now+b.cost <= b.Aim
	if aInTime != bInTime {
		return aInTime
	}
	return a.Aim < b.Aim
}

// Hopeless takes out and returns the waiting jobs that can't be answered by their
// deadline any more, and those that have missed their aim while others wait that
// can keep theirs: their turn would not come.
func (q *Queue) Hopeless(now time.Duration) []*Entry {
	inTime := 0
	for _, entry := range q.waiting {
		if now+entry.cost <= entry.Aim {
			inTime++
		}
	}
	var hopeless []*Entry
	q.waiting = slices.DeleteFunc(q.waiting, func(entry *Entry) bool {
		crowded := inTime >= q.slots && now+entry.cost > entry.Aim
		if now+entry.cost <= entry.Deadline && !crowded {
			return false
		}
		hopeless = append(hopeless, entry)
		return true
	})
	return hopeless
}
