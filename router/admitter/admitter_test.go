package admitter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
)

func job(class messenger.Class, timeout time.Duration) admitter.Job {
	return admitter.Job{
		Profile: string(class), Class: class, Queue: 4, Share: 1, Weight: 1, Key: "k", Caller: "c", Timeout: timeout,
	}
}

func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := admitter.New(metrics.NewSet())
		admission.SetServer(messenger.ServerRow{Slots: 1})
		first, _ := admission.Acquire(t.Context(), job(messenger.ClassInteractive, time.Second))
		qt.Assert(t, first, qt.IsNotNil)
		time.AfterFunc(200*time.Millisecond, func() { first.Release(admitter.Sample{Latency: 200 * time.Millisecond}) })
		second, _ := admission.Acquire(t.Context(), job(messenger.ClassInteractive, time.Second))
		qt.Assert(t, second, qt.IsNotNil)

		// The deadline passes while the request waits: it is refused by then.
		start := time.Now()
		slot, refusal := admission.Acquire(t.Context(), job(messenger.ClassInteractive, 500*time.Millisecond))
		qt.Assert(t, slot, qt.IsNil)
		qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonDeadline)
		qt.Assert(t, refusal.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, time.Since(start) <= 500*time.Millisecond, qt.IsTrue)

		// A request that is canceled while waiting takes no slot.
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		slot, refusal = admission.Acquire(ctx, job(messenger.ClassInteractive, time.Second))
		qt.Assert(t, slot, qt.IsNil)
		qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonNone)
		second.Release(admitter.Sample{Latency: time.Millisecond})
		third, _ := admission.Acquire(t.Context(), job(messenger.ClassInteractive, time.Second))
		qt.Assert(t, third, qt.IsNotNil)
	})
}

func TestReportsStalledBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := admitter.New(metrics.NewSet())
		admission.SetServer(messenger.ServerRow{Slots: 1})
		holder, _ := admission.Acquire(t.Context(), job(messenger.ClassInteractive, time.Minute))
		done := make(chan *admitter.Slot, 1)
		go func() {
			slot, _ := admission.Acquire(t.Context(), job(messenger.ClassBackground, time.Minute))
			done <- slot
		}()
		time.Sleep(29 * time.Second)
		qt.Assert(t, admission.Report(timer.Now()).Stalled, qt.Equals, 0)
		time.Sleep(2 * time.Second)
		report := admission.Report(timer.Now())
		qt.Assert(t, report.Stalled, qt.Equals, 1)
		qt.Assert(t, report.Queue, qt.Equals, 1)
		qt.Assert(t, report.Oldest.Key, qt.Equals, "k")
		holder.Abandon()
		qt.Assert(t, <-done, qt.IsNotNil)
		qt.Assert(t, admission.Report(timer.Now()).Stalled, qt.Equals, 0)
	})
}
