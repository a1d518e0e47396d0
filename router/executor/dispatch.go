package executor

import (
	"errors"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/prober"
)

// dispatch hands the request to the backend server.
func (r *run) dispatch(watch *watch, slot *admitter.Slot) Answer {
	now := timer.Now()
	if reason := r.recheck(now); reason != messenger.ReasonNone {
		slot.Abandon()
		return refuse(reason, 0)
	}
	started := time.Now()
	watch.start = r.startDeadline(now)
	result := r.options.Backend.Send(watch.run, &dispatcher.Order{
		Server:   r.view.Row,
		Request:  r.request,
		Body:     r.body,
		Shard:    r.ref.Shard,
		Fence:    r.ref.Fence,
		Deadline: watch.start,
	})
	sample := admitter.Sample{
		Time:   time.Since(started),
		Shed:   result.Reason == messenger.ReasonShed,
		Failed: result.Outcome == messenger.OutcomeUnknown,
	}
	r.atEnd(func() {
		slot.Release(sample)
		r.options.Tally.Add(r.ref.Service, r.ref.Shard, r.request.Key, time.Since(started))
	})
	r.see(watch, result)
	return r.answer(watch, result)
}

// answer turns what became of the request into an answer.
func (r *run) answer(watch *watch, result dispatcher.Result) Answer {
	if result.Outcome != messenger.OutcomeDone {
		if result.Cause == dispatcher.CauseCanceled {
			watch.abandoned = result.Outcome == messenger.OutcomeUnknown
			return failed(result.Outcome, watch.reason(result.Outcome))
		}
		return failed(result.Outcome, result.Reason)
	}
	lease := r.options.Leaser.Lease()
	if lease.Session != r.lease.Session || !lease.Alive(timer.Now()) {
		// A router that was suspended must not answer as the owner.
		_ = result.Body.Close()
		return failed(messenger.OutcomeUnknown, messenger.ReasonExpired)
	}
	response := result.Response
	response.Server = r.view.Row.Name
	response.Fence = r.ref.Fence
	return Answer{Response: response, Body: result.Body}
}

// recheck looks again, right before the request goes out, whether the router
// may serve it.
func (r *run) recheck(now timer.Instant) messenger.Reason {
	lease := r.options.Leaser.Lease()
	if lease.Session != r.lease.Session || !lease.Alive(now) {
		return messenger.ReasonLease
	}
	place, _ := r.options.Locator.Load().Locate(r.request.Service, r.request.Key)
	if drainer.Ref(place.Row) != r.ref || place.Row.Owner != lease.Session {
		return messenger.ReasonMisrouted
	}
	view := r.options.Server.View()
	r.view = view
	if view.State == messenger.ServerLeaving {
		// It was admitted before; a leaving server finishes its work.
		return messenger.ReasonNone
	}
	return serverReason(view)
}

// startDeadline is the wall-clock time after which the backend server must not
// start the request: no later than the end of the lease as it is now.
func (r *run) startDeadline(now timer.Instant) time.Time {
	end := time.Now().Add(r.options.Leaser.Lease().Left(now))
	if r.deadline.Before(end) {
		return r.deadline
	}
	return end
}

// see hands what became of the request to those who judge the server.
func (r *run) see(watch *watch, result dispatcher.Result) {
	server := r.options.Server
	switch result.Cause {
	case dispatcher.CauseNone:
		server.See(prober.TrafficAnswered)
	case dispatcher.CauseConnect:
		server.See(prober.TrafficRefused)
	case dispatcher.CauseBroken:
		server.See(prober.TrafficBroken)
		r.options.Detector.Broken(r.view.Row)
	case dispatcher.CauseCanceled:
		if errors.Is(watch.cause(), errDeadline) {
			server.See(prober.TrafficExpired)
		}
	}
}
