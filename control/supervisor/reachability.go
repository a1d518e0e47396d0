package supervisor

import (
	"fmt"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/timer"
)

const (
	// minUnreachableReports is the least number of routers that must report another
	// one as unreachable before its shards move. They must also be a majority of
	// the others.
	minUnreachableReports = 2
	// exclusionTime is how long a router gets no shards after it was last reported
	// as unreachable. No router connects to one without shards, so it is
	// unknown when it is reachable again.
	exclusionTime = 30 * time.Second
)

// detectUnreachable excludes the routers that a majority of the others cannot
// reach. Their sessions stay open, since the control group receives their
// heartbeats, but few callers reach their keys. The report of a single router does
// not suffice.
func (s *Supervisor) detectUnreachable(now timer.Instant, batch *batch) {
	reports := s.countUnreachableReports(now)
	if len(reports) == 0 {
		return
	}
	alive := 0
	for _, router := range s.routers {
		if now.Since(router.received) < s.expiryTime() {
			alive++
		}
	}
	for number, count := range reports {
		router := s.routers[number]
		if router == nil || count < minUnreachableReports || 2*count <= alive-1 {
			continue
		}
		if !router.isExcluded(now) {
			s.excludeUnreachable(number, count, alive-1, batch)
		}
		router.unreachableAt = now
	}
}

// countUnreachableReports counts the routers that cannot reach each session.
func (s *Supervisor) countUnreachableReports(now timer.Instant) map[uint64]int {
	var reports map[uint64]int
	for number, router := range s.routers {
		if len(router.unreachable) == 0 || now.Since(router.received) >= s.expiryTime() {
			continue
		}
		if reports == nil {
			reports = make(map[uint64]int)
		}
		for _, other := range router.unreachable {
			if other != number {
				reports[other]++
			}
		}
	}
	return reports
}

// excludeUnreachable makes a router leave at once, without waiting for its next
// heartbeat, and records the reason.
func (s *Supervisor) excludeUnreachable(number uint64, count, others int, batch *batch) {
	session := s.state.Session(number)
	if session == nil {
		return
	}
	row := &session.Row
	batch.add(fmt.Sprintf("update/%d", number), assigner.Command{Update: &assigner.Update{
		Session: number,
		Address: row.Address,
		Domain:  row.Domain,
		Region:  row.Region,
		Server:  row.Server,
		Leaving: true,
	}})
	batch.add(fmt.Sprintf("unreached/%d", number), assigner.Command{Notice: &assigner.Notice{
		Number:  logger.RouterUnreachable.Number,
		Subject: session.Row.Router,
		Text:    fmt.Sprintf("by %d of %d others", count, others),
	}})
}

// isExcluded reports whether a router gets no shards because others could not reach
// it.
func (r *routerState) isExcluded(now timer.Instant) bool {
	return !r.unreachableAt.IsZero() && now.Since(r.unreachableAt) < exclusionTime
}
