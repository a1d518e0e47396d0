// Package experimenter compares the routing policy with baselines, under the load
// of a deployment and under faults.
//
// Each run has two phases after a short warm-up: interactive requests only, and
// then interactive mixed with background requests and the fault of the scenario.
// The network is simulated in memory with the delays of the deployment. The clock
// is real.
//
// # Usage
//
//	deployment, err := experimenter.Derwent()
//	rows, err := experimenter.Run(ctx, deployment, experimenter.Settings{Length: 12 * time.Second})
//	fmt.Print(experimenter.Table(rows))
package experimenter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/bench/loader"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("experimenter")

// warmupDivisor is the ratio of Settings.Length to the duration of the warm-up.
const warmupDivisor = 6

// Settings select the runs and their length.
type Settings struct {
	// Length is the duration of the mixed phase. The interactive phase takes
	// half as long.
	Length time.Duration
	// Scenarios and Variants are run in all combinations. Empty means all.
	Scenarios []string
	Variants  []Variant
	Seed      uint64
	// Note is called before each run.
	Note func(scenario string, variant Variant)
}

// Row is the result of one run for one service.
type Row struct {
	Scenario string  `json:"scenario"`
	Variant  Variant `json:"variant"`
	Service  string  `json:"service"`
	// InteractiveOnly and Mixed are the latencies of interactive requests in the
	// interactive and in the mixed phase.
	InteractiveOnly loader.Latency `json:"alone"`
	Mixed           loader.Latency `json:"beside"`
	// Report is the report of the mixed phase.
	Report loader.Report `json:"report"`
	// Promoted is the time until the first hot key had a shard of its own; 0 if
	// it got none.
	Promoted time.Duration `json:"promoted,omitempty"`
}

// Ratio returns the ratio of the 99th percentile of the interactive latency with
// background requests to that without.
func (r Row) Ratio() float64 {
	if r.InteractiveOnly.P99 == 0 {
		return 0
	}
	return float64(r.Mixed.P99) / float64(r.InteractiveOnly.P99)
}

// Run runs all selected combinations sequentially.
func Run(ctx context.Context, deployment Deployment, settings Settings) ([]Row, error) {
	var rows []Row
	for _, scenario := range Scenarios() {
		if len(settings.Scenarios) > 0 && !slices.Contains(settings.Scenarios, scenario.Name) {
			continue
		}
		for _, variant := range Variants() {
			if len(settings.Variants) > 0 && !slices.Contains(settings.Variants, variant) {
				continue
			}
			settings.Note(scenario.Name, variant)
			results, err := runOne(ctx, deployment, scenario, variant, settings)
			if err != nil {
				return rows, Error.New("running %s with %s: %w", scenario.Name, variant, err)
			}
			rows = append(rows, results...)
		}
	}
	if len(rows) == 0 {
		return nil, Error.New("no scenario and variant match the settings")
	}
	return rows, nil
}

// runOne runs one scenario with one variant on a new system.
func runOne(ctx context.Context, deployment Deployment, scenario Scenario, variant Variant, settings Settings) ([]Row, error) {
	trial := &trial{deployment: deployment, scenario: scenario, variant: variant, settings: settings}
	if err := trial.prepare(ctx); err != nil {
		return nil, err
	}
	rows, err := trial.run(ctx)
	return rows, errors.Join(err, trial.system.stop(context.WithoutCancel(ctx)))
}

// trial is one run of a scenario with a variant.
type trial struct {
	deployment Deployment
	scenario   Scenario
	variant    Variant
	settings   Settings
	system     system
	callers    callers
}

// prepare creates and starts the system under test.
func (t *trial) prepare(ctx context.Context) error {
	simulatedNetwork := newDeploymentNetwork(t.deployment)
	t.callers = callers{network: simulatedNetwork.Node(callerNode)}
	adjust := t.scenario.Adjust
	if adjust == nil {
		adjust = func(int, *responder.Settings) {}
	}
	if t.variant.isBaseline() {
		t.system = newBaselineSystem(t.deployment.Plan, t.variant, simulatedNetwork, adjust)
	} else {
		system, err := newClusterSystem(t.variant.plan(t.deployment.Plan), simulatedNetwork, adjust)
		if err != nil {
			return err
		}
		t.system = system
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := t.system.start(startCtx); err != nil {
		return errors.Join(err, t.system.stop(context.WithoutCancel(ctx)))
	}
	return nil
}

// run sends the load of all phases and injects the fault in the mixed phase.
func (t *trial) run(ctx context.Context) ([]Row, error) {
	if t.scenario.Prepare != nil {
		if err := t.scenario.Prepare(ctx, t.system); err != nil {
			return nil, err
		}
	}
	// The warm-up opens connections and is not measured.
	if _, err := t.send(ctx, phaseWarmup, t.settings.Length/warmupDivisor); err != nil {
		return nil, err
	}
	interactiveReports, err := t.send(ctx, phaseInteractive, t.settings.Length/2)
	if err != nil {
		return nil, err
	}
	var faults sync.WaitGroup
	var faultErr error
	var promoted time.Duration
	faults.Go(func() { faultErr = t.injectFault(ctx) })
	if t.scenario.Hot {
		faults.Go(func() { promoted = t.awaitPromotion(ctx) })
	}
	mixedReports, err := t.send(ctx, phaseMixed, t.settings.Length)
	faults.Wait()
	if err := errors.Join(err, faultErr); err != nil {
		return nil, err
	}
	rows := make([]Row, len(mixedReports))
	for i, report := range mixedReports {
		rows[i] = Row{
			Scenario: t.scenario.Name, Variant: t.variant,
			Service:         t.deployment.Plan.Servers[i].Service,
			InteractiveOnly: interactiveLatency(interactiveReports[i]), Mixed: interactiveLatency(report), Report: report,
		}
	}
	rows[0].Promoted = promoted
	return rows, nil
}

// injectFault causes the fault of the scenario and later ends it.
func (t *trial) injectFault(ctx context.Context) error {
	duration := t.settings.Length
	steps := []struct {
		delay  time.Duration
		action func(ctx context.Context, system system) error
	}{
		{duration / 4, t.scenario.Fault},
		{duration*2/3 - duration/4, t.scenario.EndFault},
	}
	for _, step := range steps {
		if step.action == nil {
			continue
		}
		if err := sleep(ctx, step.delay); err != nil {
			return err
		}
		if err := step.action(ctx, t.system); err != nil {
			return err
		}
	}
	return nil
}

// promotionPollInterval is the interval at which a hot key is checked for promotion.
const promotionPollInterval = 500 * time.Millisecond

// awaitPromotion waits until the first hot key has a shard of its own and returns
// how long that took. It returns 0 if the key has none by the time it is no longer
// hot.
func (t *trial) awaitPromotion(ctx context.Context) time.Duration {
	started := time.Now()
	for time.Since(started) < t.settings.Length/2 {
		promoted, err := t.system.isPromoted(ctx, t.deployment.Plan.Servers[0].Service, firstHotKey)
		if err == nil && promoted {
			return time.Since(started)
		}
		if sleep(ctx, promotionPollInterval) != nil {
			return 0
		}
	}
	return 0
}

// interactiveLatency returns the latency of all interactive requests of a report.
func interactiveLatency(report loader.Report) loader.Latency {
	for _, latency := range report.Classes {
		if latency.Class == messenger.ClassInteractive {
			return latency
		}
	}
	return loader.Latency{}
}
