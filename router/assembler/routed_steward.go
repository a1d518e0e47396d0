package assembler

import (
	"slices"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
)

var _ keeper.Steward = (*Routed)(nil)

// Report implements [keeper.Steward].
func (p *Routed) Report(now timer.Instant, _ uint64, heartbeat *messenger.Heartbeat) {
	view := p.server.View()
	routes := p.mapper.Load()
	heartbeat.Routed = true
	heartbeat.Sole = true
	heartbeat.Server = view.Row
	heartbeat.State = view.State
	heartbeat.Revision = routes.Revision
	heartbeat.Leaving = p.yielding.Load()
	heartbeat.Freed = p.holder.Freed()
	heartbeat.Members = messenger.SumOf(p.members)
	heartbeat.Unreached = p.unreached()
	if view.Row != nil {
		heartbeat.Work = p.sampler.Report(now, routes.Owned(view.Row.Service, p.keeper.Session()))
	}
}

// unreached lists the sessions of routers that cannot be reached.
func (p *Routed) unreached() []uint64 {
	failing := p.pool.Failing()
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

// Apply implements [keeper.Steward].
func (p *Routed) Apply(_ uint64, delta *messenger.TableDelta) error {
	if delta != nil {
		before := p.mapper.Load().Configuration
		if err := p.mapper.Apply(delta); err != nil {
			return Error.New("applying the routing table: %w", err)
		}
		if after := p.mapper.Load().Configuration; after != before {
			p.options.Log.Emit(logger.MapChanged, "version", after.Version, "revision", delta.To, "routes", len(after.Routes))
		}
	}
	p.follow()
	return nil
}

// Lapsed implements [keeper.Steward]. What the backend server was granted ends by
// itself, and the routes stay good for requests to others.
func (p *Routed) Lapsed(uint64) {
	p.follow()
}

// Reload reads the settings again. Of these, seeds are looked up whenever the
// control group does not answer; the others hold until the next start.
func (p *Routed) Reload() error {
	if p.options.Reload == nil {
		return nil
	}
	if _, err := p.options.Reload(); err != nil {
		return Error.New("reading the settings: %w", err)
	}
	return nil
}

// seeds are the addresses of the settings as they are now.
func (p *Routed) seeds() []string {
	if p.options.Reload == nil {
		return nil
	}
	settings, err := p.options.Reload()
	if err != nil {
		p.options.Log.Emit(logger.SettingsUnread, "error", err)
		return nil
	}
	return settings.replicas()
}
