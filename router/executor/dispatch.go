package executor

import (
	"errors"
	"net/url"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/prober"
)

// dispatch sends the request to the backend server.
func (r *run) dispatch(lifetime *lifetime, slot *admitter.Slot) Answer {
	now := timer.Now()
	if reason := r.recheck(now); reason != messenger.ReasonNone {
		slot.Abandon()
		return refusedAnswer(reason, 0)
	}
	stopwatch := timer.StartStopwatch()
	lifetime.latestStart = r.startDeadline(now)
	result := r.options.Backend.Send(lifetime.run, &dispatcher.ServerRequest{
		Server:   r.view.Row,
		Request:  r.request,
		Body:     r.body,
		Shard:    r.ref.Shard,
		Fence:    r.ref.Fence,
		Deadline: lifetime.latestStart,
	})
	sample := admitter.Sample{
		Latency: stopwatch.Elapsed(),
		Shed:    result.Reason == messenger.ReasonShed,
		Failed:  result.Outcome == messenger.OutcomeUnknown,
	}
	// The server may have answered in time while this process did not run.
	judged := !isExpired(lifetime, result) || stopwatch.Paused() == 0
	r.onEnd(func() {
		if judged {
			slot.Release(sample)
		} else {
			slot.Abandon()
		}
		r.options.Tally.Add(r.ref.Service, r.ref.Shard, r.request.Key, stopwatch.Elapsed())
	})
	if judged {
		r.reportTraffic(lifetime, result)
	}
	return r.answer(lifetime, result)
}

// answer turns the result of the request into an answer.
func (r *run) answer(lifetime *lifetime, result dispatcher.Result) Answer {
	if result.Outcome != messenger.OutcomeDone {
		if result.Cause == dispatcher.CauseCanceled {
			lifetime.mayStillRun = result.Outcome == messenger.OutcomeUnknown
			return failedAnswer(result.Outcome, lifetime.canceledReason(result.Outcome))
		}
		return failedAnswer(result.Outcome, result.Reason)
	}
	lease := r.options.LeaseSource.Lease()
	if lease.Session != r.lease.Session || !lease.IsLeaseValid(timer.Now()) {
		// A router that was suspended must not answer as the owner.
		_ = result.Body.Close()
		return failedAnswer(messenger.OutcomeUnknown, messenger.ReasonExpired)
	}
	response := result.Response
	response.Server = r.view.Row.Name
	response.Fence = r.ref.Fence
	return Answer{Response: response, Body: result.Body}
}

// recheck checks again, right before the request is sent, that the router may serve
// it, since this may have changed while the request waited.
func (r *run) recheck(now timer.Instant) messenger.Reason {
	lease := r.options.LeaseSource.Lease()
	if lease.Session != r.lease.Session || !lease.IsLeaseValid(now) {
		return messenger.ReasonLease
	}
	table := r.options.Locator.Load()
	if table.IsQuarantined(r.print) {
		return messenger.ReasonQuarantine
	}
	place, _ := table.Locate(r.request.Service, r.request.Key)
	if drainer.RefOf(place.Row) != r.ref || place.Row.Owner != lease.Session {
		return messenger.ReasonMisrouted
	}
	if reason := r.options.Evacuation.Check(now); reason != messenger.ReasonNone {
		return reason
	}
	view := r.options.Server.View()
	r.view = view
	if view.State == messenger.ServerLeaving {
		// The request was admitted before; a leaving server finishes its work.
		return messenger.ReasonNone
	}
	return serverReason(view)
}

// startDeadline returns the wall-clock time after which the backend server must not
// start the request: its deadline, but no later than the current end of the lease.
func (r *run) startDeadline(now timer.Instant) time.Time {
	leaseEnd := time.Now().Add(r.options.LeaseSource.Lease().Remaining(now))
	if r.deadline.Before(leaseEnd) {
		return r.deadline
	}
	return leaseEnd
}

// reportTraffic reports the result of the request as evidence on the state of the
// backend server.
func (r *run) reportTraffic(lifetime *lifetime, result dispatcher.Result) {
	server := r.options.Server
	switch result.Cause {
	case dispatcher.CauseNone:
		server.Observe(prober.TrafficAnswered)
	case dispatcher.CauseConnect:
		server.Observe(prober.TrafficRefused)
	case dispatcher.CauseBroken:
		server.Observe(prober.TrafficDisconnected)
		if base, err := url.Parse(r.view.Row.URL); err == nil {
			r.options.Detector.ConnectionBroken(base.Host)
		}
	case dispatcher.CauseCanceled:
		if isExpired(lifetime, result) {
			server.Observe(prober.TrafficExpired)
		}
	}
}

// isExpired reports whether a request was given up at its deadline.
func isExpired(lifetime *lifetime, result dispatcher.Result) bool {
	return result.Cause == dispatcher.CauseCanceled && errors.Is(lifetime.cause(), errDeadline)
}
