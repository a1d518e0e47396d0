package assembler

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/linker"
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
	pool     *linker.Pool
	log      *logger.Log

	holdings holdings
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
	heartbeat.Unreached = s.unreached(table)
	heartbeat.Released = s.drainer.Release(view.State, table.ShardOf)
	s.tally.Report(now, heartbeat)
	s.recorder.Report(heartbeat)
	s.reportQueue(now, heartbeat)
	if view.Row != s.server {
		s.server = view.Row
		s.granter.Follow(s.server, s.holdings.list())
	}
}

// unreached lists the sessions of routers that cannot be reached.
func (s *steward) unreached(table *locator.Table) []uint64 {
	failing := s.pool.Failing()
	if len(failing) == 0 {
		return nil
	}
	var sessions []uint64
	for row := range table.Sessions() {
		if slices.Contains(failing, row.Address) {
			sessions = append(sessions, row.Session)
		}
	}
	slices.Sort(sessions)
	return sessions
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
	if s.holdings.apply(session, s.locator.Load(), delta) {
		s.follow()
	}
	s.recorder.Follow(s.holdings.list())
	return nil
}

// Lapsed implements [keeper.Steward].
func (s *steward) Lapsed(uint64) {
	s.holdings = holdings{}
	s.follow()
}

// follow hands the shards of the session to those who act on them.
func (s *steward) follow() {
	rows := s.holdings.list()
	s.held.Store(int64(len(rows)))
	s.drainer.Follow(rows)
	s.granter.Follow(s.server, rows)
}
