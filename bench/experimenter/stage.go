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

// callerNode is the VM that all callers are on.
const callerNode = "bench"

// stage is what faults are caused on and load is sent to. Servers are counted
// from 0.
type stage interface {
	start(ctx context.Context) error
	stop(ctx context.Context) error
	// callers are the base URLs that requests are sent to.
	callers() []string
	servers() []*responder.Server
	// lose ends the VM of a server; restore brings it back.
	lose(i int)
	restore(ctx context.Context, i int) error
	// drain asks for no more work for a server, undrain ends that.
	drain(ctx context.Context, i int) error
	undrain(ctx context.Context, i int) error
	// isAlone reports whether a key has a shard of its own.
	isAlone(ctx context.Context, service, key string) (bool, error)
}

// newWorld makes the network of a deployment. The callers of all places are on
// one VM.
func newWorld(deployment Deployment) *disrupter.World {
	world := disrupter.New(deployment.Between)
	further := deployment.Callers - deployment.Between
	for _, node := range nodes(deployment.Plan) {
		world.SetDelay(callerNode, node, further)
		world.SetDelay(node, callerNode, further)
	}
	return world
}

// nodes lists the VMs that callers speak to.
func nodes(plan launcher.Plan) []string {
	var names []string
	for _, row := range plan.Servers {
		for range row.Count {
			names = append(names, fmt.Sprintf("r%d", len(names)+1))
		}
	}
	return names
}

// clusterStage is the project itself.
type clusterStage struct {
	cluster *launcher.Cluster
	folder  string
}

func newClusterStage(plan launcher.Plan, world *disrupter.World, adjust func(int, *responder.Settings)) (*clusterStage, error) {
	folder, err := os.MkdirTemp("", "marigold-experiment-")
	if err != nil {
		return nil, Error.New("making the data folder: %w", err)
	}
	settings := launcher.Defaults(plan, folder)
	settings.Host = func(node string) string { return node }
	settings.Network = func(node string) networker.Network { return world.Node(node) }
	settings.Adjust = adjust
	cluster, err := launcher.New(settings)
	if err != nil {
		return nil, Error.New("preparing the cluster: %w", err)
	}
	return &clusterStage{cluster: cluster, folder: folder}, nil
}

func (s *clusterStage) start(ctx context.Context) error { return s.cluster.Start(ctx) }

func (s *clusterStage) stop(ctx context.Context) error {
	defer func() { _ = os.RemoveAll(s.folder) }()
	return s.cluster.Stop(ctx)
}

func (s *clusterStage) callers() []string {
	var bases []string
	for _, node := range s.cluster.Routers {
		bases = append(bases, node.Process().CallerURL())
	}
	return bases
}

func (s *clusterStage) servers() []*responder.Server { return s.cluster.Servers }

func (s *clusterStage) lose(i int) {
	s.cluster.Servers[i].Kill()
	s.cluster.Routers[i].Kill()
}

func (s *clusterStage) restore(ctx context.Context, i int) error {
	if err := s.cluster.Routers[i].Start(ctx); err != nil {
		return Error.New("restoring: %w", err)
	}
	return s.cluster.Servers[i].Start(ctx)
}

func (s *clusterStage) drain(ctx context.Context, i int) error {
	return s.changeDrain(ctx, http.MethodPut, i)
}

func (s *clusterStage) undrain(ctx context.Context, i int) error {
	return s.changeDrain(ctx, http.MethodDelete, i)
}

func (s *clusterStage) changeDrain(ctx context.Context, method string, i int) error {
	path := "/v1/drains/" + s.cluster.Servers[i].Name()
	if _, err := s.cluster.Requester().Change(ctx, requester.Change{Method: method, Path: path}); err != nil {
		return Error.New("draining: %w", err)
	}
	return nil
}

func (s *clusterStage) isAlone(ctx context.Context, service, key string) (bool, error) {
	query := url.Values{"service": {service}, "key": {key}}
	got, err := requester.Get[messenger.Explanation](ctx, s.cluster.Requester(), "/v1/explain?"+query.Encode())
	if err != nil {
		return false, Error.New("explaining: %w", err)
	}
	return got.Value.Own, nil
}

// startTimeout bounds the start of a stage.
const startTimeout = 60 * time.Second
