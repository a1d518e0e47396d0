package matrix

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldhill/bench/launcher"
	"marigoldhill/bench/responder"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

const (
	// Service is the service that the arena's backend servers serve.
	Service = "findings"
	// Latency is the time that a message takes between two VMs.
	Latency = 500 * time.Microsecond
	// shards is the number of shards of the service.
	shards = 16
	// routers is the number of routers, each with a backend server.
	routers = 5
	// domains is the number of failure domains.
	domains = 3
	// work is the time that a request takes at a backend server.
	work = 20 * time.Millisecond
	// sightInterval is the time between two looks at the routers.
	sightInterval = 250 * time.Millisecond
)

// Arena is a cluster with callers, whose VMs and network can be hurt.
type Arena struct {
	World   *disrupter.World
	Cluster *launcher.Cluster
	History *History

	disks map[string]*Disk
	// turns let one goroutine at a time start or end a VM. They are channels,
	// since starting takes time.
	turns map[string]chan struct{}

	mu        sync.Mutex
	instances map[string]int
	dead      map[string]bool
	watchers  []func(Run)
}

// NewArena puts a cluster together. Log gets the log lines of all processes.
func NewArena(log io.Writer) (*Arena, error) {
	arena := &Arena{
		World:     disrupter.New(Latency),
		History:   NewHistory(),
		disks:     make(map[string]*Disk),
		turns:     make(map[string]chan struct{}),
		instances: make(map[string]int),
		dead:      make(map[string]bool),
	}
	settings := launcher.Defaults(plan(), "/data")
	settings.Host = func(node string) string { return node }
	settings.Network = func(node string) networker.Network { return arena.World.Node(node) }
	settings.Disk = func(node string) journaler.Disk { return arena.disk(node).View() }
	settings.Server.Work = work
	settings.Server.Watch = arena.watchRun
	if log != nil {
		shared := &lockedWriter{out: log}
		settings.Log = func(role, name string) *logger.Log {
			return logger.New(shared, logger.FormatText, role, name)
		}
	}
	cluster, err := launcher.New(settings)
	if err != nil {
		return nil, Error.New("putting the cluster together: %w", err)
	}
	arena.Cluster = cluster
	for _, node := range arena.Nodes() {
		arena.turns[node] = make(chan struct{}, 1)
	}
	return arena, nil
}

// lockedWriter lets the logs of many processes write to one place.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(data)
}

// plan is a service with lookups that are idempotent and certificates that are
// not.
func plan() launcher.Plan {
	profile := func(name string, idempotent bool) messenger.Profile {
		return messenger.Profile{
			Name: name, Class: messenger.ClassInteractive, Idempotent: idempotent,
			Deadline: 2 * time.Second, Retries: 3, Queue: 100, Share: 1, Weight: 1,
		}
	}
	return launcher.Plan{
		Name:     "arena",
		Domains:  domains,
		Servers:  []launcher.ServerCount{{Service: Service, Count: routers}},
		Profiles: []messenger.Profile{profile("lookup", true), profile("certificate", false)},
		Services: []messenger.Service{{
			Name: Service, Shards: shards,
			Routes: []messenger.Route{
				{Prefix: "", Method: http.MethodGet, Profile: "lookup"},
				{Prefix: "", Profile: "certificate"},
			},
			Unavailable: 50, Imbalance: 20, Churn: 30,
			Recorders: 2, Scarce: "refuse", Retention: 10 * time.Minute,
		}},
	}
}

// disk returns the disk of a VM.
func (a *Arena) disk(node string) *Disk {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disks[node] == nil {
		a.disks[node] = NewDisk()
	}
	return a.disks[node]
}

// OnRun makes watch be called at the start of each run.
func (a *Arena) OnRun(watch func(Run)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers = append(a.watchers, watch)
}

