package experimenter

import (
	"context"
	"errors"
	"sync"
	"time"

	"marigoldhill/bench/loader"
	"marigoldhill/kernel/networker"
)

// callers send the load of all services.
type callers struct {
	network networker.Network
}

// phase is a part of a run. It is added to the seed, so that no part sends the
// requests of another one again.
type phase uint64

// The phases of a run, in order.
const (
	phaseWarmup phase = iota
	phaseAlone
	phaseBeside
)

// seedStep keeps the seeds of services apart.
const seedStep = 1000

// send sends the load of one part to all services at once and returns a report
// for each, in the order of the plan.
func (t *trial) send(ctx context.Context, phase phase, length time.Duration) ([]loader.Report, error) {
	plan := t.deployment.Plan
	reports := make([]loader.Report, len(plan.Servers))
	failures := make([]error, len(plan.Servers))
	var sending sync.WaitGroup
	for i, row := range plan.Servers {
		seed := t.settings.Seed + uint64(i)*seedStep + uint64(phase)
		beside := phase == phaseBeside
		settings := t.deployment.load(row, beside, length, seed)
		settings.Routers = t.stage.callers()
		if t.scenario.Hot && beside && i == 0 {
			settings.Hot = hotKeys(length)
		}
		sending.Go(func() {
			reports[i], failures[i] = loader.Run(ctx, settings, t.callers.network)
		})
	}
	sending.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, Error.New("sending load: %w", err)
	}
	if phase == phaseBeside {
		t.countRuns(reports)
	}
	return reports, nil
}

// countRuns notes in the reports the numbered requests that ran more than once
// on all servers of a service together.
func (t *trial) countRuns(reports []loader.Report) {
	next := 0
	for i, row := range t.deployment.Plan.Servers {
		var ledgers []loader.Ledger
		for range row.Count {
			ledgers = append(ledgers, t.stage.servers()[next].Ledger())
			next++
		}
		reports[i].CountRuns(ledgers)
	}
}
