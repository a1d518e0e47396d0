package retrier_test

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/retrier"
)

func TestDecide(t *testing.T) {
	refused := func(reason messenger.Reason) retrier.Attempt {
		return retrier.Attempt{Outcome: messenger.OutcomeRefused, Reason: reason, Retries: 2, Remaining: time.Second}
	}
	unknown := func(reason messenger.Reason, idempotent bool) retrier.Attempt {
		return retrier.Attempt{Outcome: messenger.OutcomeUnknown, Reason: reason, Idempotent: idempotent, Retries: 2, Remaining: time.Second}
	}
	with := func(attempt retrier.Attempt, change func(*retrier.Attempt)) retrier.Attempt {
		change(&attempt)
		return attempt
	}
	tests := []struct {
		name      string
		attempt   retrier.Attempt
		tokens    float64
		want      retrier.Verdict
		remaining float64
	}{
		{name: "done", attempt: retrier.Attempt{Outcome: messenger.OutcomeDone, Retries: 2, Remaining: time.Second}, tokens: 5, want: retrier.VerdictFinal, remaining: 5},
		{name: "shed", attempt: refused(messenger.ReasonShed), tokens: 5, want: retrier.VerdictRetry, remaining: 4},
		{name: "shed, budget used up", attempt: refused(messenger.ReasonShed), tokens: 0.9, want: retrier.VerdictBudget, remaining: 0.9},
		{name: "shed, retries used up", tokens: 5, want: retrier.VerdictLimit, remaining: 5,
			attempt: with(refused(messenger.ReasonShed), func(t *retrier.Attempt) { t.RetryCount = 2 })},
		{name: "shed, no time", tokens: 5, want: retrier.VerdictDeadline, remaining: 5,
			attempt: with(refused(messenger.ReasonShed), func(t *retrier.Attempt) { t.Remaining = time.Millisecond })},
		{name: "moving costs no budget", attempt: refused(messenger.ReasonMoving), tokens: 0, want: retrier.VerdictCorrect},
		{name: "moving needs no retries", tokens: 0, want: retrier.VerdictCorrect,
			attempt: with(refused(messenger.ReasonMoving), func(t *retrier.Attempt) { t.Retries, t.RetryCount = 0, 5 })},
		{name: "moving, corrections used up", tokens: 5, want: retrier.VerdictLimit, remaining: 5,
			attempt: with(refused(messenger.ReasonMoving), func(t *retrier.Attempt) { t.CorrectionCount = retrier.MaxCorrections })},
		{name: "lost, idempotent", attempt: unknown(messenger.ReasonLost, true), tokens: 5, want: retrier.VerdictRetry, remaining: 4},
		{name: "lost, not idempotent", attempt: unknown(messenger.ReasonLost, false), tokens: 5, want: retrier.VerdictFinal, remaining: 5},
		{name: "crashed, idempotent", attempt: unknown(messenger.ReasonCrashed, true), tokens: 5, want: retrier.VerdictFinal, remaining: 5},
		{name: "expired, idempotent", attempt: unknown(messenger.ReasonExpired, true), tokens: 5, want: retrier.VerdictFinal, remaining: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := &retrier.Budget{Tokens: test.tokens}
			decision := retrier.Decide(test.attempt, budget, 0.5)
			qt.Assert(t, decision.Verdict, qt.Equals, test.want)
			qt.Assert(t, budget.Tokens, qt.Equals, test.remaining)
			qt.Assert(t, decision.Wait > 0, qt.Equals, test.want.IsRepeat())
		})
	}
}

// Guards against a new reason that becomes repeatable by mistake: it covers all reasons.
func TestRepeatsOnlyRetryableReasons(t *testing.T) {
	for _, reason := range messenger.RefusalReasons() {
		attempt := retrier.Attempt{Outcome: messenger.OutcomeRefused, Reason: reason, Retries: 1, Remaining: time.Minute}
		decision := retrier.Decide(attempt, retrier.NewBudget(), 0)
		qt.Check(t, decision.Verdict.IsRepeat(), qt.Equals, reason.IsRetryable(), qt.Commentf("%s", reason))
	}
	for _, reason := range messenger.UnknownReasons() {
		attempt := retrier.Attempt{Outcome: messenger.OutcomeUnknown, Reason: reason, Retries: 1, Remaining: time.Minute}
		decision := retrier.Decide(attempt, retrier.NewBudget(), 0)
		qt.Check(t, decision.Verdict.IsRepeat(), qt.IsFalse, qt.Commentf("%s", reason))
	}
}

func TestBackoff(t *testing.T) {
	tests := []struct {
		retried  int
		min, max time.Duration
	}{
		{retried: 0, min: 10 * time.Millisecond, max: 20 * time.Millisecond},
		{retried: 1, min: 20 * time.Millisecond, max: 40 * time.Millisecond},
		{retried: 9, min: 200 * time.Millisecond, max: 400 * time.Millisecond},
	}
	for _, test := range tests {
		for _, jitter := range []float64{0, 0.3, 0.999} {
			attempt := retrier.Attempt{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Retries: 10, RetryCount: test.retried, Remaining: time.Minute}
			wait := retrier.Decide(attempt, retrier.NewBudget(), jitter).Wait
			qt.Check(t, wait >= test.min && wait <= test.max, qt.IsTrue, qt.Commentf("%d: %v", test.retried, wait))
		}
	}
}

// Guards against retries that multiply the load on an overloaded service: every attempt
// of many requests is shed.
func TestBudgetBoundsRetries(t *testing.T) {
	set := metrics.NewSet()
	r := retrier.New(1, set)
	const requests = 10000
	sent := 0
	for range requests {
		r.Started("findings")
		for retried := 0; ; retried++ {
			sent++
			decision := r.Decide("findings", retrier.Attempt{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Retries: 10, RetryCount: retried, Remaining: time.Minute})
			if !decision.Verdict.IsRepeat() {
				break
			}
		}
	}
	limit := requests*(1+retrier.TokenRatio) + retrier.MaxTokens
	qt.Assert(t, float64(sent) <= limit, qt.IsTrue, qt.Commentf("%d attempts", sent))
	retries := set.GetOrCreateCounter(`marigold_retries_total{reason="shed"}`).Get()
	qt.Assert(t, retries, qt.Equals, uint64(sent-requests))
	denied := set.GetOrCreateCounter(`marigold_retries_denied_total{reason="budget"}`).Get()
	qt.Assert(t, denied > 0, qt.IsTrue)
	// Each service has its own budget.
	other := r.Decide("photos", retrier.Attempt{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Retries: 1, Remaining: time.Minute})
	qt.Assert(t, other.Verdict, qt.Equals, retrier.VerdictRetry)
}
