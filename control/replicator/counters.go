package replicator

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/control/elector"
)

// counters are the metrics of a replica.
type counters struct {
	set          *metrics.Set
	syncs        *metrics.Counter
	elections    *metrics.Counter
	snapshots    *metrics.Counter
	installs     *metrics.Counter
	dropped      *metrics.Counter
	sendFailures *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return counters{
		set:          set,
		syncs:        set.GetOrCreateCounter("marigold_replica_syncs_total"),
		elections:    set.GetOrCreateCounter("marigold_replica_elections_total"),
		snapshots:    set.GetOrCreateCounter("marigold_replica_snapshots_total"),
		installs:     set.GetOrCreateCounter("marigold_replica_installs_total"),
		dropped:      set.GetOrCreateCounter(`marigold_replica_messages_dropped_total{reason="queue"}`),
		sendFailures: set.GetOrCreateCounter(`marigold_replica_messages_dropped_total{reason="network"}`),
	}
}

// count counts refused messages of other replicas.
func (c *counters) count(refusals []elector.Refusal) {
	for _, reason := range refusals {
		c.refused(string(reason))
	}
}

func (c *counters) refused(reason string) {
	c.set.GetOrCreateCounter(`marigold_replica_refusals_total{reason="` + reason + `"}`).Inc()
}

// rejected counts proposals that were not accepted.
func (c *counters) rejected(err error) {
	c.set.GetOrCreateCounter(`marigold_replica_proposals_rejected_total{reason="` + rejection(err) + `"}`).Inc()
}

// rejection is the one word for why a proposal was not accepted.
func rejection(err error) string {
	switch {
	case errors.Is(err, ErrNotLeader):
		return "not_leader"
	case errors.Is(err, ErrBusy):
		return "busy"
	case errors.Is(err, ErrMember):
		return "member"
	case errors.Is(err, ErrCatchUp):
		return "catch_up"
	case errors.Is(err, ErrTransfer):
		return "transfer"
	}
	return "other"
}
