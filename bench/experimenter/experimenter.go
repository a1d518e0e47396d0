// Package experimenter compares the policy of the project with baselines, under
// the load of a deployment and under faults.
//
// Each run has two parts after a short warm-up: interactive work alone, and then
// interactive beside background work with the fault of the scenario. The network is in memory with
// the distances of the deployment; the time is real.
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

// warmupPart is the length of a run, as a multiple of that of its warm-up.
const warmupPart = 6

// Settings choose what is run.
type Settings struct {
	// Length is that of the part with background work; the part before it takes
	// half as long.
	Length time.Duration
	// Scenarios and Variants are run in all combinations; empty means all.
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
	// Alone and Beside are the latencies of interactive work without and with
	// background work.
	Alone  loader.Latency `json:"alone"`
	Beside loader.Latency `json:"beside"`
	// Report is of the part with background work and the fault.
	Report loader.Report `json:"report"`
	// Promoted is how long it took until the first hot key had a shard of its
	// own; 0 when it never had.
	Promoted time.Duration `json:"promoted,omitempty"`
}

// Ratio is the 99th percentile of interactive latency beside background work to
// that without it.
func (r Row) Ratio() float64 {
	if r.Alone.P99 == 0 {
		return 0
	}
	return float64(r.Beside.P99) / float64(r.Alone.P99)
}

// Run runs all combinations one after the other.
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
			made, err := runOne(ctx, deployment, scenario, variant, settings)
			if err != nil {
				return rows, Error.New("running %s with %s: %w", scenario.Name, variant, err)
			}
			rows = append(rows, made...)
		}
	}
	if len(rows) == 0 {
		return nil, Error.New("no such scenario or variant")
	}
	return rows, nil
}

// runOne runs one scenario with one variant on a stage of its own.
func runOne(ctx context.Context, deployment Deployment, scenario Scenario, variant Variant, settings Settings) ([]Row, error) {
	trial := &trial{deployment: deployment, scenario: scenario, variant: variant, settings: settings}
	if err := trial.prepare(ctx); err != nil {
		return nil, err
	}
	rows, err := trial.run(ctx)
	return rows, errors.Join(err, trial.stage.stop(context.WithoutCancel(ctx)))
}

// trial is one run.
type trial struct {
	deployment Deployment
	scenario   Scenario
	variant    Variant
	settings   Settings
	stage      stage
	callers    callers
}

// prepare builds and starts the stage.
func (t *trial) prepare(ctx context.Context) error {
	world := newWorld(t.deployment)
	t.callers = callers{network: world.Node(callerNode)}
	adjust := t.scenario.Adjust
	if adjust == nil {
		adjust = func(int, *responder.Settings) {}
	}
	if t.variant.isBaseline() {
		t.stage = newBaselineStage(t.deployment.Plan, t.variant, world, adjust)
	} else {
		stage, err := newClusterStage(t.variant.plan(t.deployment.Plan), world, adjust)
		if err != nil {
			return err
		}
		t.stage = stage
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := t.stage.start(starting); err != nil {
		return errors.Join(err, t.stage.stop(context.WithoutCancel(ctx)))
	}
	return nil
}

// run sends the load of both parts.
func (t *trial) run(ctx context.Context) ([]Row, error) {
	if t.scenario.Prepare != nil {
		if err := t.scenario.Prepare(ctx, t.stage); err != nil {
			return nil, err
		}
	}
	// What is sent first opens connections and is not measured.
	if _, err := t.send(ctx, phaseWarmup, t.settings.Length/warmupPart); err != nil {
		return nil, err
	}
	alone, err := t.send(ctx, phaseAlone, t.settings.Length/2)
	if err != nil {
		return nil, err
	}
	var faults sync.WaitGroup
	var failure error
	var promoted time.Duration
	faults.Go(func() { failure = t.disturb(ctx) })
	if t.scenario.Hot {
		faults.Go(func() { promoted = t.awaitAlone(ctx) })
	}
	beside, err := t.send(ctx, phaseBeside, t.settings.Length)
	faults.Wait()
	if err := errors.Join(err, failure); err != nil {
		return nil, err
	}
	rows := make([]Row, len(beside))
	for i, report := range beside {
		rows[i] = Row{
			Scenario: t.scenario.Name, Variant: t.variant,
			Service: t.deployment.Plan.Servers[i].Service,
			Alone:   interactive(alone[i]), Beside: interactive(report), Report: report,
		}
	}
	rows[0].Promoted = promoted
	return rows, nil
}

// disturb causes the fault and ends it.
func (t *trial) disturb(ctx context.Context) error {
	length := t.settings.Length
	steps := []struct {
		wait time.Duration
		do   func(ctx context.Context, stage stage) error
	}{
		{length / 4, t.scenario.Fault},
		{length*2/3 - length/4, t.scenario.Relief},
	}
	for _, step := range steps {
		if step.do == nil {
			continue
		}
		if err := pause(ctx, step.wait); err != nil {
			return err
		}
		if err := step.do(ctx, t.stage); err != nil {
			return err
		}
	}
	return nil
}

// alonePause is the time between two looks at the shard of a hot key.
const alonePause = 500 * time.Millisecond

// awaitAlone waits until the first hot key has a shard of its own, at most while
// it is hot, and returns how long that took.
func (t *trial) awaitAlone(ctx context.Context) time.Duration {
	started := time.Now()
	for time.Since(started) < t.settings.Length/2 {
		alone, err := t.stage.isAlone(ctx, t.deployment.Plan.Servers[0].Service, firstHot)
		if err == nil && alone {
			return time.Since(started)
		}
		if pause(ctx, alonePause) != nil {
			return 0
		}
	}
	return 0
}

// interactive is the latency of all interactive work of a report.
func interactive(report loader.Report) loader.Latency {
	for _, latency := range report.Classes {
		if latency.Class == messenger.ClassInteractive {
			return latency
		}
	}
	return loader.Latency{}
}
