// Package retrier decides whether an entry router sends a request again.
//
// A decision is plain data in and plain data out: [Decide] reads no clock and
// does no I/O. A request is sent again only when it is known not to have run, or
// when its profile says that it is idempotent. A [Retrier] adds the budget of
// each service and the counters.
//
// Two kinds of sends after the first are told apart. A correction follows a
// refusal that says only that the key has no serving owner at the moment; it
// costs no budget, since the next send goes to another place, or to the same one
// after a pause. A retry follows any other answer and takes a token of the
// service's budget, so that retries never multiply the load on a service that
// sheds it.
//
// # Usage
//
//	r := retrier.New(seed, set)
//	r.Started("findings")
//	decision := r.Decide("findings", retrier.Trial{Outcome: messenger.OutcomeRefused, Reason: reason, Left: left})
//	if decision.Verdict.IsAgain() {
//		wait(decision.Wait)
//	}
package retrier

import (
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// Retrier decides for all services of a router. Its methods are safe for
// concurrent use.
type Retrier struct {
	set *metrics.Set

	mu      sync.Mutex
	random  *rand.Rand
	budgets map[string]*Budget
}

// New returns a Retrier whose jitter follows from seed. Set gets its counters.
func New(seed uint64, set *metrics.Set) *Retrier {
	return &Retrier{
		set:     set,
		random:  rand.New(rand.NewPCG(seed, seed)),
		budgets: make(map[string]*Budget),
	}
}

// Started tells of a new request, which earns its service a part of a retry.
func (r *Retrier) Started(service string) {
	r.mu.Lock()
	r.budget(service).Earn()
	r.mu.Unlock()
}

// Decide decides on one trial of a request and counts the decision. It takes a
// token from the budget for a retry.
func (r *Retrier) Decide(service string, trial Trial) Decision {
	r.mu.Lock()
	decision := Decide(trial, r.budget(service), r.random.Float64())
	r.mu.Unlock()
	r.count(trial, decision.Verdict)
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

func (r *Retrier) count(trial Trial, verdict Verdict) {
	if trial.Outcome == messenger.OutcomeDone {
		return
	}
	reason := `{reason="` + string(trial.Reason) + `"}`
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
