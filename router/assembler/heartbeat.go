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
	"marigoldhill/router/aggregator"
	"marigoldhill/router/drainer"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/granter"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/reporter"
)

// stalledReportInterval is the minimum time between two reports of stalled requests.
const stalledReportInterval = 10 * time.Second

// heartbeatHandler fills in heartbeats and applies the responses to them. Its methods of
// [keeper.HeartbeatHandler] run on the goroutine of the keeper.
type heartbeatHandler struct {
	locator  *locator.Locator
	prober   *prober.Prober
	drainer  *drainer.Drainer
	recorder *recorder.Recorder
	admitter *admitter.Admitter
	granter  *granter.Granter
	tally    *aggregator.Tally
	reporter *reporter.Reporter
	pool     *linker.Pool
	log      *logger.Log
	// domain is the failure domain of the router, evacuation guards its backend server.
	domain     string
	evacuation *evacuator.Guard

	ownedShards       ownedShards
	server            *messenger.ServerRow
	lastStalledReport timer.Instant

	// leaving is set when the process is handing its shards over.
	leaving atomic.Bool
	// shardCount is the number of shards that the session owns.
	shardCount atomic.Int64
}

var _ keeper.HeartbeatHandler = (*heartbeatHandler)(nil)

// Report implements [keeper.HeartbeatHandler].
func (h *heartbeatHandler) Report(now timer.Instant, _ uint64, heartbeat *messenger.Heartbeat) {
	view := h.prober.View()
	table := h.locator.Load()
	heartbeat.Server = view.Row
	heartbeat.State = view.State
	heartbeat.Revision = table.Revision()
	heartbeat.Leaving = h.leaving.Load()
	heartbeat.Unreached = h.unreachableSessions(table)
	heartbeat.Released = h.drainer.Release(view.State, table.ShardOf)
	h.tally.Report(now, heartbeat)
	h.recorder.Report(heartbeat)
	h.reportQueue(now, heartbeat)
	if view.Row != h.server {
		h.server = view.Row
		h.granter.SetRows(h.server, h.ownedShards.list())
	}
}

// unreachableSessions returns the sessions of routers that cannot be reached.
func (h *heartbeatHandler) unreachableSessions(table *locator.Table) []uint64 {
	failing := h.pool.UnreachableAddresses()
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

// reportQueue reports the length of the queue, and logs and sends an event when
// background requests are stalled.
func (h *heartbeatHandler) reportQueue(now timer.Instant, heartbeat *messenger.Heartbeat) {
	report := h.admitter.Report(now)
	heartbeat.Queue = report.Queue
	heartbeat.Stalled = report.Stalled
	if report.Oldest == nil {
		return
	}
	if !h.lastStalledReport.IsZero() && now.Since(h.lastStalledReport) < stalledReportInterval {
		return
	}
	h.lastStalledReport = now
	oldest := report.Oldest
	h.log.Emit(logger.RequestStalled,
		"service", oldest.Service, "key", oldest.Key, "profile", oldest.Profile, "stalled", report.Stalled)
	h.reporter.Send(messenger.Report{
		Stalled: fmt.Sprintf("%s: key %q of profile %s waits, %d in all", oldest.Service, oldest.Key, oldest.Profile, report.Stalled),
	})
}

// Apply implements [keeper.HeartbeatHandler].
func (h *heartbeatHandler) Apply(session uint64, delta *messenger.TableDelta) error {
	h.recorder.AddSession(session)
	if delta == nil {
		return nil
	}
	if err := h.locator.Apply(delta); err != nil {
		return Error.New("applying the routing table: %w", err)
	}
	h.evacuation.Update(h.locator.Load().Evacuation(h.domain), delta.Full)
	if h.ownedShards.apply(session, h.locator.Load(), delta) {
		h.distributeShards()
	}
	h.recorder.SetRows(h.ownedShards.list())
	return nil
}

// SessionEnded implements [keeper.HeartbeatHandler].
func (h *heartbeatHandler) SessionEnded(uint64) {
	h.ownedShards = ownedShards{}
	h.distributeShards()
}

// distributeShards passes the shards of the session to the components that use them.
func (h *heartbeatHandler) distributeShards() {
	rows := h.ownedShards.list()
	h.shardCount.Store(int64(len(rows)))
	h.drainer.SetRows(rows)
	h.granter.SetRows(h.server, rows)
}
