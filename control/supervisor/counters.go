package supervisor

import (
	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

type counters struct {
	set         *metrics.Set
	expirations *metrics.Counter
	sessions    *metrics.Gauge
	heartbeats  map[messenger.HeartbeatStatus]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	c := &counters{
		set:         set,
		expirations: set.GetOrCreateCounter("marigold_control_lapses_total"),
		sessions:    set.GetOrCreateGauge("marigold_control_sessions", nil),
		heartbeats:  make(map[messenger.HeartbeatStatus]*metrics.Counter),
	}
	for _, status := range messenger.HeartbeatStatuses() {
		c.heartbeats[status] = set.GetOrCreateCounter(`marigold_control_heartbeats_total{reason="` + string(status) + `"}`)
	}
	return c
}

// onHeartbeat counts a heartbeat by its status.
func (c *counters) onHeartbeat(status messenger.HeartbeatStatus) {
	c.heartbeats[status].Inc()
}
