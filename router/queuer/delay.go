package queuer

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// CheckDelay returns the refusal of a job that waits and then takes its cost, if its answer
// is expected to arrive too late because of the VM's link. The answer of a job that misses
// its aim anyway has until the deadline.
func (j Job) CheckDelay(now, wait, cost time.Duration) *Refusal {
	// The link sends while the job waits for its slot.
	delay := j.Delay - wait
	if delay <= 0 {
		return nil
	}
	target := j.latest()
	if now+wait+cost > target {
		target = j.Deadline
	}
	excess := now + wait + cost + delay - target
	if excess <= 0 {
		return nil
	}
	return &Refusal{Reason: messenger.ReasonLimit, RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter), Link: true}
}
