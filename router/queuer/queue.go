// Package queuer is the admission queue of a backend server: it decides which requests
// run now, which wait and which are refused. Package relayer uses it in routed mode; in
// sharded mode package executor uses package admitter.
//
// [Queue] makes the decisions. It receives events with their times and reads no
// clock. [Admission] wraps it and blocks the requests that wait.
//
// The queue is built for overload. A request that is not expected to finish within
// the latency target of its route (its aim) is refused on arrival, while its caller
// still has time to retry; a burst then costs only the excess requests, not the
// latency of all. Requests of a lower rank run first. Within a rank the earliest aim
// runs first. A request that has missed its aim runs only after those that can still
// meet theirs, as it would make them late as well.
//
// Calls that runs at other servers wait for go before others of their rank for up to a fixed
// share of the slots, since a call that is refused or late costs the run that made it.
//
// A kind that is refused for its expected cost is let in now and then, so that the cost is
// measured. This matters after a router restarts beside a full server, and after a server was
// slow; see isTrial and newEntry.
//
// A server may name a limit of requests per second. Jobs then start at that rate, even if
// slots are free, and the excess is refused in the same way. For a cold server, the starts
// in any second are bounded.
//
// # Usage
//
//	admission := queuer.NewAdmission(6)
//	slot, refusal := admission.Acquire(ctx, queuer.Job{Kind: "lookup", Rank: 2, Aim: aim, Deadline: deadline, Call: isCall})
//	if slot == nil {
//		return refusal.Reason, refusal.RetryAfter
//	}
//	defer func() { slot.Release(served) }()
package queuer

import (
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// maxWaitingPerSlot bounds the queue length. With equal costs the last request
	// waits for this many service times, longer than any aim allows.
	maxWaitingPerSlot = 8
	// overrunDivisor sets the remaining time assumed for a job that has exceeded
	// its expected cost: the cost divided by this.
	overrunDivisor = 4
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is
	// asked to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Job is a request for a slot. Its times use the clock of the Queue's events.
type Job struct {
	// Kind groups requests of similar cost.
	Kind string
	// Rank is the priority; lower ranks run first.
	Rank int
	// Aim is the target completion time, Deadline the latest useful one.
	Aim      time.Duration
	Deadline time.Duration
	// Delay is how long the answer is expected to take on the VM's link after the run if
	// the job starts at once; 0 if the link is idle then.
	Delay time.Duration
	// Final is set if the caller has no time left for a retry. Such a job is admitted if it
	// can meet its deadline.
	Final bool
	// Call is set if a run at another server waits for the job. Such a job mostly goes before
	// others of its rank; see callTurns.
	Call bool
}

// Entry is a waiting or running job.
type Entry struct {
	Job
	cost    time.Duration
	arrived time.Duration
	started time.Duration
	// paused is for how long the process has not run since the job started.
	paused  time.Duration
	running bool
	// sent is set when the job was counted as sent; see [Queue.Send].
	sent bool
	// trial is set if the job was admitted to measure the cost of its kind.
	trial bool
}

// Queue holds the waiting and running jobs of one backend server. It is not safe for
// concurrent use.
type Queue struct {
	slots   int
	running map[*Entry]struct{}
	waiting []*Entry
	costs   map[string]time.Duration
	// measured is when the cost of each kind was last updated or a trial of it ended, unless
	// all that is known of it is one request without an answer.
	measured map[string]time.Duration
	// aims is the longest time from arrival to aim per kind. Retries of refused
	// requests arrive with less time left.
	aims map[string]time.Duration
	// offered is the load by rank, offeredCalls that of calls in it.
	offered      map[int]*offeredLoad
	offeredCalls map[int]*offeredLoad
	turns        callTurns
	limiter      limiter
	window       window
	// coldStarts counts the jobs that started under the bound of window.
	coldStarts uint64
	// totals are the counters since the last call of TakeKindTotals.
	totals map[string]*KindTotals
}

// NewQueue returns a Queue for a backend server with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, running: make(map[*Entry]struct{}), costs: make(map[string]time.Duration), measured: make(map[string]time.Duration), aims: make(map[string]time.Duration), offered: make(map[int]*offeredLoad), offeredCalls: make(map[int]*offeredLoad), totals: make(map[string]*KindTotals)}
}

