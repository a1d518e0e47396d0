package relayer_test

import (
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
	"marigoldhill/router/inviter"
	"marigoldhill/router/keeper"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

// domainOwner is a testOwner in failure domain a, with the lease and the order that the test
// sets. It must run in a synctest bubble.
type domainOwner struct {
	*testOwner
	guard *evacuator.Guard
	lease atomic.Pointer[keeper.Lease]
	// refusals counts the requests that were refused because of the order.
	refusals *metrics.Counter
}

// newDomainOwner returns a domainOwner whose process has just started.
func newDomainOwner(run func(ctx context.Context) requester.Result) *domainOwner {
	o := &domainOwner{testOwner: newTestOwner(run)}
	o.lease.Store(keeper.NewTestLease(0, timer.Instant{}))
	set := metrics.NewSet()
	o.guard = evacuator.New(evacuator.Options{Domain: "a", Bound: 5 * time.Second, Lease: o.lease.Load, Log: logger.Discard(), Metrics: set})
	o.refusals = set.GetOrCreateCounter("marigold_evacuation_refusals_total")
	o.setBackend(o.backend)
	return o
}

// setBackend replaces the server.
func (o *domainOwner) setBackend(backend relayer.Backend) {
	o.Owner = relayer.NewOwner(relayer.OwnerOptions{
		Server: o.server, KeyChecker: o.keys, Admission: o.admission, Backend: backend, Sampler: o.sampler,
		Isolator: o.isolation, Detector: fakeDetector{}, Evacuation: o.guard,
		IsQuarantined: func(string) bool { return false }, Inbound: inviter.New(0), RequestUpdate: func() {},
		Log: logger.Discard(), Metrics: metrics.NewSet(),
	})
}

// newConfirmedOwner returns a domainOwner that has been confirmed for some time.
func newConfirmedOwner(run func(ctx context.Context) requester.Result) *domainOwner {
	o := newDomainOwner(run)
	o.confirm()
	return o
}

// confirm renews the lease.
func (o *domainOwner) confirm() {
	o.lease.Store(keeper.NewTestLease(ownSession, timer.Now()))
	o.guard.Tick()
}

// confirmFor lets time pass in which each heartbeat is answered.
func (o *domainOwner) confirmFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(200*time.Millisecond, time.Until(end)))
		o.confirm()
	}
}

func (o *domainOwner) order(isFull bool) {
	o.guard.Update(&messenger.EvacuationRow{Domain: "a", By: "op", Since: 1}, isFull)
}

// run runs a request and returns the reason why it was refused.
func (o *domainOwner) run(t *testing.T, key int32) messenger.Reason {
	response, _ := o.Run(t.Context(), relay(key), nil)
	return response.Reason
}

func done(context.Context) requester.Result {
	return doneResult(200, strings.NewReader("ok"), 2)
}

// Guards against requests for servers of an evacuated domain, and against refusals before
// entry routers know of the order and keys have moved.
func TestOwnerOfEvacuatedDomain(t *testing.T) {
	tests := []struct {
		name  string
		full  bool
		after time.Duration
		key   int32
		want  messenger.Reason
	}{
		{name: "without key, at once", key: messenger.NoKey},
		{name: "without key, in the grace period", after: 400 * time.Millisecond, key: messenger.NoKey},
		{name: "without key, after it", after: 600 * time.Millisecond, key: messenger.NoKey, want: messenger.ReasonDraining},
		{name: "by key, in the grace period", after: 3400 * time.Millisecond, key: 7},
		{name: "by key, after it", after: 3600 * time.Millisecond, key: 7, want: messenger.ReasonDraining},
		{name: "without key, order of unknown age", full: true, key: messenger.NoKey, want: messenger.ReasonDraining},
		{name: "by key, order of unknown age", full: true, key: 7, want: messenger.ReasonDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newConfirmedOwner(done)
				o.order(test.full)
				o.confirmFor(test.after)
				qt.Assert(t, o.run(t, test.key), qt.Equals, test.want)
				o.guard.Update(nil, false)
				qt.Assert(t, o.run(t, test.key), qt.Equals, messenger.ReasonNone, qt.Commentf("order withdrawn"))
			})
		})
	}
}

