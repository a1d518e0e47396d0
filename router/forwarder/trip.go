package forwarder

import (
	"context"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/locator"
	"marigoldhill/router/retrier"
)

// trip is the way of one request to its owner, with all its sends.
type trip struct {
	forwarder *Forwarder
	request   *messenger.Request
	profile   *messenger.Profile
	body      *replay
	retried   int
	corrected int
	// place is where the key was at the last send.
	place locator.Place
	// doubted is the reason of an earlier send whose outcome stayed unknown:
	// from then on the request as a whole cannot be called refused.
	doubted messenger.Reason
	// sent is when the request was last sent to another router.
	sent timer.Instant
	// heldSince is when the request was held first; zero before that.
	heldSince timer.Instant
}

func (t *trip) run(ctx context.Context) executor.Answer {
	for {
		answer := t.attempt(ctx)
		decision := t.decide(ctx, answer)
		if decision.Verdict == retrier.VerdictBudget {
			return t.final(t.overBudget(answer))
		}
		if !decision.Verdict.IsAgain() {
			return t.final(answer)
		}
		if !t.pause(ctx, decision) {
			return t.final(answer)
		}
		if answer.Response.Outcome == messenger.OutcomeUnknown {
			t.doubted = answer.Response.Reason
		}
		answer.Close()
	}
}

// final turns the answer of the last send into that of the request: a refusal
// of the last send says nothing about an earlier one that may have run.
func (t *trip) final(answer executor.Answer) executor.Answer {
	if t.doubted == messenger.ReasonNone || answer.Response.Outcome != messenger.OutcomeRefused {
		return answer
	}
	answer.Response.Outcome = messenger.OutcomeUnknown
	answer.Response.Reason = t.doubted
	return answer
}

// attempt sends the request once to the place that the routing table gives.
func (t *trip) attempt(ctx context.Context) executor.Answer {
	options := &t.forwarder.options
	if !options.Lease.Alive(timer.Now()) {
		return refuse(t.request, messenger.ReasonLease)
	}
	table := options.Locator.Load()
	place, reason := table.Locate(t.request.Service, t.request.Key)
	t.place = place
	if reason != messenger.ReasonNone {
		return refuse(t.request, reason)
	}
	t.request.Revision = table.Revision()
	t.request.Attempt++
	t.request.Timeout = ownerTimeout(ctx)
	if place.Owner.Session == options.Lease.Session() {
		t.forwarder.counters.local.Inc()
		return options.Runner.Execute(ctx, t.request, t.body.reader())
	}
	t.forwarder.counters.remote.Inc()
	return t.send(ctx, place)
}

func (t *trip) decide(ctx context.Context, answer executor.Answer) retrier.Decision {
	response := &answer.Response
	if response.Outcome == messenger.OutcomeDone || ctx.Err() != nil || !t.body.canReplay() {
		return retrier.Decision{}
	}
	if !t.forwarder.options.Lease.Alive(timer.Now()) {
		return retrier.Decision{}
	}
	if t.isHeldTooLong(response) {
		return retrier.Decision{}
	}
	return t.forwarder.retrier.Decide(t.request.Service, retrier.Trial{
		Outcome:    response.Outcome,
		Reason:     response.Reason,
		Idempotent: t.profile.Idempotent,
		Retries:    t.profile.Retries,
		Retried:    t.retried,
		Corrected:  t.corrected,
		Left:       timeLeft(ctx),
	})
}

// overBudget turns the answer of the last send into the final one. Only a
// refused request may be called refused.
func (t *trip) overBudget(answer executor.Answer) executor.Answer {
	if answer.Response.Outcome != messenger.OutcomeRefused {
		return answer
	}
	answer.Response.Reason = messenger.ReasonBudget
	answer.Response.RetryAfter = max(answer.Response.RetryAfter, RetryAfter)
	return answer
}

// OwnerMargin is how much earlier than the caller's the deadline of the owner
// is, at most, so that the owner's answer arrives in time.
const OwnerMargin = 50 * time.Millisecond

// ownerTimeout is the time that the owner gets.
func ownerTimeout(ctx context.Context) time.Duration {
	left := timeLeft(ctx)
	return left - min(left/10, OwnerMargin)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return locator.FallbackDeadline
	}
	return time.Until(deadline)
}
