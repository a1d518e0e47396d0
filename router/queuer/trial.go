package queuer

import "time"

const (
	// trialInterval is the age from which the cost of a kind is measured anew.
	trialInterval = time.Second
	// trialWeight is the weight of a trial in the cost of its kind, which is older than
	// trialInterval.
	trialWeight = 0.5
	// minTrialTime is the time that a job must have left to be a trial.
	minTrialTime = defaultCost / overrunDivisor
)

// newEntry returns the entry of a job that arrives. The load pattern is a kind that seems to
// take longer than its requests have, as after its server was slow: each would be refused, at
// an idle server too, and none would show that the cost has changed. Its trial counts as one of
// unknown cost.
func (q *Queue) newEntry(now time.Duration, job Job) *Entry {
	entry := &Entry{Job: job, cost: q.Cost(job.Kind), arrived: now}
	left := entry.Deadline - now
	if entry.cost > left && left >= minTrialTime && q.isTrialDue(now, job.Kind) {
		entry.cost = min(defaultCost, left/2)
		entry.trial = true
	}
	return entry
}

// isTrial reports whether a job is admitted although its expected cost leaves no time for
// it, to measure the cost of its kind. The load pattern is a full server whose router has
// just started, or that was slow for a while: a kind with an aim near its expected cost is
// refused whenever it has to wait, so the cost is not measured and each job of the kind is
// refused while the server stays full. If those jobs are calls of other servers, the runs
// that make them fail.
//
// There is one trial of a kind at a time, and only if the job could start before its aim.
func (q *Queue) isTrial(now, expectedWait time.Duration, entry *Entry) bool {
	return now+expectedWait < entry.latest() && q.isTrialDue(now, entry.Kind)
}

// isTrialDue reports whether the cost of a kind is old, and no job of the kind will renew it.
func (q *Queue) isTrialDue(now time.Duration, kind string) bool {
	measured, known := q.measured[kind]
	return (!known || now-measured >= trialInterval) && !q.has(kind)
}

// has reports whether a job of a kind is waiting or running.
func (q *Queue) has(kind string) bool {
	for running := range q.running {
		if running.Kind == kind {
			return true
		}
	}
	for _, waiting := range q.waiting {
		if waiting.Kind == kind {
			return true
		}
	}
	return false
}
