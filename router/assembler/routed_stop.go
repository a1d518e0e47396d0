package assembler

import (
	"context"
	"errors"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/router/listener"
	"marigoldhill/router/stopper"
)

const (
	// exitMargin is how long before the end of the grace period the process exits, since it
	// is killed at the end.
	exitMargin = 250 * time.Millisecond
	// closeReserve is the time for closing the session and the links once the connections of
	// callers are closed.
	closeReserve = 150 * time.Millisecond
	// writeReserve is the time for sending the last responses to callers.
	writeReserve = 100 * time.Millisecond
	// callerCloseTime is how long the connections of callers are being closed. The backend
	// server makes calls for its requests over them, so these must have ended before.
	callerCloseTime = 300 * time.Millisecond
	// handOverFraction is the fraction of the grace period after which a stopping router
	// hands its keys over. Until callers have switched to other routers, which takes
	// stopper.CallerSwitchTime, its backend server can continue to execute requests.
	handOverFraction = 0.3
	// handOverTime is how long it takes until the new owner of keys has them.
	handOverTime = 500 * time.Millisecond
	// moveFraction is the fraction of the grace period for which a router waits for its
	// keys to be handed over.
	moveFraction = 0.65
)

// stopTiming are the steps of a stop, as times since its beginning.
type stopTiming struct {
	// handOver is when the keys are handed over at the latest.
	handOver time.Duration
	// move is when the router no longer waits for its keys to be handed over.
	move time.Duration
	// owner is when all requests at the own server must have ended, and entry when all
	// requests of callers must have.
	owner, entry time.Duration
	// callers is when the connections of callers are closed, exit when the process ends.
	callers, exit time.Duration
}

func newStopTiming(grace time.Duration) stopTiming {
	exit := grace - exitMargin
	callers := exit - closeReserve
	entry := callers - writeReserve
	return stopTiming{
		handOver: time.Duration(handOverFraction * float64(grace)),
		move:     time.Duration(moveFraction * float64(grace)),
		owner:    entry - callerCloseTime,
		entry:    entry,
		callers:  callers,
		exit:     exit,
	}
}

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
		case !p.holder.IsEmpty() && elapsed < timing.move:
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
	p.entryWindow.Begin()
	p.ownerWindow.Begin()
	p.options.Log.Emit(logger.ProcessStopping)
	ctx, cancel := context.WithTimeout(ctx, newStopTiming(p.settings.Grace).exit)
	defer cancel()
	err := p.registry.Stop(ctx)
	elapsed, _ := p.entryWindow.Elapsed()
	p.options.Log.Emit(logger.ProcessStopped, "took", elapsed.String(), "error", err)
	if err != nil {
		return Error.New("stopping: %w", err)
	}
	return nil
}
