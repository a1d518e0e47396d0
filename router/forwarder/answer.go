package forwarder

import (
	"context"
	"errors"
	"io"
	"net"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
)

// refusedAnswer returns the answer to a request that was not run.
func refusedAnswer(request *messenger.Request, reason messenger.Reason) executor.Answer {
	answer := failedAnswer(request, messenger.OutcomeRefused, reason)
	if reason.IsRetryable() {
		answer.Response.RetryAfter = RetryAfter
	}
	return answer
}

// unknownAnswer returns the answer to a request that may have run.
func unknownAnswer(request *messenger.Request, reason messenger.Reason) executor.Answer {
	return failedAnswer(request, messenger.OutcomeUnknown, reason)
}

func failedAnswer(request *messenger.Request, outcome messenger.Outcome, reason messenger.Reason) executor.Answer {
	return executor.Answer{Response: messenger.Response{
		Number:  request.Number,
		Outcome: outcome,
		Reason:  reason,
	}}
}

// unsentReason returns why a request is refused when its context ended, or its
// body could not be read, before it was sent.
func unsentReason(ctx context.Context) messenger.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.ReasonDeadline
	}
	return messenger.ReasonCanceled
}

// bodyErrorReason returns why a request is refused when reading its body failed.
func bodyErrorReason(ctx context.Context, err error) messenger.Reason {
	var netErr net.Error
	if ctx.Err() != nil || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return unsentReason(ctx)
	}
	return messenger.ReasonMalformed
}

// unknownOutcomeReason returns why the outcome of a sent request is unknown after
// its context ended.
func unknownOutcomeReason(ctx context.Context) messenger.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.ReasonExpired
	}
	return messenger.ReasonLost
}
