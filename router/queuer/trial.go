package queuer

import "time"

// trialInterval is the age from which the cost of a kind is measured anew.
const trialInterval = time.Second

// isTrial reports whether a job is admitted although its expected cost leaves no time for
// it, to measure the cost of its kind. The load pattern is a full server whose router has
// just started, or that was slow for a while: a kind with an aim near its expected cost is
// refused whenever it has to wait, so the cost is not measured and each job of the kind is
// refused while the server stays full. If those jobs are calls of other servers, the runs
// that make them fail.
//
// There is one trial of a kind at a time, and only if the job could start before its aim.
func (q *Queue) isTrial(now, expectedWait time.Duration, entry *Entry) bool {
	if measured, known := q.measured[entry.Kind]; known && now-measured < trialInterval {
		return false
	}
	return now+expectedWait < entry.latest() && !q.has(entry.Kind)
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
