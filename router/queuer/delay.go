package queuer

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// CheckDelay returns the refusal of a job that would end after the time needed, if its
// answer is expected to arrive too late because it waits for the VM's link. The answer of a
// job that ends after its aim anyway has until the deadline.
func (j Job) CheckDelay(now, needed time.Duration) *Refusal {
	if j.Delay <= 0 {
		return nil
	}
	target := j.Aim
	if now+needed > target {
		target = j.Deadline
	}
	excess := now + needed + j.Delay - target
	if excess <= 0 {
		return nil
	}
	return &Refusal{Reason: messenger.ReasonLimit, RetryAfter: min(max(excess, minRetryAfter), maxRetryAfter), Link: true}
}