// watchRun records a run of a backend server.
func (a *Arena) watchRun(request *http.Request) func() {
	segment, _, _ := strings.Cut(strings.TrimPrefix(request.URL.EscapedPath(), "/"), "/")
	key, err := url.PathUnescape(segment)
	if err != nil {
		key = segment
	}
	fence, _ := strconv.ParseUint(request.Header.Get(messenger.HeaderFence), 10, 64)
	run := Run{
		// The server's VM has the name of its router.
		Server:   strings.Replace(hostOf(request.Host), "r", "d", 1),
		Key:      key,
		Identity: request.Header.Get(messenger.HeaderIdempotency),
		Number:   request.Header.Get(responder.HeaderSend),
		Fence:    fence,
		Start:    a.History.Now(),
	}
	end := a.History.StartRun(run)
	a.mu.Lock()
	watchers := a.watchers
	a.mu.Unlock()
	for _, watch := range watchers {
		watch(run)
	}
	return end
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// Nodes returns the names of all VMs of the cluster.
func (a *Arena) Nodes() []string {
	var names []string
	for _, node := range a.Cluster.Controls {
		names = append(names, node.Name())
	}
	for _, node := range a.Cluster.Routers {
		names = append(names, node.Name())
	}
	return names
}

// index returns the place of a VM among its kind: "c2" is 1.
func index(node string) int {
	place, _ := strconv.Atoi(node[1:])
	return place - 1
}

// IsControl reports whether a VM runs a replica of the control group.
func IsControl(node string) bool {
	return strings.HasPrefix(node, "c")
}

// takeTurn waits until nobody else starts or ends a VM, and returns what lets
// the next one in.
func (a *Arena) takeTurn(node string) (leave func()) {
	turn := a.turns[node]
	turn <- struct{}{}
	return func() { <-turn }
}

// Kill ends a VM without a word: its processes, its connections, and what its
// disk had not synced but for the first torn bytes.
func (a *Arena) Kill(node string, torn int) {
	defer a.takeTurn(node)()
	a.mu.Lock()
	if a.dead[node] {
		a.mu.Unlock()
		return
	}
	a.dead[node] = true
	a.mu.Unlock()
	a.History.AddLoss(node)
	a.World.Crash(node)
	if IsControl(node) {
		a.disk(node).Crash(torn)
		a.Cluster.Controls[index(node)].Kill()
		return
	}
	a.Cluster.Servers[index(node)].Kill()
	a.Cluster.Routers[index(node)].Kill()
}

// Revive starts the processes of a killed VM again.
func (a *Arena) Revive(ctx context.Context, node string) error {
	defer a.takeTurn(node)()
	a.mu.Lock()
	if !a.dead[node] {
		a.mu.Unlock()
		return nil
	}
	delete(a.dead, node)
	a.instances[node]++
	a.mu.Unlock()
	if IsControl(node) {
		return a.Cluster.Controls[index(node)].Start(ctx)
	}
	if err := a.Cluster.Routers[index(node)].Start(ctx); err != nil {
		return err
	}
	return a.Cluster.Servers[index(node)].Start(ctx)
}

// Shutdown stops the router and the backend server of a VM in order.
func (a *Arena) Shutdown(ctx context.Context, node string) {
	// An error means that a fault kept the router from an orderly end, which
	// the history shows.
	_ = a.Cluster.Routers[index(node)].Stop(ctx)
	a.Kill(node, 0)
}

// Freeze stops a VM: it sends, receives and runs nothing until Thaw.
func (a *Arena) Freeze(node string) {
	a.History.AddLoss(node)
	a.World.Freeze(node)
	if !IsControl(node) {
		server := a.Cluster.Servers[index(node)]
		server.Freeze()
		a.History.FreezeRuns(server.Name())
	}
}

// Thaw ends a freeze.
func (a *Arena) Thaw(node string) {
	a.World.Thaw(node)
	if !IsControl(node) {
		a.Cluster.Servers[index(node)].Thaw()
	}
}

// Isolate cuts a VM off from the others, for what it sends, what it receives or
// both. Callers and operators still reach it.
func (a *Arena) Isolate(node string, out, in bool) {
	a.History.AddLoss(node)
	for _, other := range a.Nodes() {
		if other == node {
			continue
		}
		if out {
			a.World.Cut(node, other)
		}
		if in {
			a.World.Cut(other, node)
		}
	}
}

// Part cuts a VM off from the others of its kind: a control replica from the
// other replicas, while routers still reach it, or a router from other routers.
func (a *Arena) Part(node string) {
	a.History.AddLoss(node)
	for _, other := range a.Nodes() {
		if other != node && IsControl(other) == IsControl(node) {
			a.World.CutBoth(node, other)
		}
	}
}

// Rejoin ends the isolation of a VM.
func (a *Arena) Rejoin(node string) {
	for _, other := range a.Nodes() {
		a.World.HealBoth(node, other)
	}
}

// IsDead reports whether a VM was killed and not revived.
func (a *Arena) IsDead(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dead[node]
}

func (a *Arena) instance(node string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.instances[node]
}

// Leader returns the name of the leader of the control group, empty when none
// is known.
func (a *Arena) Leader(ctx context.Context) string {
	status, err := a.Cluster.Status(ctx)
	if err != nil {
		return ""
	}
	return status.Leader
}

// Owner returns the VM of the router that owns a key.
func (a *Arena) Owner(ctx context.Context, key string) (string, error) {
	status, err := a.explain(ctx, key)
	if err != nil {
		return "", err
	}
	return status.Router, nil
}

func (a *Arena) explain(ctx context.Context, key string) (messenger.Explanation, error) {
	var found messenger.Explanation
	path := fmt.Sprintf("/v1/explain?service=%s&key=%s", Service, url.QueryEscape(key))
	err := a.get(ctx, path, &found)
	return found, err
}
