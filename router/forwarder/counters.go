package forwarder

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of a Forwarder.
type counters struct {
	local          *metrics.Counter
	remote         *metrics.Counter
	served         *metrics.Counter
	misrouted      *metrics.Counter
	held           *metrics.Counter
	holdsRejected  *metrics.Counter
	outcomeQueries *metrics.Counter
	mismatched     *metrics.Counter
	headRefusals   *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		local:          set.GetOrCreateCounter(`marigold_forwards_total{to="local"}`),
		remote:         set.GetOrCreateCounter(`marigold_forwards_total{to="remote"}`),
		served:         set.GetOrCreateCounter(`marigold_forwards_served_total`),
		misrouted:      set.GetOrCreateCounter(`marigold_forwards_refused_total{reason="misrouted"}`),
		held:           set.GetOrCreateCounter(`marigold_holds_total`),
		holdsRejected:  set.GetOrCreateCounter(`marigold_holds_refused_total{reason="full"}`),
		outcomeQueries: set.GetOrCreateCounter(`marigold_outcome_queries_total`),
		mismatched:     set.GetOrCreateCounter(`marigold_answers_refused_total{reason="number"}`),
		headRefusals:   set.GetOrCreateCounter(`marigold_head_refusals_total`),
	}
}
