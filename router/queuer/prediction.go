package queuer

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// check returns the refusal of an entry, or nil if it can run or wait.
func (q *Queue) check(now time.Duration, entry *Entry) *Refusal {
	if now+entry.cost > entry.Deadline {
		return &Refusal{Reason: messenger.ReasonDeadline}
	}
	if q.canStart(now) && len(q.waiting) == 0 {
		return entry.CheckDelay(now, 0, entry.cost)
	}
	reason, expectedWait, cold := messenger.ReasonQueue, q.expectedWait(now, entry), false
	if limitWait := q.expectedLimitWait(now, entry); limitWait > expectedWait {
		reason, expectedWait, cold = messenger.ReasonLimit, limitWait, q.isColdLimit(now, q.countAhead(entry))
	}
	isTooLate := now+expectedWait+entry.cost > entry.latest()
	if isTooLate && q.isTrial(now, expectedWait, entry) {
		entry.trial, isTooLate = true, false
	}
	if len(q.waiting) >= maxWaitingPerSlot*q.slots || isTooLate {
		return &Refusal{Reason: reason, RetryAfter: q.retryAfter(now, entry.Job, expectedWait+entry.cost), Cold: cold}
	}
	return entry.CheckDelay(now, expectedWait, entry.cost)
}

// latest returns when a job must be expected to finish to be admitted.
func (j Job) latest() time.Duration {
	if j.Final {
		return j.Deadline
	}
	return j.Aim
}

// expectedWait predicts how long a job would wait: until the next slot is free, plus
// the time for the work ahead of it.
func (q *Queue) expectedWait(now time.Duration, entry *Entry) time.Duration {
	if q.slots == 0 {
		return entry.Deadline
	}
	nextFree := time.Duration(-1)
	for running := range q.running {
		remaining := max(running.cost-running.elapsed(now), running.cost/overrunDivisor)
		if nextFree < 0 || remaining < nextFree {
			nextFree = remaining
		}
	}
	if len(q.running) < q.slots {
		nextFree = 0
	}
	ahead := time.Duration(0)
	for _, other := range q.waiting {
		if other.isAheadOf(entry) {
			ahead += other.cost
		}
	}
	// Jobs of lower ranks, and calls, that arrive in the meantime run first as well.
	expectedWait := float64(max(nextFree, 0)) + float64(ahead)/float64(q.slots)
	return time.Duration(expectedWait / q.availableShare(now, entry))
}

// expectedLimitWait predicts how long a job would wait for the limit, with the jobs ahead
// of it and those of lower ranks that arrive in the meantime.
func (q *Queue) expectedLimitWait(now time.Duration, entry *Entry) time.Duration {
	if q.Limit() == 0 {
		return 0
	}
	wait := q.limitWait(now, q.countAhead(entry))
	return time.Duration(float64(wait) / (1 - q.urgentRateShare(now, entry.Rank)))
}

// countAhead returns the number of waiting jobs that run before an entry.
func (q *Queue) countAhead(entry *Entry) int {
	ahead := 0
	for _, other := range q.waiting {
		if other.isAheadOf(entry) {
			ahead++
		}
	}
	return ahead
}

// isAheadOf reports whether a waiting job runs before another one that arrives. Calls and
// other jobs of a rank share the slots, see [Queue.availableShare].
func (e *Entry) isAheadOf(other *Entry) bool {
	return e.Rank < other.Rank || (e.Rank == other.Rank && e.Call == other.Call && e.Aim <= other.Aim)
}

// retryAfter estimates when the queue will be short enough for a job like the refused
// one to meet its aim.
func (q *Queue) retryAfter(now time.Duration, job Job, needed time.Duration) time.Duration {
	return min(max(now+needed-job.Aim, minRetryAfter), maxRetryAfter)
}
