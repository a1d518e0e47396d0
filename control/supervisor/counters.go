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
	// rangesGranted counts ranges that got an owner, rangesFreed those that routers
	// reported as free, by the state of the backend server in that report.
	rangesGranted *metrics.Counter
	rangesFreed   map[messenger.ServerState]*metrics.Counter
	// evacuations are the names of the gauges of evacuated failure domains.
	evacuations map[string]bool
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

		rangesGranted: set.GetOrCreateCounter("marigold_control_ranges_granted_total"),
		rangesFreed:   make(map[messenger.ServerState]*metrics.Counter),
	}
	for _, status := range messenger.HeartbeatStatuses() {
		c.heartbeats[status] = set.GetOrCreateCounter(`marigold_control_heartbeats_total{reason="` + string(status) + `"}`)
	}
	for _, state := range messenger.ServerStates() {
		c.rangesFreed[state] = set.GetOrCreateCounter(`marigold_control_ranges_freed_total{state="` + string(state) + `"}`)
	}
	return c
}

// onFreed counts ranges that a router reported as free. A state that this version
// does not know is not counted.
func (c *counters) onFreed(state messenger.ServerState, ranges int) {
	if counter := c.rangesFreed[state]; counter != nil {
		counter.Add(ranges)
	}
}

// onHeartbeat counts a heartbeat by its status.
func (c *counters) onHeartbeat(status messenger.HeartbeatStatus) {
	c.heartbeats[status].Inc()
}
