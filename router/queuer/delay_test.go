package queuer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/queuer"
)

// Guards against requests that run although their answers arrive too late, and against
// refusals where the answer arrives in time or is not delayed at all.
func TestDelayOfTheAnswer(t *testing.T) {
	tests := []struct {
		name string
		// running is the number of jobs that run at the two slots. Each takes 100 ms.
		running       int
		aim, deadline time.Duration
		delay         time.Duration
		refused       bool
		retryAfter    time.Duration
	}{
		{name: "no delay", aim: 100 * ms, deadline: time.Second},
		{name: "no delay, aim missed", aim: 50 * ms, deadline: time.Second},
		{name: "in time", aim: 400 * ms, deadline: time.Second, delay: 300 * ms},
		{name: "too late", aim: 400 * ms, deadline: time.Second, delay: 400 * ms, refused: true, retryAfter: 100 * ms},
		{name: "aim missed anyway", aim: 50 * ms, deadline: time.Second, delay: 400 * ms},
		{name: "aim missed anyway, deadline missed for the delay", aim: 50 * ms, deadline: time.Second, delay: 1100 * ms, refused: true, retryAfter: 200 * ms},
		{name: "delay passes during the wait", running: 2, aim: 200 * ms, deadline: time.Second, delay: 100 * ms},
		{name: "delay beyond the wait", running: 2, aim: 250 * ms, deadline: time.Second, delay: 200 * ms, refused: true, retryAfter: 50 * ms},
		{name: "long delay", aim: 400 * ms, deadline: time.Second, delay: time.Minute, refused: true, retryAfter: 2 * time.Second},
	}
	for _, test := range tests {
		queue := queuer.NewQueue(2)
		for range test.running {
			_, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: time.Second, Deadline: time.Second})
			qt.Assert(t, refusal, qt.IsNil)
		}
		job := queuer.Job{Kind: "a", Aim: test.aim, Deadline: test.deadline, Delay: test.delay}
		checked := queue.Check(0, job)
		_, refusal := queue.Offer(0, job)
		qt.Check(t, refusal, qt.DeepEquals, checked, qt.Commentf(test.name))
		if !test.refused {
			qt.Check(t, refusal, qt.IsNil, qt.Commentf(test.name))
			continue
		}
		qt.Check(t, refusal, qt.DeepEquals, &queuer.Refusal{Reason: messenger.ReasonLimit, RetryAfter: test.retryAfter, Link: true}, qt.Commentf(test.name))
	}
}

// A refusal for the slots of the server is not counted as one for the link.
func TestRefusalForSlotsBesideDelay(t *testing.T) {
	queue := queuer.NewQueue(1)
	job := queuer.Job{Kind: "a", Aim: 150 * ms, Deadline: time.Second}
	_, refusal := queue.Offer(0, job)
	qt.Assert(t, refusal, qt.IsNil)
	job.Delay = 300 * ms
	_, refusal = queue.Offer(0, job)
	qt.Assert(t, refusal, qt.DeepEquals, &queuer.Refusal{Reason: messenger.ReasonQueue, RetryAfter: 50 * ms})
}
