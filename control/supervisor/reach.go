package supervisor

import (
	"fmt"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/timer"
)

const (
	// reachReports is the fewest routers that must fail to reach another one
	// before its shards move; they must be a majority of the others as well.
	reachReports = 2
	// avoidTime is how long a router that others could not reach gets no shards
	// after the last sign of it. Without shards nobody tries to reach it, so
	// nobody can tell when it is reachable again.
	avoidTime = 30 * time.Second
)

// judgeReach marks the routers that a majority of the others cannot reach. Their
// sessions live, since the control group hears them, but few callers reach their
// keys. A single router that fails to reach another one proves nothing.
func (s *Supervisor) judgeReach(now timer.Instant, batch *batch) {
	reports := s.countReports(now)
	if len(reports) == 0 {
		return
	}
	alive := 0
	for _, known := range s.routers {
		if now.Since(known.heard) < s.lapseTime() {
			alive++
		}
	}
	for number, count := range reports {
		known := s.routers[number]
		if known == nil || count < reachReports || 2*count <= alive-1 {
			continue
		}
		if !known.isAvoided(now) {
			s.leaveUnreached(number, count, alive-1, batch)
		}
		known.unreachedAt = now
	}
}

// countReports counts for each session the routers that cannot reach it.
func (s *Supervisor) countReports(now timer.Instant) map[uint64]int {
	var reports map[uint64]int
	for number, known := range s.routers {
		if len(known.unreached) == 0 || now.Since(known.heard) >= s.lapseTime() {
			continue
		}
		if reports == nil {
			reports = make(map[uint64]int)
		}
		for _, other := range known.unreached {
			if other != number {
				reports[other]++
			}
		}
	}
	return reports
}

// leaveUnreached makes a router leave at once, without waiting for its next
// heartbeat, and notes why.
func (s *Supervisor) leaveUnreached(number uint64, count, others int, batch *batch) {
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
		Number:  logger.RouterUnreached.Number,
		Subject: session.Row.Router,
		Text:    fmt.Sprintf("by %d of %d others", count, others),
	}})
}

// isAvoided reports whether a router gets no shards since others could not
// reach it.
func (r *router) isAvoided(now timer.Instant) bool {
	return !r.unreachedAt.IsZero() && now.Since(r.unreachedAt) < avoidTime
}
