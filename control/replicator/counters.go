package replicator

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/control/elector"
)

type counters struct {
	set          *metrics.Set
	syncs        *metrics.Counter
	elections    *metrics.Counter
	snapshots    *metrics.Counter
	installs     *metrics.Counter
	queueDrops   *metrics.Counter
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
		queueDrops:   set.GetOrCreateCounter(`marigold_replica_messages_dropped_total{reason="queue"}`),
		sendFailures: set.GetOrCreateCounter(`marigold_replica_messages_dropped_total{reason="network"}`),
	}
}

// countRefusals counts messages from other replicas that the elector refused.
func (c *counters) countRefusals(refusals []elector.Refusal) {
	for _, reason := range refusals {
		c.countRefusal(string(reason))
	}
}

func (c *counters) countRefusal(reason string) {
	c.set.GetOrCreateCounter(`marigold_replica_refusals_total{reason="` + reason + `"}`).Inc()
}

// countRejection counts a proposal that was not accepted.
func (c *counters) countRejection(err error) {
	c.set.GetOrCreateCounter(`marigold_replica_proposals_rejected_total{reason="` + rejectionReason(err) + `"}`).Inc()
}

// rejectionReason returns the metric label for the reason why a proposal was not
// accepted.
func rejectionReason(err error) string {
	switch {
	case errors.Is(err, ErrNotLeader):
		return "not_leader"
	case errors.Is(err, ErrBusy):
		return "busy"
	case errors.Is(err, ErrInvalidMember):
		return "member"
	case errors.Is(err, ErrTooFewMembers):
		return "too_few"
	case errors.Is(err, ErrCatchUpTimeout):
		return "catch_up"
	case errors.Is(err, ErrTransferTimeout):
		return "transfer"
	}
	return "other"
}
