package evacuator_test

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/keeper"
)

// testGuard is a Guard with a lease that the test sets. It must run in a synctest bubble.
type testGuard struct {
	*evacuator.Guard
	lease atomic.Pointer[keeper.Lease]
	set   *metrics.Set
}

func newTestGuard() *testGuard {
	g := &testGuard{set: metrics.NewSet()}
	g.confirm()
	g.Guard = evacuator.New(evacuator.Options{Domain: "a", Bound: bound, Lease: g.lease.Load, Log: logger.Discard(), Metrics: g.set})
	g.Tick()
	return g
}

// confirm renews the lease.
func (g *testGuard) confirm() { g.lease.Store(keeper.NewTestLease(7, timer.Now())) }

// metric returns the line of a metric.
func (g *testGuard) metric(name string) string {
	var text bytes.Buffer
	g.set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, name+" ") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// Guards against requests that are held longer than their caller waits, or longer than
// until the router knows of an order.
func TestHoldEnds(t *testing.T) {
	tests := []struct {
		name string
		// resume is called when the request has been held for 200 ms.
		resume func(g *testGuard, cancel func())
		left   time.Duration
		want   messenger.Reason
		took   time.Duration
	}{
		{name: "confirmed", resume: func(g *testGuard, _ func()) { g.confirm() }, left: time.Second, took: 200 * time.Millisecond},
		{name: "confirmed with an order", resume: func(g *testGuard, _ func()) {
			g.Update(order(1), false)
			g.confirm()
		}, left: time.Second, want: messenger.ReasonDraining, took: 200 * time.Millisecond},
		{name: "never confirmed", resume: func(*testGuard, func()) {}, left: time.Second, took: evacuator.MaxHold},
		{name: "caller leaves", resume: func(_ *testGuard, cancel func()) { cancel() }, left: time.Second, want: messenger.ReasonCanceled, took: 200 * time.Millisecond},
		{name: "deadline passes", resume: func(*testGuard, func()) {}, left: 300 * time.Millisecond, want: messenger.ReasonDeadline, took: 300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGuard()
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(200*time.Millisecond, func() { test.resume(g, cancel) })
				started := time.Now()
				qt.Assert(t, g.Admit(ctx, true, test.left), qt.Equals, test.want)
				took := time.Since(started)
				qt.Assert(t, took >= test.took && took <= test.took+20*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", took))
				qt.Assert(t, g.metric("marigold_evacuation_holds_total"), qt.Equals, "marigold_evacuation_holds_total 1")
			})
		})
	}
}

// The time for which requests are held counts for all of them together: the loss of the
// control group must not slow down every request.
func TestHoldCountsInTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard()
		time.Sleep(10 * time.Second)
		started := time.Now()
		for range 3 {
			qt.Assert(t, g.Admit(t.Context(), true, time.Second), qt.Equals, messenger.ReasonNone)
			time.Sleep(evacuator.TickInterval)
			g.Tick()
		}
		held := time.Since(started) - 3*evacuator.TickInterval
		qt.Assert(t, held <= evacuator.MaxHold+20*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", held))
	})
}

// A suspension of the VM stops the monotonic clock; the wall clock shows it.
func TestSuspensionCountsAsALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard()
		timer.StepWallClock(10 * time.Second)
		defer timer.StepWallClock(-10 * time.Second)
		started := time.Now()
		qt.Assert(t, g.Admit(t.Context(), false, 100*time.Millisecond), qt.Equals, messenger.ReasonDeadline)
		qt.Assert(t, time.Since(started), qt.Equals, 100*time.Millisecond)
	})
}

func TestMetricsOfAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard()
		qt.Assert(t, g.metric("marigold_evacuated"), qt.Equals, "marigold_evacuated 0")
		g.Update(order(1), true)
		qt.Assert(t, g.metric("marigold_evacuated"), qt.Equals, "marigold_evacuated 1")
		qt.Assert(t, g.Admit(t.Context(), false, time.Second), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, g.Check(timer.Now()), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, g.metric("marigold_evacuation_refusals_total"), qt.Equals, "marigold_evacuation_refusals_total 2")
		g.Update(nil, false)
		qt.Assert(t, g.metric("marigold_evacuated"), qt.Equals, "marigold_evacuated 0")
		qt.Assert(t, g.Check(timer.Now()), qt.Equals, messenger.ReasonNone)
	})
}
