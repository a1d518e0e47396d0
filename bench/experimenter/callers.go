package experimenter

import (
	"context"
	"errors"
	"sync"
	"time"

	"marigoldhill/bench/loader"
	"marigoldhill/kernel/networker"
)

// callers holds the network from which the callers of all services send requests.
type callers struct {
	network networker.Network
}

// phase is a phase of a run. It is added to the seed, so that each phase sends
// different requests.
type phase uint64

// The phases of a run, in order.
const (
	phaseWarmup phase = iota
	phaseInteractive
	phaseMixed
)

// seedStride is the difference between the seeds of two services, so that their
// seeds do not overlap.
const seedStride = 1000

// send sends the load of one phase to all services concurrently and returns a
// report for each, in the order of the plan.
func (t *trial) send(ctx context.Context, phase phase, duration time.Duration) ([]loader.Report, error) {
	plan := t.deployment.Plan
	reports := make([]loader.Report, len(plan.Servers))
	errs := make([]error, len(plan.Servers))
	var senders sync.WaitGroup
	for i, row := range plan.Servers {
		seed := t.settings.Seed + uint64(i)*seedStride + uint64(phase)
		mixed := phase == phaseMixed
		settings := t.deployment.load(row, mixed, duration, seed)
		settings.Routers = t.system.callers()
		if t.scenario.Hot && mixed && i == 0 {
			settings.Hot = hotKeys(duration)
		}
		senders.Go(func() {
			reports[i], errs[i] = loader.Run(ctx, settings, t.callers.network)
		})
	}
	senders.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, Error.New("sending load: %w", err)
	}
	if phase == phaseMixed {
		t.countRuns(reports)
	}
	return reports, nil
}

// countRuns records in the reports the requests with an Idempotency-Key that ran
// more than once on the servers of their service.
func (t *trial) countRuns(reports []loader.Report) {
	index := 0
	for i, row := range t.deployment.Plan.Servers {
		var counters []loader.RunCounter
		for range row.Count {
			counters = append(counters, t.system.servers()[index].RunCounter())
			index++
		}
		reports[i].CountRuns(counters)
	}
}
