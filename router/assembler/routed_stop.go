package assembler

import (
	"context"
	"errors"
	"time"

	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
	"marigoldhill/router/stopper"
)

// drain waits until callers have switched to other routers, hands the keys over, and waits
// for the requests at the own server. Requests are served as before in the meantime, if
// they can end in time.
func (p *Routed) drain(ctx context.Context) error {
	started := time.Now()
	p.leaving.Store(true)
	timing := newStopTiming(p.settings.Grace)
	handOverDelay := min(timing.handOver, timing.owner-p.longestRangedTimeout()-handOverTime)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		elapsed := time.Since(started)
		if elapsed >= handOverDelay && !p.handingOver.Swap(true) {
			p.keeper.RequestHeartbeat()
		}
		switch {
		case elapsed >= timing.owner:
			p.ownerWindow.Close()
			return nil
		case elapsed < stopper.CallerSwitchTime:
		case elapsed < timing.switched && !(p.holder.IsEmpty() && p.isQuiet()):
		case p.ownerWindow.CloseIfIdle():
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// isQuiet reports whether callers have sent nothing for a while, so that they have probably
// switched to other routers.
func (p *Routed) isQuiet() bool {
	return time.Since(time.Unix(0, p.lastCall.Load())) >= callerQuietTime
}

// longestRangedTimeout returns the longest timeout of the requests for the keys of the own
// server, or 0 if it has none. While the router stops, nobody serves those that no longer
// fit until the keys have another owner.
func (p *Routed) longestRangedTimeout() time.Duration {
	routes, service := p.mapper.Load(), p.serviceName()
	if routes.Configuration == nil || !routes.IsRanged(service) {
		return 0
	}
	longest := time.Duration(0)
	for _, route := range routes.Configuration.Routes {
		for _, part := range route.Parts {
			if part.Service == service {
				longest = max(longest, route.Treatment.Timeout)
			}
		}
	}
	return longest
}

// stopCallers closes the connections of callers once their requests have ended.
func (p *Routed) stopCallers(ctx context.Context) error {
	elapsed, _ := p.entryWindow.Elapsed()
	ctx, cancel := context.WithTimeout(ctx, newStopTiming(p.settings.Grace).callers-elapsed)
	defer cancel()
	err := p.callerGuard.Stop(ctx, p.callerServer)
	if cut := new(listener.CutError); errors.As(err, &cut) {
		elapsed, _ := p.entryWindow.Elapsed()
		p.options.Log.Emit(logger.CallersCut, "stopping", elapsed.String(), "connections", cut.Connections, "requests", cut.Requests, "oldest", cut.Oldest.String())
	}
	if err != nil {
		return Error.New("waiting for the requests of callers: %w", err)
	}
	return nil
}

// Stop hands the keys over, waits for the requests in flight, closes the session and
// stops all services.
func (p *Routed) Stop(ctx context.Context) error {
	return stopProcess(ctx, p.registry, p.options.Log, p.settings.Grace, p.entryWindow, p.ownerWindow)
}
