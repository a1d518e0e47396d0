package retrier

import (
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// BackoffMin is the longest wait before the first send after a trial.
	BackoffMin = 20 * time.Millisecond
	// BackoffMax bounds the wait before later ones.
	BackoffMax = 400 * time.Millisecond
	// MaxCorrections is how often one request is corrected.
	MaxCorrections = 32
)

// Trial is one send of a request with its outcome.
type Trial struct {
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Idempotent and Retries are those of the profile.
	Idempotent bool
	Retries    int
	// Retried and Corrected are how often the request was sent again so far.
	Retried   int
	Corrected int
	// Left is the time until the deadline of the caller.
	Left time.Duration
}

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts.
const (
	// VerdictFinal means that the answer stands.
	VerdictFinal Verdict = iota
	// VerdictRetry means another send, paid from the budget.
	VerdictRetry
	// VerdictCorrect means another send once the key has an owner.
	VerdictCorrect
	// VerdictBudget means that the answer stands because the budget is spent.
	VerdictBudget
	// VerdictLimit means that the answer stands because the profile allows no
	// more retries.
	VerdictLimit
	// VerdictDeadline means that the answer stands because the next send would
	// come after the deadline.
	VerdictDeadline
)

// IsAgain reports whether the request is sent again.
func (v Verdict) IsAgain() bool {
	return v == VerdictRetry || v == VerdictCorrect
}

// Decision says what follows a trial.
type Decision struct {
	Verdict Verdict
	// Wait is the time until the next send. After a correction a change of
	// the routing table ends it early.
	Wait time.Duration
}

// Decide decides on a trial. Jitter is a random number in [0, 1).
func Decide(trial Trial, budget *Budget, jitter float64) Decision {
	if !isSafe(trial) {
		return Decision{Verdict: VerdictFinal}
	}
	if IsCorrection(trial.Outcome, trial.Reason) {
		return decideCorrection(trial, jitter)
	}
	return decideRetry(trial, budget, jitter)
}

// isSafe reports whether another send can do no harm and may do good.
func isSafe(trial Trial) bool {
	switch trial.Outcome {
	case messenger.OutcomeRefused:
		return trial.Reason.IsRetryable()
	case messenger.OutcomeUnknown:
		return trial.Idempotent && isPassing(trial.Reason)
	}
	return false
}

// isPassing reports whether the cause of an unknown outcome may be gone at the
// next send. A crash is none: the request itself may have caused it.
func isPassing(reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonLost, messenger.ReasonTruncated, messenger.ReasonLarge:
		return true
	}
	return false
}

// IsCorrection reports whether a refusal says only that the key has no serving
// owner at the moment, or another one.
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

func decideCorrection(trial Trial, jitter float64) Decision {
	wait := backoff(trial.Corrected, jitter)
	switch {
	case trial.Corrected >= MaxCorrections:
		return Decision{Verdict: VerdictLimit}
	case wait >= trial.Left:
		return Decision{Verdict: VerdictDeadline}
	}
	return Decision{Verdict: VerdictCorrect, Wait: wait}
}

func decideRetry(trial Trial, budget *Budget, jitter float64) Decision {
	wait := backoff(trial.Retried, jitter)
	switch {
	case trial.Retried >= trial.Retries:
		return Decision{Verdict: VerdictLimit}
	case wait >= trial.Left:
		return Decision{Verdict: VerdictDeadline}
	case !budget.Take():
		return Decision{Verdict: VerdictBudget}
	}
	return Decision{Verdict: VerdictRetry, Wait: wait}
}

// backoff doubles the wait with each send; jitter takes away up to half.
func backoff(sent int, jitter float64) time.Duration {
	longest := BackoffMax
	if sent < 8 {
		longest = min(BackoffMin<<sent, BackoffMax)
	}
	return longest - time.Duration(jitter*float64(longest)/2)
}
