package retrier

import (
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// InitialBackoff is the upper bound of the wait before the first retry or
	// correction. It doubles with each further one.
	InitialBackoff = 20 * time.Millisecond
	// MaxBackoff limits this upper bound.
	MaxBackoff = 400 * time.Millisecond
	// MaxCorrections is the maximum number of corrections of one request.
	MaxCorrections = 32
)

// Attempt is one attempt of a request with its outcome.
type Attempt struct {
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Idempotent and Retries, the maximum number of retries, are from the profile of
	// the request.
	Idempotent bool
	Retries    int
	// RetryCount and CorrectionCount are the numbers of retries and corrections so far.
	RetryCount      int
	CorrectionCount int
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Verdict is the result of a decision.
type Verdict uint8

const (
	// VerdictFinal means that the request is not sent again.
	VerdictFinal Verdict = iota
	// VerdictRetry means a retry, which takes a token of the budget.
	VerdictRetry
	// VerdictCorrect means a correction, sent once the key has an owner.
	VerdictCorrect
	// VerdictBudget means no retry because the budget is used up.
	VerdictBudget
	// VerdictLimit means no retry or correction because Retries or MaxCorrections
	// is reached.
	VerdictLimit
	// VerdictDeadline means no retry or correction because the backoff exceeds the
	// time until the deadline.
	VerdictDeadline
)

// IsRepeat reports whether the request is sent again.
func (v Verdict) IsRepeat() bool {
	return v == VerdictRetry || v == VerdictCorrect
}

// Decision is what to do after an attempt.
type Decision struct {
	Verdict Verdict
	// Wait is the time until the next attempt. For a correction, a change of the
	// routing table ends it early.
	Wait time.Duration
}

// Decide decides what to do after an attempt. jitter is a random number in [0, 1).
func Decide(attempt Attempt, budget *Budget, jitter float64) Decision {
	if !isRepeatable(attempt) {
		return Decision{Verdict: VerdictFinal}
	}
	if IsCorrection(attempt.Outcome, attempt.Reason) {
		return decideCorrection(attempt, jitter)
	}
	return decideRetry(attempt, budget, jitter)
}

// isRepeatable reports whether another attempt is safe and may succeed.
func isRepeatable(attempt Attempt) bool {
	switch attempt.Outcome {
	case messenger.OutcomeRefused:
		return attempt.Reason.IsRetryable()
	case messenger.OutcomeUnknown:
		return attempt.Idempotent && isTransient(attempt.Reason)
	}
	return false
}

// isTransient reports whether the cause of an unknown outcome may be gone at the next
// attempt. A crash is not transient, as the request itself may have caused it.
func isTransient(reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonLost, messenger.ReasonTruncated, messenger.ReasonLarge:
		return true
	}
	return false
}

// IsCorrection reports whether a refusal means only that the key has no serving owner
// at the moment, or a different one.
func IsCorrection(outcome messenger.Outcome, reason messenger.Reason) bool {
	if outcome != messenger.OutcomeRefused {
		return false
	}
	switch reason {
	case messenger.ReasonUnowned, messenger.ReasonMoving, messenger.ReasonMisrouted,
		messenger.ReasonLease, messenger.ReasonUnreachable, messenger.ReasonDraining,
		messenger.ReasonDown, messenger.ReasonRecovering, messenger.ReasonFence,
		messenger.ReasonStopping:
		return true
	}
	return false
}

func decideCorrection(attempt Attempt, jitter float64) Decision {
	wait := backoff(attempt.CorrectionCount, jitter)
	switch {
	case attempt.CorrectionCount >= MaxCorrections:
		return Decision{Verdict: VerdictLimit}
	case wait >= attempt.Remaining:
		return Decision{Verdict: VerdictDeadline}
	}
	return Decision{Verdict: VerdictCorrect, Wait: wait}
}

func decideRetry(attempt Attempt, budget *Budget, jitter float64) Decision {
	wait := backoff(attempt.RetryCount, jitter)
	switch {
	case attempt.RetryCount >= attempt.Retries:
		return Decision{Verdict: VerdictLimit}
	case wait >= attempt.Remaining:
		return Decision{Verdict: VerdictDeadline}
	case !budget.Take():
		return Decision{Verdict: VerdictBudget}
	}
	return Decision{Verdict: VerdictRetry, Wait: wait}
}

// backoff returns the wait before the next attempt. Its maximum doubles with each
// attempt up to MaxBackoff; jitter subtracts up to half.
func backoff(repeats int, jitter float64) time.Duration {
	maxWait := MaxBackoff
	if repeats < 8 {
		maxWait = min(InitialBackoff<<repeats, MaxBackoff)
	}
	return maxWait - time.Duration(jitter*float64(maxWait)/2)
}
