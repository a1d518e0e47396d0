package supervisor

import (
	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// counters are the metrics of a Supervisor.
type counters struct {
	set        *metrics.Set
	lapses     *metrics.Counter
	sessions   *metrics.Gauge
	heartbeats map[messenger.HeartbeatStatus]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	c := &counters{
		set:        set,
		lapses:     set.GetOrCreateCounter("marigold_control_lapses_total"),
		sessions:   set.GetOrCreateGauge("marigold_control_sessions", nil),
		heartbeats: make(map[messenger.HeartbeatStatus]*metrics.Counter),
	}
	for _, status := range messenger.HeartbeatStatuses() {
		c.heartbeats[status] = set.GetOrCreateCounter(`marigold_control_heartbeats_total{reason="` + string(status) + `"}`)
	}
	return c
}

// heartbeat counts a heartbeat by how it was taken.
func (c *counters) heartbeat(status messenger.HeartbeatStatus) {
	c.heartbeats[status].Inc()
}
