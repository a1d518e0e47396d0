package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"marigoldhill/bench/launcher"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/operator/requester"
)

// callerNode is the VM on which all callers run.
const callerNode = "bench"

// system is the system under test, to which load is sent and faults are injected.
// Servers are indexed from 0.
type system interface {
	start(ctx context.Context) error
	stop(ctx context.Context) error
	// callers returns the base URLs that callers send requests to.
	callers() []string
	servers() []*responder.Server
	// fail stops the VM of a server. restore starts it again.
	fail(i int)
	restore(ctx context.Context, i int) error
	// drain moves work away from a server. undrain ends the drain.
	drain(ctx context.Context, i int) error
	undrain(ctx context.Context, i int) error
	// isPromoted reports whether a key has a shard of its own.
	isPromoted(ctx context.Context, service, key string) (bool, error)
}

// newDeploymentNetwork creates the simulated network of a deployment. All callers are
// on one VM.
func newDeploymentNetwork(deployment Deployment) *disrupter.SimulatedNetwork {
	simulatedNetwork := disrupter.New(deployment.VMDelay)
	extraDelay := deployment.CallerDelay - deployment.VMDelay
	for _, node := range nodes(deployment.Plan) {
		simulatedNetwork.SetDelay(callerNode, node, extraDelay)
		simulatedNetwork.SetDelay(node, callerNode, extraDelay)
	}
	return simulatedNetwork
}

// nodes returns the names of the VMs that callers send requests to.
func nodes(plan launcher.Plan) []string {
	var names []string
	for _, row := range plan.Servers {
		for range row.Count {
			names = append(names, fmt.Sprintf("r%d", len(names)+1))
		}
	}
	return names
}

// clusterSystem is a cluster of control replicas, routers and stand-in servers.
type clusterSystem struct {
	cluster   *launcher.Cluster
	directory string
}

func newClusterSystem(plan launcher.Plan, simulatedNetwork *disrupter.SimulatedNetwork, adjust func(int, *responder.Settings)) (*clusterSystem, error) {
	directory, err := os.MkdirTemp("", "marigold-experiment-")
	if err != nil {
		return nil, Error.New("creating data directory: %w", err)
	}
	settings := launcher.DefaultSettings(plan, directory)
	settings.Host = func(node string) string { return node }
	settings.Network = func(node string) networker.Network { return simulatedNetwork.Node(node) }
	settings.AdjustServer = adjust
	cluster, err := launcher.New(settings)
	if err != nil {
		return nil, Error.New("creating cluster: %w", err)
	}
	return &clusterSystem{cluster: cluster, directory: directory}, nil
}

func (s *clusterSystem) start(ctx context.Context) error { return s.cluster.Start(ctx) }

func (s *clusterSystem) stop(ctx context.Context) error {
	defer func() { _ = os.RemoveAll(s.directory) }()
	return s.cluster.Stop(ctx)
}

func (s *clusterSystem) callers() []string {
	var baseURLs []string
	for _, node := range s.cluster.Routers {
		baseURLs = append(baseURLs, node.Process().CallerURL())
	}
	return baseURLs
}

func (s *clusterSystem) servers() []*responder.Server { return s.cluster.Servers }

func (s *clusterSystem) fail(i int) {
	s.cluster.Servers[i].Kill()
	s.cluster.Routers[i].Kill()
}

func (s *clusterSystem) restore(ctx context.Context, i int) error {
	if err := s.cluster.Routers[i].Start(ctx); err != nil {
		return Error.New("restoring VM: %w", err)
	}
	return s.cluster.Servers[i].Start(ctx)
}

func (s *clusterSystem) drain(ctx context.Context, i int) error {
	return s.changeDrain(ctx, http.MethodPut, i)
}

func (s *clusterSystem) undrain(ctx context.Context, i int) error {
	return s.changeDrain(ctx, http.MethodDelete, i)
}

func (s *clusterSystem) changeDrain(ctx context.Context, method string, i int) error {
	path := "/v1/drains/" + s.cluster.Servers[i].Name()
	if _, err := s.cluster.Requester().Change(ctx, requester.Change{Method: method, Path: path}); err != nil {
		return Error.New("changing drain: %w", err)
	}
	return nil
}

func (s *clusterSystem) isPromoted(ctx context.Context, service, key string) (bool, error) {
	query := url.Values{"service": {service}, "key": {key}}
	got, err := requester.Get[messenger.Explanation](ctx, s.cluster.Requester(), "/v1/explain?"+query.Encode())
	if err != nil {
		return false, Error.New("explaining the key: %w", err)
	}
	return got.Value.Own, nil
}

// startTimeout limits the time to start a system.
const startTimeout = 60 * time.Second
