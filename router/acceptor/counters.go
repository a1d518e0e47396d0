package acceptor

import (
	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// counters counts each request once, by outcome and reason, and aborted responses.
type counters struct {
	set     *metrics.Set
	done    *metrics.Counter
	aborted *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:     set,
		done:    set.GetOrCreateCounter(`marigold_requests_total{outcome="done",reason=""}`),
		aborted: set.GetOrCreateCounter(`marigold_answers_aborted_total`),
	}
}

func (c *counters) count(outcome messenger.Outcome, reason messenger.Reason) {
	if outcome == messenger.OutcomeDone {
		c.done.Inc()
		return
	}
	c.set.GetOrCreateCounter(`marigold_requests_total{outcome="` + string(outcome) + `",reason="` + string(reason) + `"}`).Inc()
}
