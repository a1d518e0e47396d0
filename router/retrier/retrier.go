// Package retrier decides whether an entry router sends a request again. Package
// forwarder uses it in sharded mode; in routed mode package relayer uses package
// budgeter.
//
// [Decide] is a function of its arguments: it reads no clock and does no I/O. A
// request is sent again only if it is known not to have run, or if its profile
// declares it idempotent. A [Retrier] adds a retry budget for each service, and
// counters.
//
// There are two kinds of repeated attempts. A correction follows a refusal that
// means only that the key has no serving owner at the moment, or a different one. It
// takes no token, since the next attempt goes to another server, or to the same one
// after a backoff. A retry follows any other outcome that may be repeated and takes
// a token of the service's budget, so that retries do not multiply the load on a
// service that sheds it.
//
// # Usage
//
//	r := retrier.New(seed, set)
//	r.Started("findings")
//	decision := r.Decide("findings", retrier.Attempt{Outcome: messenger.OutcomeRefused, Reason: reason, Remaining: remaining})
//	if decision.Verdict.IsRepeat() {
//		wait(decision.Wait)
//	}
package retrier

import (
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// Retrier holds the retry budgets of all services of a router. Its methods are safe
// for concurrent use.
type Retrier struct {
	set *metrics.Set

	mu      sync.Mutex
	random  *rand.Rand
	budgets map[string]*Budget
}

// New returns a Retrier whose jitter is derived from seed. Its counters are registered
// in set.
func New(seed uint64, set *metrics.Set) *Retrier {
	return &Retrier{
		set:     set,
		random:  rand.New(rand.NewPCG(seed, seed)),
		budgets: make(map[string]*Budget),
	}
}

// Started records a new request, which adds TokenRatio to the budget of its service.
func (r *Retrier) Started(service string) {
	r.mu.Lock()
	r.budget(service).Refill()
	r.mu.Unlock()
}

// Decide decides what to do after an attempt and counts the decision. A retry takes a token
// of the service's budget.
func (r *Retrier) Decide(service string, attempt Attempt) Decision {
	r.mu.Lock()
	decision := Decide(attempt, r.budget(service), r.random.Float64())
	r.mu.Unlock()
	r.count(attempt, decision.Verdict)
	return decision
}

func (r *Retrier) budget(service string) *Budget {
	budget, ok := r.budgets[service]
	if !ok {
		budget = NewBudget()
		r.budgets[service] = budget
	}
	return budget
}

func (r *Retrier) count(attempt Attempt, verdict Verdict) {
	if attempt.Outcome == messenger.OutcomeDone {
		return
	}
	reason := `{reason="` + string(attempt.Reason) + `"}`
	switch verdict {
	case VerdictRetry:
		r.set.GetOrCreateCounter("marigold_retries_total" + reason).Inc()
	case VerdictCorrect:
		r.set.GetOrCreateCounter("marigold_corrections_total" + reason).Inc()
	case VerdictBudget:
		r.set.GetOrCreateCounter("marigold_retries_denied_total" + `{reason="budget"}`).Inc()
	case VerdictLimit:
		r.set.GetOrCreateCounter("marigold_retries_denied_total" + `{reason="limit"}`).Inc()
	case VerdictDeadline:
		r.set.GetOrCreateCounter("marigold_retries_denied_total" + `{reason="deadline"}`).Inc()
	}
}
