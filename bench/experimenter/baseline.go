package experimenter

import (
	"context"
	"fmt"

	"marigoldhill/bench/baseliner"
	"marigoldhill/bench/launcher"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/disrupter"
)

// baselineSystem runs the same stand-in servers on the same VMs as clusterSystem,
// with a baseline proxy on each VM in place of the router.
type baselineSystem struct {
	proxies  []*baseliner.Proxy
	backends []*responder.Server
}

func newBaselineSystem(plan launcher.Plan, variant Variant, simulatedNetwork *disrupter.SimulatedNetwork, adjust func(int, *responder.Settings)) *baselineSystem {
	system := &baselineSystem{}
	baseURLs := make(map[string][]string)
	for _, row := range plan.Servers {
		for range row.Count {
			i := len(system.backends)
			node := fmt.Sprintf("r%d", i+1)
			settings := responder.DefaultSettings()
			settings.Name, settings.Service = fmt.Sprintf("d%d", i+1), row.Service
			settings.Listen = node + ":7204"
			adjust(i, &settings)
			system.backends = append(system.backends, responder.New(settings, simulatedNetwork.Node(node), responder.NewRunCounter()))
			baseURLs[row.Service] = append(baseURLs[row.Service], "http://"+settings.Listen)
		}
	}
	retries := 0
	if variant == VariantRoundRobin {
		retries = roundRobinRetries
	}
	for _, node := range nodes(plan) {
		settings := baseliner.Settings{Listen: node + ":7200", Servers: baseURLs, Retries: retries}
		system.proxies = append(system.proxies, baseliner.New(settings, simulatedNetwork.Node(node)))
	}
	return system
}

func (s *baselineSystem) start(ctx context.Context) error {
	for _, server := range s.backends {
		if err := server.Start(ctx); err != nil {
			return Error.New("starting a stand-in server: %w", err)
		}
	}
	for _, proxy := range s.proxies {
		if err := proxy.Start(); err != nil {
			return Error.New("starting a baseline: %w", err)
		}
	}
	return nil
}

func (s *baselineSystem) stop(context.Context) error {
	for _, proxy := range s.proxies {
		proxy.Stop()
	}
	for _, server := range s.backends {
		server.Kill()
	}
	return nil
}

func (s *baselineSystem) callers() []string {
	var baseURLs []string
	for _, proxy := range s.proxies {
		baseURLs = append(baseURLs, proxy.URL())
	}
	return baseURLs
}

func (s *baselineSystem) servers() []*responder.Server { return s.backends }

// fail stops only the server. The proxy on the same VM keeps running, because
// callers of a static placement cannot reach the other servers without it. This
// favors the baseline.
func (s *baselineSystem) fail(i int) { s.backends[i].Kill() }

func (s *baselineSystem) restore(ctx context.Context, i int) error { return s.backends[i].Start(ctx) }

// drain stops the server, because a static placement cannot move its keys.
func (s *baselineSystem) drain(_ context.Context, i int) error {
	s.fail(i)
	return nil
}

func (s *baselineSystem) undrain(ctx context.Context, i int) error { return s.restore(ctx, i) }

func (s *baselineSystem) isPromoted(context.Context, string, string) (bool, error) { return false, nil }
