package assembler

import (
	"context"
	"time"

	"marigoldhill/kernel/logger"
)

// drain waits until callers have switched to other routers and hands the keys over.
// Requests are served as before in the meantime.
func (p *Routed) drain(ctx context.Context) error {
	started := time.Now()
	p.leaving.Store(true)
	limit := time.Duration((1 - stopReserveFraction) * float64(p.settings.Grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	handOverDelay := time.Duration(handOverFraction * float64(p.settings.Grace))
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Since(started) < callerDrainTime || !p.holder.IsEmpty() || !p.isIdle() {
		if time.Since(started) >= handOverDelay && !p.handingOver.Swap(true) {
			p.keeper.RequestHeartbeat()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// isIdle reports whether no request is running on the backend server or waiting for it.
func (p *Routed) isIdle() bool {
	work := p.admission.Work()
	return work.Running+work.Waiting == 0
}

// Stop hands the keys over, waits for the requests in flight, closes the session and
// stops all services.
func (p *Routed) Stop(ctx context.Context) error {
	p.stopWindow.Begin()
	p.options.Log.Emit(logger.ProcessStopping)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Grace-stopMargin)
	defer cancel()
	err := p.registry.Stop(ctx)
	elapsed, _ := p.stopWindow.Elapsed()
	p.options.Log.Emit(logger.ProcessStopped, "took", elapsed.String(), "error", err)
	if err != nil {
		return Error.New("stopping: %w", err)
	}
	return nil
}
