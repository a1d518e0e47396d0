package assembler

import (
	"fmt"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
	"marigoldhill/router/drainer"
	"marigoldhill/router/granter"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/reporter"
	"marigoldhill/router/tallier"
)

// stalledInterval is the least time between two reports of stalled requests.
const stalledInterval = 10 * time.Second

// steward puts the heartbeats together and applies their answers. Its methods
// of [keeper.Steward] run on the goroutine that owns the control state.
type steward struct {
	locator  *locator.Locator
	prober   *prober.Prober
	drainer  *drainer.Drainer
	recorder *recorder.Recorder
	admitter *admitter.Admitter
	granter  *granter.Granter
	tally    *tallier.Tally
	reporter *reporter.Reporter
	log      *logger.Log

	rows     []messenger.ShardRow
	server   *messenger.ServerRow
	reported timer.Instant

	// leaving says that the process wants to give its shards away.
	leaving atomic.Bool
	// held is the number of shards that it has.
	held atomic.Int64
}

var _ keeper.Steward = (*steward)(nil)

// Report implements [keeper.Steward].
func (s *steward) Report(now timer.Instant, _ uint64, heartbeat *messenger.Heartbeat) {
	view := s.prober.View()
	table := s.locator.Load()
	heartbeat.Server = view.Row
	heartbeat.State = view.State
	heartbeat.Revision = table.Revision()
	heartbeat.Leaving = s.leaving.Load()
	heartbeat.Released = s.drainer.Release(view.State, table.ShardOf)
	heartbeat.Loads, heartbeat.Keys = s.tally.Report(now)
	s.recorder.Report(heartbeat)
	s.reportQueue(now, heartbeat)
	if view.Row != s.server {
		s.server = view.Row
		s.granter.Follow(s.server, s.rows)
	}
}

// reportQueue says how much waits, and raises an event when background work
// stalls.
func (s *steward) reportQueue(now timer.Instant, heartbeat *messenger.Heartbeat) {
	report := s.admitter.Report(now)
	heartbeat.Queue = report.Queue
	heartbeat.Stalled = report.Stalled
	if report.Oldest == nil {
		return
	}
	if !s.reported.IsZero() && now.Since(s.reported) < stalledInterval {
		return
	}
	s.reported = now
	oldest := report.Oldest
	s.log.Emit(logger.RequestStalled,
		"service", oldest.Service, "key", oldest.Key, "profile", oldest.Profile, "stalled", report.Stalled)
	s.reporter.Send(messenger.Report{
		Stalled: fmt.Sprintf("%s: key %q of profile %s waits, %d in all", oldest.Service, oldest.Key, oldest.Profile, report.Stalled),
	})
}

// Apply implements [keeper.Steward].
func (s *steward) Apply(session uint64, delta *messenger.TableDelta) error {
	s.recorder.Opened(session)
	if delta == nil {
		return nil
	}
	if err := s.locator.Apply(delta); err != nil {
		return Error.New("applying the routing table: %w", err)
	}
	s.follow(session)
	return nil
}

// Lapsed implements [keeper.Steward].
func (s *steward) Lapsed(uint64) {
	s.follow(0)
}

// follow hands the shards of a session to those who give them back.
func (s *steward) follow(session uint64) {
	s.rows = nil
	if session != 0 {
		s.rows = ownRows(s.locator.Load(), session)
	}
	s.held.Store(int64(len(s.rows)))
	s.drainer.Follow(s.rows)
	s.granter.Follow(s.server, s.rows)
}

// ownRows lists the shards that a session owns.
func ownRows(table *locator.Table, session uint64) []messenger.ShardRow {
	var rows []messenger.ShardRow
	for service := range table.Services() {
		for row := range table.Shards(service.Name) {
			if row.Owner == session {
				rows = append(rows, row)
			}
		}
	}
	return rows
}
