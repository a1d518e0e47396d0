package assembler

import (
	"sync/atomic"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/drainer"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
)

// steward puts the heartbeats together and applies their answers. Its methods
// of [keeper.Steward] run on the goroutine that owns the control state.
type steward struct {
	locator *locator.Locator
	prober  *prober.Prober
	drainer *drainer.Drainer

	// leaving says that the process wants to give its shards away.
	leaving atomic.Bool
	// held is the number of shards that it has.
	held atomic.Int64
}

var _ keeper.Steward = (*steward)(nil)

// Report implements [keeper.Steward].
func (s *steward) Report(_ timer.Instant, _ uint64, heartbeat *messenger.Heartbeat) {
	view := s.prober.View()
	table := s.locator.Load()
	heartbeat.Server = view.Row
	heartbeat.State = view.State
	heartbeat.Revision = table.Revision()
	heartbeat.Leaving = s.leaving.Load()
	heartbeat.Released = s.drainer.Release(view.State, table.ShardOf)
}

// Apply implements [keeper.Steward].
func (s *steward) Apply(session uint64, delta *messenger.TableDelta) error {
	if delta != nil {
		if err := s.locator.Apply(delta); err != nil {
			return Error.New("applying the routing table: %w", err)
		}
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
	var rows []messenger.ShardRow
	if session != 0 {
		rows = ownRows(s.locator.Load(), session)
	}
	s.held.Store(int64(len(rows)))
	s.drainer.Follow(rows)
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