// A request that runs when the grace period ends completes; one that waits for a slot then
// does not start.
func TestRunningRequestCompletesDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		o := newConfirmedOwner(func(context.Context) requester.Result {
			<-proceed
			return doneResult(200, strings.NewReader("ok"), 2)
		})
		reasons := make(chan messenger.Reason, 2)
		start := func() {
			go func() { reasons <- o.run(t, messenger.NoKey) }()
			synctest.Wait()
		}
		start()
		o.order(false)
		start()
		o.confirmFor(600 * time.Millisecond)
		close(proceed)
		qt.Assert(t, <-reasons, qt.Equals, messenger.ReasonNone)
		qt.Assert(t, <-reasons, qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
		qt.Assert(t, o.admission.Work().Running, qt.Equals, 0)
	})
}

// Replays a router that is frozen when its domain is evacuated. When it thaws, requests are
// there that waited for a slot, and others arrive. Nothing may reach its server before its
// first delta, and nothing after it, since the order is old by then.
func TestFrozenRouterSendsNothingBeforeItsFirstDelta(t *testing.T) {
	for _, key := range []int32{7, messenger.NoKey} {
		synctest.Test(t, func(t *testing.T) {
			thaw := make(chan struct{})
			o := newConfirmedOwner(func(context.Context) requester.Result {
				<-thaw
				return doneResult(200, strings.NewReader("ok"), 2)
			})
			o.confirmFor(time.Second)
			started := time.Now()
			reasons := make(chan messenger.Reason, 12)
			send := func() {
				go func() {
					request := relay(key)
					request.Aim, request.Left = time.Minute, time.Minute
					response, _ := o.Run(t.Context(), request, nil)
					reasons <- response.Reason
				}()
				synctest.Wait()
			}
			send() // runs
			send() // waits for the slot
			qt.Assert(t, o.backend.sent, qt.Equals, 1)
			// Nothing is observed while the process is frozen.
			time.Sleep(20 * time.Second)
			close(thaw)
			synctest.Wait()
			for range 10 {
				send()
				time.Sleep(40 * time.Millisecond)
			}
			qt.Assert(t, o.backend.sent, qt.Equals, 1, qt.Commentf("sent before the first delta"))
			o.order(false)
			o.confirm()
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, reasons, qt.HasLen, 12, qt.Commentf("after %s", time.Since(started)))
			qt.Assert(t, <-reasons, qt.Equals, messenger.ReasonNone)
			for range 11 {
				qt.Assert(t, <-reasons, qt.Equals, messenger.ReasonDraining)
			}
			qt.Assert(t, o.backend.sent, qt.Equals, 1)
			qt.Assert(t, o.admission.Work().Running, qt.Equals, 0)
		})
	}
}

// A router that was frozen without an order sends the requests that it held.
func TestFrozenRouterServesOnWhenConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newConfirmedOwner(done)
		time.Sleep(20 * time.Second)
		time.AfterFunc(300*time.Millisecond, o.confirm)
		started := time.Now()
		qt.Assert(t, o.run(t, 7), qt.Equals, messenger.ReasonNone)
		held := time.Since(started)
		qt.Assert(t, held >= 300*time.Millisecond && held <= 330*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", held))
	})
}

// A request that was held has less time left at the server and in its queue.
func TestHeldRequestKeepsItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newConfirmedOwner(func(ctx context.Context) requester.Result {
			<-ctx.Done()
			return requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonExpired, Sent: true}
		})
		time.Sleep(20 * time.Second)
		time.AfterFunc(300*time.Millisecond, o.confirm)
		started := time.Now()
		qt.Assert(t, o.run(t, 7), qt.Equals, messenger.ReasonExpired)
		qt.Assert(t, time.Since(started), qt.Equals, time.Second)
		// The caller of a request whose deadline passes while it is held gets an answer.
		time.Sleep(20 * time.Second)
		started = time.Now()
		request := relay(7)
		request.Left = 150 * time.Millisecond
		response, _ := o.Run(t.Context(), request, nil)
		qt.Assert(t, response.Outcome, qt.Equals, messenger.OutcomeRefused)
		qt.Assert(t, response.Reason, qt.Equals, messenger.ReasonDeadline)
		qt.Assert(t, time.Since(started), qt.Equals, 150*time.Millisecond)
	})
}

