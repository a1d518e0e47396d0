package supervisor

import (
	"fmt"
	"strconv"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// evacuationProgress is the progress of the ranges of one service that leave an evacuated
// failure domain. A new leader starts from the first step.
type evacuationProgress struct {
	// revision is that of the order.
	revision uint64
	steps    int
	lastStep timer.Instant
}

// evacuateRanges moves the next part of the ranges of an evacuated failure domain, in the
// steps of a drain. It reports whether it moved any.
func (s *Supervisor) evacuateRanges(now timer.Instant, r *assigner.Ranges, ranges []balancer.Range, servers []balancer.RangeServer, subject string, batch *batch) bool {
	demand := s.demandOf(r.Service)
	for _, entry := range s.state.Evacuations() {
		domain := entry.Value.Domain
		progress := demand.evacuations[domain]
		if progress.revision != entry.Revision {
			progress = evacuationProgress{revision: entry.Revision}
		}
		if progress.steps > 0 && now.Since(progress.lastStep) < drainInterval {
			continue
		}
		moves := balancer.Evacuate(ranges, servers, demand.arrivals, domain, drainSteps-progress.steps)
		if len(moves) == 0 {
			continue
		}
		progress.steps++
		progress.lastStep = now
		demand.evacuations[domain] = progress
		s.moveRanges(r, moves, "evacuation of "+domain, subject, batch)
		return true
	}
	return false
}

// announceEmptyDomains records an event once no keys are left in an evacuated domain. It
// is recorded once for each order, also when the leader changes. It counts the keys, so it
// is called at the interval of measurements and not at each tick.
func (s *Supervisor) announceEmptyDomains(now timer.Instant, batch *batch) {
	for _, entry := range s.state.Evacuations() {
		domain := entry.Value.Domain
		if s.emptied[domain] == entry.Revision || !s.hasRouterReports(now) {
			continue
		}
		status := s.evacuationStatus(entry)
		if status.Ranges > 0 || status.Shards > 0 {
			continue
		}
		s.emptied[domain] = entry.Revision
		if s.wasAnnouncedEmpty(entry) {
			continue
		}
		batch.add("empty/"+domain, assigner.Command{Notice: &assigner.Notice{
			Number:  logger.DomainEmpty.Number,
			Subject: domain,
			Text:    fmt.Sprintf("no keys on %d servers, %d ms after the order", status.Servers, assigner.Milliseconds(now.Wall)-entry.Value.Since),
		}})
	}
}

func (s *Supervisor) wasAnnouncedEmpty(entry assigner.Versioned[messenger.EvacuationRow]) bool {
	for _, event := range s.state.Events(entry.Revision) {
		if event.Number == logger.DomainEmpty.Number && event.Subject == entry.Value.Domain {
			return true
		}
	}
	return false
}

func (s *Supervisor) evacuationStatuses() []messenger.EvacuationStatus {
	var statuses []messenger.EvacuationStatus
	for _, entry := range s.state.Evacuations() {
		statuses = append(statuses, s.evacuationStatus(entry))
	}
	return statuses
}

// evacuationStatus returns the progress of an evacuation. Keys that are moving into the
// domain count as there.
func (s *Supervisor) evacuationStatus(entry assigner.Versioned[messenger.EvacuationRow]) messenger.EvacuationStatus {
	status := messenger.EvacuationStatus{Domain: entry.Value.Domain, By: entry.Value.By, Since: entry.Value.Since}
	members := make(map[uint64]bool)
	for _, session := range s.state.Sessions() {
		if router := s.routers[session.Row.Session]; router == nil || router.revision < entry.Revision {
			status.Behind++
		}
		if session.Row.Domain != entry.Value.Domain {
			continue
		}
		members[session.Row.Session] = true
		status.Shards += session.Owned
		if session.Row.Server != nil {
			status.Servers++
		}
	}
	for _, r := range s.state.AllRanges() {
		for _, piece := range r.Pieces() {
			if members[piece.Value.Owner] || members[piece.Value.Next] {
				status.Ranges++
			}
		}
	}
	for _, t := range s.state.Tables() {
		t.EachPendingMove(func(move assigner.PendingMove) {
			if members[move.To] && !members[move.From] {
				status.Shards++
			}
		})
	}
	return status
}

// evacuationOf returns the evacuation of a failure domain, or nil.
func (s *Supervisor) evacuationOf(domain string) *messenger.EvacuationRow {
	for _, entry := range s.state.Evacuations() {
		if entry.Value.Domain == domain {
			return &entry.Value
		}
	}
	return nil
}

// publishEvacuations updates the gauges of evacuated failure domains and removes those of
// others.
func (s *Supervisor) publishEvacuations() {
	published := make(map[string]bool)
	for _, status := range s.evacuationStatuses() {
		for name, value := range map[string]int{
			"servers": status.Servers, "ranges": status.Ranges, "shards": status.Shards, "behind": status.Behind,
		} {
			gauge := "marigold_evacuation_" + name + "{domain=" + strconv.Quote(status.Domain) + "}"
			s.counters.set.GetOrCreateGauge(gauge, nil).Set(float64(value))
			published[gauge] = true
		}
	}
	s.counters.removeEvacuations(published)
	s.counters.evacuations = published
}

// removeEvacuations removes the gauges of evacuations that are not in kept.
func (c *counters) removeEvacuations(kept map[string]bool) {
	for gauge := range c.evacuations {
		if !kept[gauge] {
			c.set.UnregisterMetric(gauge)
		}
	}
}
