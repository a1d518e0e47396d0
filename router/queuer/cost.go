package queuer

import "time"

const (
	// defaultCost is the expected service time of a kind without samples.
	defaultCost = 100 * time.Millisecond
	// costWeight is the weight of a new sample in the moving average cost of its
	// kind.
	costWeight = 0.1
)

// Cost returns the expected service time of a kind.
func (q *Queue) Cost(kind string) time.Duration {
	if cost, known := q.costs[kind]; known {
		return cost
	}
	return defaultCost
}

// measure updates the cost of the kind of a job that has ended if it was served, or if it took
// longer than expected: a backend server that has become slow answers few requests, so counting
// only responses would miss it.
func (q *Queue) measure(now time.Duration, entry *Entry, served bool) {
	elapsed := entry.elapsed(now)
	if !served {
		// Nothing is known of what would have followed its deadline.
		elapsed = min(elapsed, max(entry.Deadline-entry.started, 0))
	}
	_, known := q.costs[entry.Kind]
	updated := served || elapsed > q.Cost(entry.Kind)
	if updated {
		q.updateCost(entry, elapsed)
	}
	// A kind whose first request got no answer may be tried again at once.
	if entry.trial || updated && (served || known) {
		q.measured[entry.Kind] = now
	}
}

func (q *Queue) updateCost(entry *Entry, elapsed time.Duration) {
	cost, known := q.costs[entry.Kind]
	if !known {
		q.costs[entry.Kind] = elapsed
		return
	}
	weight := costWeight
	if entry.trial {
		weight = trialWeight
	}
	q.costs[entry.Kind] = cost + time.Duration(weight*float64(elapsed-cost))
}

// Pause records that the process did not run for a while, which is no work of the backend
// server. What ends after a pause must be passed to Done after it.
func (q *Queue) Pause(pause time.Duration) {
	for entry := range q.running {
		entry.paused += pause
	}
}

// elapsed returns how long a running job has been at the backend server.
func (e *Entry) elapsed(now time.Duration) time.Duration {
	return max(now-e.started-e.paused, 0)
}
