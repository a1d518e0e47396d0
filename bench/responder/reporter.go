package responder

import (
	"sync/atomic"
	"time"

	"marigoldhill/kernel/messenger"
)

// Health states that a server reports.
const (
	healthReady    = "ready"
	healthCold     = "cold"
	healthDraining = "draining"
)

// reporter determines the load and health that the server reports to its router.
type reporter struct {
	settings Settings
	instance *instance
	// delayed is the load at the last refresh; nil without a lag.
	delayed atomic.Pointer[messenger.ServerLoad]
}

func newReporter(settings Settings, instance *instance) *reporter {
	return &reporter{settings: settings, instance: instance}
}

// refreshLoop refreshes the delayed load until done is closed. It returns at once
// without a lag.
func (r *reporter) refreshLoop(done <-chan struct{}) {
	if r.settings.Lag <= 0 {
		return
	}
	ticker := time.NewTicker(r.settings.Lag)
	defer ticker.Stop()
	for {
		load := r.currentLoad()
		r.delayed.Store(&load)
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

func (r *reporter) currentLoad() messenger.ServerLoad {
	return messenger.ServerLoad{
		Running: int(r.instance.running.Load()),
		Queued:  int(r.instance.queued.Load()),
		Slots:   r.settings.Slots,
	}
}

// load returns the load to report.
func (r *reporter) load() messenger.ServerLoad {
	switch r.settings.Load {
	case ReportIdle:
		return messenger.ServerLoad{Slots: r.settings.Slots}
	case ReportBusy:
		slots := r.settings.Slots
		return messenger.ServerLoad{Running: slots, Queued: slots, Slots: slots}
	}
	if delayed := r.delayed.Load(); delayed != nil {
		return *delayed
	}
	return r.currentLoad()
}

// health returns the health to report.
func (r *reporter) health() messenger.ServerHealth {
	switch {
	case r.instance.draining.Load():
		return messenger.ServerHealth{State: healthDraining}
	case r.settings.Health == ReportIdle:
		return messenger.ServerHealth{State: healthReady}
	case r.settings.Health == ReportBusy, r.isCold(time.Now()):
		return messenger.ServerHealth{State: healthCold}
	}
	return messenger.ServerHealth{State: healthReady}
}

func (r *reporter) isCold(now time.Time) bool {
	return now.Sub(r.instance.startedAt) < r.settings.Warmup
}
