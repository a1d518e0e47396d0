package responder

import (
	"sync/atomic"
	"time"

	"marigoldhill/kernel/messenger"
)

// States that a server reports of its health.
const (
	healthReady    = "ready"
	healthCold     = "cold"
	healthDraining = "draining"
)

// reports are the load and health that the server tells its router.
type reports struct {
	settings Settings
	life     *life
	// late is the load as it was at the last refresh; nil without a lag.
	late atomic.Pointer[messenger.ServerLoad]
}

func newReports(settings Settings, life *life) *reports {
	return &reports{settings: settings, life: life}
}

// run refreshes the lagging load until done is closed.
func (r *reports) run(done <-chan struct{}) {
	if r.settings.Lag <= 0 {
		return
	}
	ticker := time.NewTicker(r.settings.Lag)
	defer ticker.Stop()
	for {
		load := r.measure()
		r.late.Store(&load)
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

func (r *reports) measure() messenger.ServerLoad {
	return messenger.ServerLoad{
		Running: int(r.life.running.Load()),
		Queued:  int(r.life.queued.Load()),
		Slots:   r.settings.Slots,
	}
}

// load is the load as reported.
func (r *reports) load() messenger.ServerLoad {
	switch r.settings.Load {
	case ReportIdle:
		return messenger.ServerLoad{Slots: r.settings.Slots}
	case ReportBusy:
		slots := r.settings.Slots
		return messenger.ServerLoad{Running: slots, Queued: slots, Slots: slots}
	}
	if late := r.late.Load(); late != nil {
		return *late
	}
	return r.measure()
}

// health is the health as reported.
func (r *reports) health() messenger.ServerHealth {
	switch {
	case r.life.draining.Load():
		return messenger.ServerHealth{State: healthDraining}
	case r.settings.Health == ReportIdle:
		return messenger.ServerHealth{State: healthReady}
	case r.settings.Health == ReportBusy, r.isCold(time.Now()):
		return messenger.ServerHealth{State: healthCold}
	}
	return messenger.ServerHealth{State: healthReady}
}

func (r *reports) isCold(now time.Time) bool {
	return now.Sub(r.life.born) < r.settings.Warmup
}
