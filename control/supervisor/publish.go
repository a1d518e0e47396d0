package supervisor

import (
	"strconv"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/timer"
)

// publishMetrics updates the gauges of all services.
func (s *Supervisor) publishMetrics(now timer.Instant) {
	for _, t := range s.state.Tables() {
		name := t.Service.Name
		gaps := t.Unavailability(assigner.Milliseconds(now.Wall))
		s.counters.setGauge("imbalance_ratio", name, s.imbalance(t))
		s.counters.setGauge("churn_hourly", name, t.Churn(assigner.Milliseconds(now.Wall)))
		s.counters.setGauge("unavailable_worst_seconds", name, gaps.Worst.Seconds())
		s.counters.setGauge("unavailable_p99_seconds", name, gaps.P99.Seconds())
		s.counters.setGauge("unavailable_total_seconds", name, gaps.Total.Seconds())
		s.counters.setGauge("shards_free", name, float64(t.Free()))
		s.counters.setGauge("shards_moving", name, float64(t.Moving()))
	}
	s.publishEvacuations()
	s.counters.sessions.Set(float64(len(s.state.Sessions())))
}

// imbalance is the ratio of the largest to the mean utilization of the servers of a
// service.
func (s *Supervisor) imbalance(t *assigner.Table) float64 {
	return balancer.Imbalance(s.serverLoads(t))
}

// setGauge sets one gauge of a service.
func (c *counters) setGauge(name, service string, value float64) {
	c.set.GetOrCreateGauge("marigold_service_"+name+"{service="+strconv.Quote(service)+"}", nil).Set(value)
}
