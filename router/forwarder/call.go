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

// call is the forwarding of one request, with all its attempts.
type call struct {
	forwarder *Forwarder
	request   *messenger.Request
	profile   *messenger.Profile
	body      *replayBody
	// retries counts the attempts repeated after a failure, corrections those
	// repeated because the key had no serving owner or another one.
	retries     int
	corrections int
	// place is the placement of the key at the last attempt.
	place locator.Place
	// unknownReason is the reason of an earlier attempt whose outcome is unknown.
	// Once it is set, the request must not be answered as refused.
	unknownReason messenger.Reason
	// sentAt is when the request was last sent to another router.
	sentAt timer.Instant
	// heldSince is when the request was first held; zero before that.
	heldSince timer.Instant
}

func (c *call) run(ctx context.Context) executor.Answer {
	for {
		answer := c.attempt(ctx)
		if c.isEvacuated(answer) {
			return c.finalAnswer(evacuatedAnswer(answer))
		}
		decision := c.decideRetry(ctx, answer)
		if decision.Verdict == retrier.VerdictBudget {
			return c.finalAnswer(c.overBudget(answer))
		}
		if !decision.Verdict.IsRepeat() {
			return c.finalAnswer(answer)
		}
		if !c.waitForRetry(ctx, decision) {
			return c.finalAnswer(answer)
		}
		if answer.Response.Outcome == messenger.OutcomeUnknown {
			c.unknownReason = answer.Response.Reason
		}
		answer.Close()
	}
}

// finalAnswer turns the answer of the last attempt into the answer to the request. A
// refusal of the last attempt becomes unknown when an earlier one may have run.
func (c *call) finalAnswer(answer executor.Answer) executor.Answer {
	if c.unknownReason == messenger.ReasonNone || answer.Response.Outcome != messenger.OutcomeRefused {
		return answer
	}
	answer.Response.Outcome = messenger.OutcomeUnknown
	answer.Response.Reason = c.unknownReason
	return answer
}

// attempt sends the request once, to the owner in the current routing table.
func (c *call) attempt(ctx context.Context) executor.Answer {
	options := &c.forwarder.options
	if !options.Stop.Fits(timeLeft(ctx)) {
		answer := refusedAnswer(c.request, messenger.ReasonStopping)
		answer.Response.RetryAfter = max(options.Stop.RetryAfter(), RetryAfter)
		return answer
	}
	if !options.Lease.IsLeaseValid(timer.Now()) {
		return refusedAnswer(c.request, messenger.ReasonLease)
	}
	table := options.Locator.Load()
	place, reason := table.Locate(c.request.Service, c.request.Key)
	c.place = place
	if reason != messenger.ReasonNone {
		return refusedAnswer(c.request, reason)
	}
	c.request.Revision = table.Revision()
	c.request.Attempt++
	c.request.Timeout = ownerTimeout(ctx)
	if place.Owner.Session == options.Lease.Session() {
		c.forwarder.counters.local.Inc()
		return options.Runner.Execute(ctx, c.request, c.body.reader())
	}
	c.forwarder.counters.remote.Inc()
	return c.send(ctx, place)
}

func (c *call) decideRetry(ctx context.Context, answer executor.Answer) retrier.Decision {
	response := &answer.Response
	if response.Outcome == messenger.OutcomeDone || ctx.Err() != nil || !c.body.rewind() {
		return retrier.Decision{}
	}
	if !c.forwarder.options.Lease.IsLeaseValid(timer.Now()) || !c.forwarder.options.Stop.Fits(timeLeft(ctx)) {
		return retrier.Decision{}
	}
	if c.isHoldExpired(response) {
		return retrier.Decision{}
	}
	return c.forwarder.retrier.Decide(c.request.Service, retrier.Attempt{
		Outcome:         response.Outcome,
		Reason:          response.Reason,
		Idempotent:      c.profile.Idempotent,
		Retries:         c.profile.Retries,
		RetryCount:      c.retries,
		CorrectionCount: c.corrections,
		Remaining:       timeLeft(ctx),
	})
}

// overBudget sets the reason of a refusal to the exhausted retry budget. An answer
// with another outcome stays as it is, since its request may have run.
func (c *call) overBudget(answer executor.Answer) executor.Answer {
	if answer.Response.Outcome != messenger.OutcomeRefused {
		return answer
	}
	answer.Response.Reason = messenger.ReasonBudget
	answer.Response.RetryAfter = max(answer.Response.RetryAfter, RetryAfter)
	return answer
}

// OwnerDeadlineMargin is the maximum by which the deadline of the owner precedes the
// deadline of the caller, so that the owner's answer arrives in time.
const OwnerDeadlineMargin = 50 * time.Millisecond

// ownerTimeout returns the timeout for the owner.
func ownerTimeout(ctx context.Context) time.Duration {
	left := timeLeft(ctx)
	return left - min(left/10, OwnerDeadlineMargin)
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return locator.FallbackDeadline
	}
	return time.Until(deadline)
}
