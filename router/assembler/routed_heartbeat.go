package assembler

import (
	"slices"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
	"marigoldhill/router/monitor"
)

var _ keeper.HeartbeatHandler = (*Routed)(nil)

// Report implements [keeper.HeartbeatHandler]. Without a session nothing is reported as
// free: the router may resume the session that ended, and then grants these ranges again.
func (p *Routed) Report(now timer.Instant, session uint64, heartbeat *messenger.Heartbeat) {
	view := p.server.View()
	routes := p.mapper.Load()
	heartbeat.Routed = true
	heartbeat.Sole = true
	heartbeat.Server = p.cold.row(view.Row)
	heartbeat.State = view.State
	heartbeat.Revision = routes.Revision
	heartbeat.Leaving = p.handingOver.Load()
	if session != 0 {
		heartbeat.Freed = p.holder.Freed()
	}
	heartbeat.Members = messenger.HashAddresses(*p.members.Load())
	heartbeat.Unreached = p.unreachableSessions()
	if view.Row != nil {
		heartbeat.Work = p.sampler.Report(now, routes.OwnedRanges(view.Row.Service, p.keeper.Session()))
		p.applyLimits(heartbeat.Work, view.Row.Slots)
	}
}

// applyLimits applies the limit that the backend server has named and that of the VM's link.
func (p *Routed) applyLimits(report *messenger.RangeLoadReport, slots int) {
	applyLimit(report, slots, p.admission.Limit())
	applyLimit(report, slots, p.owner.LinkLimit())
}

// applyLimit makes a report show a backend server that has named a limit, or whose VM has a
// full link, as so slow that all its slots together serve no more than that, so that keys
// move to other servers.
func applyLimit(report *messenger.RangeLoadReport, slots int, limit float64) {
	if report == nil || limit <= 0 {
		return
	}
	slotTime := time.Duration(float64(slots) / limit * float64(time.Second))
	report.Busy = max(report.Busy, time.Duration(report.Finished)*slotTime)
}

// unreachableSessions returns the sessions of routers that cannot be reached.
func (p *Routed) unreachableSessions() []uint64 {
	failing := p.pool.UnreachableAddresses()
	if len(failing) == 0 {
		return nil
	}
	var sessions []uint64
	for _, server := range p.mapper.Load().AllServers() {
		if slices.Contains(failing, server.Address) {
			sessions = append(sessions, server.Session)
		}
	}
	return sessions
}

// Apply implements [keeper.HeartbeatHandler].
func (p *Routed) Apply(_ uint64, delta *messenger.TableDelta) error {
	if delta != nil {
		before := p.mapper.Load().Configuration
		if err := p.mapper.Apply(delta); err != nil {
			return Error.New("applying the routing table: %w", err)
		}
		p.evacuation.Update(p.mapper.Load().Evacuation(p.settings.Domain), delta.Full)
		if after := p.mapper.Load().Configuration; after != before {
			p.options.Log.Emit(logger.ConfigurationApplied, "version", after.Version, "revision", delta.To, "routes", len(after.Routes))
		}
		p.cold.mapChanged(p.mapper.Load(), p.serviceName(), p.keeper.Session())
	}
	p.updateRecord()
	p.updateRanges()
	return nil
}

// updateRecord passes what the control group has recorded of the backend server to the
// monitor.
func (p *Routed) updateRecord() {
	routes, session := p.mapper.Load(), p.keeper.Session()
	p.server.SetRecord(timer.Now(), monitor.Record{
		Row: routes.ServerOf(session), Withdrawn: routes.IsWithdrawn(session), IsKept: routes.RecordsWithdrawals,
	})
}

// SessionEnded implements [keeper.HeartbeatHandler]. The grants of the backend server
// expire at the server, and the routes remain valid for requests to other routers.
func (p *Routed) SessionEnded(uint64) {
	p.updateRanges()
}

// Reload reads the settings again and reports whether they are valid, but applies none.
// Whenever the control group does not respond, its addresses are read again; the other
// settings take effect at the next start.
func (p *Routed) Reload() error {
	if p.options.Reload == nil {
		return nil
	}
	if _, err := p.options.Reload(); err != nil {
		return Error.New("reading the settings: %w", err)
	}
	return nil
}

// seeds returns the addresses of the control group from the current settings, or nil
// when they cannot be read.
func (p *Routed) seeds() []string {
	if p.options.Reload == nil {
		return nil
	}
	settings, err := p.options.Reload()
	if err != nil {
		p.options.Log.Emit(logger.SettingsReloadFailed, "error", err)
		return nil
	}
	return settings.replicas()
}
