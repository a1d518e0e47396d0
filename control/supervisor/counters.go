package supervisor

import (
	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// counters are the metrics of a Supervisor.
type counters struct {
	set    *metrics.Set
	lapses *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		set:    set,
		lapses: set.GetOrCreateCounter("marigold_control_lapses_total"),
	}
}

// heartbeat counts a heartbeat by how it was taken.
func (c *counters) heartbeat(status messenger.HeartbeatStatus) {
	c.set.GetOrCreateCounter(`marigold_control_heartbeats_total{reason="` + string(status) + `"}`).Inc()
}
