package supervisor

import (
	"fmt"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// minUnreachableReports is the least number of routers that must report another
	// one as unreachable before its shards move. They must also be a majority of
	// the others.
	minUnreachableReports = 2
	// exclusionTime is how long a router gets no shards after it was last reported
	// as unreachable, unless a proof of life ends that earlier. No router connects to
	// one without shards, so it is unknown when it is reachable again.
	exclusionTime = 30 * time.Second
	// silentIntervals is the number of heartbeat intervals without a heartbeat after which
	// a router is taken to have stood still.
	silentIntervals = 3
)

// detectUnreachable excludes the routers that a majority of the others cannot
// reach. Their sessions stay open, since the control group receives their
// heartbeats, but few callers reach their keys. The report of a single router does
// not suffice.
//
// Reports of the time in which a router was down or stood still say nothing about it once it
// runs again, and several such routers of a service must not leave it without servers: a
// proof of life ends an exclusion and the reports before it, and half of the members of a
// service or more are never excluded at once.
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
	var members map[string]*memberCount
	for number, count := range reports {
		router, session := s.routers[number], s.state.Session(number)
		if router == nil || session == nil || count < minUnreachableReports || 2*count <= alive-1 {
			continue
		}
		if router.isExcluded(now) {
			router.excludedUntil = now.Add(exclusionTime)
			continue
		}
		if members == nil {
			members = s.countMembers(now)
		}
		if members[session.Service()].exclude() {
			router.excludedUntil = now.Add(exclusionTime)
			s.excludeUnreachable(session, count, alive-1, batch)
		}
	}
}

// memberCount counts the routers of a service that do not leave by themselves, and those of
// them that are excluded.
type memberCount struct {
	all, excluded int
}

// exclude counts one more as excluded, and reports whether that leaves more than half of the
// members. Otherwise it counts nothing.
func (c *memberCount) exclude() bool {
	if c == nil || 2*(c.excluded+1) >= c.all {
		return false
	}
	c.excluded++
	return true
}

// countMembers counts the members of each service.
func (s *Supervisor) countMembers(now timer.Instant) map[string]*memberCount {
	members := make(map[string]*memberCount)
	for _, session := range s.state.Sessions() {
		count := members[session.Service()]
		if count == nil {
			count = new(memberCount)
			members[session.Service()] = count
		}
		router := s.routers[session.Row.Session]
		switch {
		case router != nil && router.isExcluded(now):
			count.all++
			count.excluded++
		case !s.state.IsDraining(session):
			count.all++
		}
	}
	return members
}

// countUnreachableReports counts the routers that cannot reach each session. A report may be
// linker.FailureTTL old when its heartbeat is received.
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
			target := s.routers[other]
			if other != number && target != nil && router.received.SinceMonotonic(target.provenAt) >= linker.FailureTTL {
				reports[other]++
			}
		}
	}
	return reports
}

// excludeUnreachable makes a router leave at once, without waiting for its next
// heartbeat, and records the reason.
func (s *Supervisor) excludeUnreachable(session *assigner.Session, count, others int, batch *batch) {
	row, number := &session.Row, session.Row.Session
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
		Subject: row.Router,
		Text:    fmt.Sprintf("by %d of %d others", count, others),
	}})
}

// noteHeartbeat records the time of a heartbeat. The first one of a process, of a term, or
// after a silence proves that the router lives, whatever others reported before.
func (s *Supervisor) noteHeartbeat(now timer.Instant, router *routerState, session *assigner.Session, heartbeat *messenger.Heartbeat) {
	// A pause of this process is no silence of the router.
	silentSince := router.received
	if s.graceStart.SinceMonotonic(silentSince) > 0 {
		silentSince = s.graceStart
	}
	switch {
	case router.instance == 0:
		router.provenAt = now
		if session.Stopping && !isLeaving(heartbeat) {
			// The previous leader has excluded it, perhaps for good reason. The others
			// repeat what they reported to it.
			router.excludedUntil = now.Add(linker.FailureTTL + silentIntervals*s.options.Timing.Interval)
		}
	case router.instance != heartbeat.Instance, now.SinceMonotonic(silentSince) >= silentIntervals*s.options.Timing.Interval:
		router.provenAt, router.excludedUntil = now, timer.Instant{}
	}
	router.received = now
}

// isExcluded reports whether a router gets no shards because others could not reach
// it.
func (r *routerState) isExcluded(now timer.Instant) bool {
	return !r.excludedUntil.IsZero() && r.excludedUntil.SinceMonotonic(now) > 0
}