// Refusal is the reason why a job was refused and the delay after which to retry.
type Refusal struct {
	Reason     messenger.Reason
	RetryAfter time.Duration
	// Cold means that the bound for a cold backend server left no room in time.
	Cold bool
	// Link is set if the answer would wait too long for the VM's link.
	Link bool
}

// SetSlots changes the number of slots. It starts no jobs; see [Queue.StartWaiting].
func (q *Queue) SetSlots(slots int) {
	q.slots = slots
}

// Load returns the numbers of running jobs, waiting jobs and slots.
func (q *Queue) Load() (running, waiting, slots int) {
	return len(q.running), len(q.waiting), q.slots
}

// Pace returns the mean cost of the running and waiting jobs, or of all kinds if there
// are none.
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

// Slowness returns the mean over all kinds of cost divided by aim, 0 if none is
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

// Offer starts a job, adds it to the waiting jobs or refuses it.
func (q *Queue) Offer(now time.Duration, job Job) (*Entry, *Refusal) {
	entry := q.newEntry(now, job)
	q.kindTotals(job).Offered++
	if q.offered[job.Rank] == nil {
		q.offered[job.Rank] = new(offeredLoad)
	}
	q.offered[job.Rank].add(now, entry.cost)
	if job.Call {
		if q.offeredCalls[job.Rank] == nil {
			q.offeredCalls[job.Rank] = new(offeredLoad)
		}
		q.offeredCalls[job.Rank].add(now, entry.cost)
	}
	q.aims[job.Kind] = max(q.aims[job.Kind], job.Aim-now)
	if refusal := q.check(now, entry); refusal != nil {
		q.kindTotals(job).Refused++
		return nil, refusal
	}
	if q.canStart(now) && len(q.waiting) == 0 {
		q.start(now, entry)
		return entry, nil
	}
	q.waiting = append(q.waiting, entry)
	return entry, nil
}

// Check returns the refusal that a job would get if it were offered, without a trace of it
// in the queue.
func (q *Queue) Check(now time.Duration, job Job) *Refusal {
	return q.check(now, q.newEntry(now, job))
}

func (q *Queue) start(now time.Duration, entry *Entry) {
	entry.started = now
	entry.running = true
	q.count(now)
	q.running[entry] = struct{}{}
	q.turns.start(entry, q.slots, entry.Call && q.othersWait())
}

// Done removes a running job and returns the jobs started in its place. The running
// time updates the cost of its kind; see measure.
func (q *Queue) Done(now time.Duration, entry *Entry, served bool) []*Entry {
	delete(q.running, entry)
	q.Send(entry.started, entry)
	q.countEnd(now, entry, served)
	q.measure(now, entry, served)
	return q.StartWaiting(now)
}

// Cancel removes a waiting job. It reports whether the job was still waiting.
func (q *Queue) Cancel(entry *Entry) bool {
	index := slices.Index(q.waiting, entry)
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	q.kindTotals(entry.Job).Refused++
	return true
}

// StartWaiting starts waiting jobs while slots are free and the limit allows it, and
// returns them.
func (q *Queue) StartWaiting(now time.Duration) []*Entry {
	var started []*Entry
	for len(q.waiting) > 0 && q.canStart(now) {
		best := 0
		for i := range q.waiting {
			if q.runsBefore(now, q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
		entry := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.start(now, entry)
		started = append(started, entry)
	}
	return started
}

// runsBefore reports whether waiting job a runs before b.
func (q *Queue) runsBefore(now time.Duration, a, b *Entry) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Call != b.Call {
		return a.Call == q.turns.prefersCalls()
	}
	aInTime, bInTime := now+a.cost <= a.Aim, now+b.cost <= b.Aim
	if aInTime != bInTime {
		return aInTime
	}
	return a.Aim < b.Aim
}

// RemoveLate removes and returns the waiting jobs that can no longer finish by their
// deadline, and those that have missed their aim while enough others to fill the slots
// can still meet theirs, and so would always run first.
func (q *Queue) RemoveLate(now time.Duration) []*Entry {
	inTime := 0
	for _, entry := range q.waiting {
		if now+entry.cost <= entry.Aim {
			inTime++
		}
	}
	var late []*Entry
	q.waiting = slices.DeleteFunc(q.waiting, func(entry *Entry) bool {
		displaced := inTime >= q.slots && now+entry.cost > entry.Aim && !entry.Call
		if now+entry.cost <= entry.Deadline && !displaced {
			return false
		}
		late = append(late, entry)
		q.kindTotals(entry.Job).Refused++
		return true
	})
	return late
}
