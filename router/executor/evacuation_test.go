package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/evacuator"
)

// withEvacuation is withSetup in failure domain a. The setup learns of an evacuation of the
// domain by a delta.
func withEvacuation(t *testing.T, test func(t *testing.T, s *setup)) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.options.Evacuation = evacuator.New(evacuator.Options{
			Domain: "a", Bound: 5 * time.Second, Lease: s.leaseSource.Lease, Log: logger.Discard(), Metrics: metrics.NewSet()})
		s.options.Evacuation.Update(&messenger.EvacuationRow{Domain: "a", Since: 1}, false)
		test(t, s)
	})
}

// Guards against requests for servers of an evacuated domain, and against refusals while
// its shards move.
func TestEvacuation(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *setup)
		sent   int
		reason messenger.Reason
	}{
		{name: "in the grace period", change: func(*setup) { time.Sleep(3400 * time.Millisecond) }, sent: 1},
		{name: "after it", change: func(*setup) { time.Sleep(3600 * time.Millisecond) }, reason: messenger.ReasonDraining},
		{name: "shard has moved", change: func(s *setup) { s.row.Owner = session + 1 }, reason: messenger.ReasonUnowned},
		{name: "order of unknown age", change: func(s *setup) {
			s.options.Evacuation.Update(&messenger.EvacuationRow{Domain: "a", Since: 2}, true)
		}, reason: messenger.ReasonDraining},
		{name: "withdrawn", change: func(s *setup) {
			time.Sleep(time.Minute)
			s.options.Evacuation.Update(nil, false)
		}, sent: 1},
		{name: "frozen", change: func(s *setup) { time.Sleep(messenger.LeaseDuration) }, reason: messenger.ReasonLease},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withEvacuation(t, func(t *testing.T, s *setup) {
				test.change(s)
				if test.reason != messenger.ReasonLease {
					s.leaseSource.renew(timer.Now())
				}
				s.publish(t)
				response, _ := s.send(requestNumbered("n1"))
				qt.Assert(t, response.Reason, qt.Equals, test.reason)
				qt.Assert(t, s.backend.runs(), qt.Equals, test.sent)
				qt.Assert(t, s.tracker.Total(), qt.Equals, 0)
			})
		})
	}
}

// Requests that run when the grace period ends complete; one that waits for a slot then does
// not start.
func TestRunningRequestsCompleteDuringEvacuation(t *testing.T) {
	withEvacuation(t, func(t *testing.T, s *setup) {
		proceed := make(chan struct{})
		s.backend.run = func(context.Context, *dispatcher.ServerRequest) dispatcher.Result {
			<-proceed
			return doneResult("answer")
		}
		time.Sleep(3 * time.Second)
		s.leaseSource.renew(timer.Now())
		first, second := s.start(requestNumbered("n1")), s.start(requestNumbered("n2"))
		third := s.start(requestNumbered("n3"))
		qt.Assert(t, s.backend.runs(), qt.Equals, 2)
		time.Sleep(600 * time.Millisecond)
		started := time.Now()
		late, _ := s.send(requestNumbered("n4"))
		assertOutcome(t, late, messenger.OutcomeRefused, messenger.ReasonDraining)
		qt.Assert(t, time.Since(started), qt.Equals, time.Duration(0), qt.Commentf("refused without waiting for a slot"))
		close(proceed)
		synctest.Wait()
		assertOutcome(t, <-first, messenger.OutcomeDone, "")
		assertOutcome(t, <-second, messenger.OutcomeDone, "")
		assertOutcome(t, <-third, messenger.OutcomeRefused, messenger.ReasonDraining)
		qt.Assert(t, s.backend.runs(), qt.Equals, 2)
	})
}