// Guards against requests that are held first and then wait for a slot, or the other way
// round, and so are refused after their deadline.
func TestHeldAndQueuedRequestKeepsItsDeadline(t *testing.T) {
	tests := []struct {
		name string
		// confirmed is how long before the request the router was confirmed, resumed how
		// long after it that is the case again, and released when the slot becomes free.
		confirmed time.Duration
		resumed   time.Duration
		released  time.Duration
	}{
		{name: "held, then queued", confirmed: 20 * time.Second, resumed: 300 * time.Millisecond, released: 5 * time.Second},
		{name: "queued, then held", confirmed: messenger.LeaseDuration - 300*time.Millisecond, resumed: 5 * time.Second, released: 400 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newConfirmedOwner(done)
				slot, refused := o.admission.Acquire(t.Context(), queuer.Job{Kind: "other", Aim: time.Hour, Deadline: time.Hour})
				qt.Assert(t, refused, qt.IsNil)
				time.Sleep(test.confirmed)
				time.AfterFunc(test.resumed, o.confirm)
				time.AfterFunc(test.released, func() { slot.Release(true) })
				started := time.Now()
				request := relay(7)
				request.Aim = request.Left
				response, _ := o.Run(t.Context(), request, nil)
				qt.Assert(t, response.Outcome, qt.Equals, messenger.OutcomeRefused)
				qt.Assert(t, response.Reason, qt.Equals, messenger.ReasonDeadline)
				qt.Assert(t, time.Since(started) <= time.Second, qt.IsTrue, qt.Commentf("refused after %s", time.Since(started)))
				qt.Assert(t, o.backend.sent, qt.Equals, 0)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against requests of callers that have left and are sent to the server when the
// hold ends.
func TestHeldRequestEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newConfirmedOwner(done)
		time.Sleep(20 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		started := time.Now()
		response, _ := o.Run(ctx, relay(7), nil)
		qt.Assert(t, response.Reason, qt.Equals, messenger.ReasonCanceled)
		qt.Assert(t, time.Since(started), qt.Equals, 100*time.Millisecond)
		time.Sleep(time.Second)
		qt.Assert(t, o.backend.sent, qt.Equals, 0)
	})
}

// The loss of the control group must not stop all service: a router that is cut off for long
// holds requests for 700 ms in total and then serves on.
func TestCutOffRouterServesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newConfirmedOwner(done)
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			ticker := time.NewTicker(evacuator.TickInterval)
			defer ticker.Stop()
			for ctx.Err() == nil {
				<-ticker.C
				o.guard.Tick()
			}
		}()
		held := time.Duration(0)
		for range 200 {
			started := time.Now()
			qt.Assert(t, o.run(t, messenger.NoKey), qt.Equals, messenger.ReasonNone)
			held += time.Since(started)
			time.Sleep(50 * time.Millisecond)
		}
		qt.Assert(t, held > 0 && held <= evacuator.MaxHold+20*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", held))
		qt.Assert(t, o.backend.sent, qt.Equals, 200)
		stop()
		time.Sleep(time.Second)
	})
}

// A process that starts during an evacuation knows of no order before its first delta.
// Entry routers that remember its predecessor send it requests.
func TestRouterThatStartsDuringAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newDomainOwner(done)
		started := time.Now()
		qt.Assert(t, o.run(t, messenger.NoKey), qt.Equals, messenger.ReasonMisrouted)
		time.Sleep(5 * time.Second)
		qt.Assert(t, o.run(t, messenger.NoKey), qt.Equals, messenger.ReasonMisrouted)
		qt.Assert(t, time.Since(started), qt.Equals, 5*time.Second, qt.Commentf("refused at once"))
		o.order(true)
		o.confirm()
		qt.Assert(t, o.run(t, messenger.NoKey), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, o.run(t, 7), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, o.backend.sent, qt.Equals, 0)
	})
}
