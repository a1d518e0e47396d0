package experimenter

import (
	"context"
	"fmt"

	"marigoldhill/bench/baseliner"
	"marigoldhill/bench/launcher"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/disrupter"
)

// baselineStage has the same stand-in servers on the same VMs, with a baseline
// beside each in place of a router.
type baselineStage struct {
	entries []*baseliner.Baseline
	backs   []*responder.Server
}

func newBaselineStage(plan launcher.Plan, variant Variant, world *disrupter.World, adjust func(int, *responder.Settings)) *baselineStage {
	stage := &baselineStage{}
	bases := make(map[string][]string)
	for _, row := range plan.Servers {
		for range row.Count {
			i := len(stage.backs)
			node := fmt.Sprintf("r%d", i+1)
			settings := responder.Defaults()
			settings.Name, settings.Service = fmt.Sprintf("d%d", i+1), row.Service
			settings.Listen = node + ":7204"
			adjust(i, &settings)
			stage.backs = append(stage.backs, responder.New(settings, world.Node(node), responder.NewLedger()))
			bases[row.Service] = append(bases[row.Service], "http://"+settings.Listen)
		}
	}
	retries := 0
	if variant == VariantRobin {
		retries = robinRetries
	}
	for _, node := range nodes(plan) {
		settings := baseliner.Settings{Listen: node + ":7200", Servers: bases, Retries: retries}
		stage.entries = append(stage.entries, baseliner.New(settings, world.Node(node)))
	}
	return stage
}

func (s *baselineStage) start(ctx context.Context) error {
	for _, server := range s.backs {
		if err := server.Start(ctx); err != nil {
			return Error.New("starting a stand-in server: %w", err)
		}
	}
	for _, entry := range s.entries {
		if err := entry.Start(); err != nil {
			return Error.New("starting a baseline: %w", err)
		}
	}
	return nil
}

func (s *baselineStage) stop(context.Context) error {
	for _, entry := range s.entries {
		entry.Stop()
	}
	for _, server := range s.backs {
		server.Kill()
	}
	return nil
}

func (s *baselineStage) callers() []string {
	var bases []string
	for _, entry := range s.entries {
		bases = append(bases, entry.URL())
	}
	return bases
}

func (s *baselineStage) servers() []*responder.Server { return s.backs }

// lose ends the server. The entry beside it goes on, since callers of a fixed
// placement have no other way in; that favours the baseline.
func (s *baselineStage) lose(i int) { s.backs[i].Kill() }

func (s *baselineStage) restore(ctx context.Context, i int) error { return s.backs[i].Start(ctx) }

// drain ends the server, since a fixed placement cannot move its keys.
func (s *baselineStage) drain(_ context.Context, i int) error {
	s.lose(i)
	return nil
}

func (s *baselineStage) undrain(ctx context.Context, i int) error { return s.restore(ctx, i) }

func (s *baselineStage) isAlone(context.Context, string, string) (bool, error) { return false, nil }
