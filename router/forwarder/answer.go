package forwarder

import (
	"context"
	"errors"
	"io"
	"net"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
)

// refuse answers that a request was not run.
func refuse(request *messenger.Request, reason messenger.Reason) executor.Answer {
	answer := conclude(request, messenger.OutcomeRefused, reason)
	if reason.IsRetryable() {
		answer.Response.RetryAfter = RetryAfter
	}
	return answer
}

// doubt answers that a request may have run.
func doubt(request *messenger.Request, reason messenger.Reason) executor.Answer {
	return conclude(request, messenger.OutcomeUnknown, reason)
}

func conclude(request *messenger.Request, outcome messenger.Outcome, reason messenger.Reason) executor.Answer {
	return executor.Answer{Response: messenger.Response{
		Number:  request.Number,
		Outcome: outcome,
		Reason:  reason,
	}}
}

// abandonReason says why a request that was not sent is given up with ctx, or
// while its body was read.
func abandonReason(ctx context.Context) messenger.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.ReasonDeadline
	}
	return messenger.ReasonCanceled
}

// bodyReason says why a request is given up whose body could not be read.
func bodyReason(ctx context.Context, err error) messenger.Reason {
	var broken net.Error
	if ctx.Err() != nil || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) {
		return abandonReason(ctx)
	}
	return messenger.ReasonMalformed
}

// doubtReason says why the outcome of a request that was sent is unknown.
func doubtReason(ctx context.Context) messenger.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.ReasonExpired
	}
	return messenger.ReasonLost
}
