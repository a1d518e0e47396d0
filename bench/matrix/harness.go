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
	// Service is the name of the only service.
	Service = "findings"
	// NetworkLatency is the one-way latency between two VMs.
	NetworkLatency = 500 * time.Microsecond
	shardCount     = 16
	// routerCount is the number of routers, each with a backend server.
	routerCount = 5
	// domainCount is the number of failure domains.
	domainCount = 3
	// processingTime is how long a backend server takes for a request.
	processingTime = 20 * time.Millisecond
	// observeInterval is the time between two observations of a router.
	observeInterval = 250 * time.Millisecond
)

// Harness runs a cluster, records its history, and injects faults into its VMs and
// network.
type Harness struct {
	SimulatedNetwork *disrupter.SimulatedNetwork
	Cluster          *launcher.Cluster
	History          *History

	disks map[string]*Disk
	// nodeLocks let one goroutine at a time start or stop a VM. They are channels
	// and not mutexes because starting takes time, and the clock of a synctest
	// bubble stands still while a goroutine waits for a mutex.
	nodeLocks map[string]chan struct{}

	mu           sync.Mutex
	restarts     map[string]int
	dead         map[string]bool
	runCallbacks []func(Run)
}

// NewHarness builds a cluster without starting it. The log lines of all processes
// are written to log, unless it is nil.
func NewHarness(log io.Writer) (*Harness, error) {
	harness := &Harness{
		SimulatedNetwork: disrupter.New(NetworkLatency),
		History:          NewHistory(),
		disks:            make(map[string]*Disk),
		nodeLocks:        make(map[string]chan struct{}),
		restarts:         make(map[string]int),
		dead:             make(map[string]bool),
	}
	settings := launcher.DefaultSettings(clusterPlan(), "/data")
	settings.Host = func(node string) string { return node }
	settings.Network = func(node string) networker.Network { return harness.SimulatedNetwork.Node(node) }
	settings.Disk = func(node string) journaler.Disk { return harness.disk(node).View() }
	settings.Server.Work = processingTime
	settings.Server.OnRun = harness.recordRun
	if log != nil {
		shared := &lockedWriter{out: log}
		settings.Log = func(role, name string) *logger.Log {
			return logger.New(shared, logger.FormatText, role, name)
		}
	}
	cluster, err := launcher.New(settings)
	if err != nil {
		return nil, Error.New("building the cluster: %w", err)
	}
	harness.Cluster = cluster
	for _, node := range harness.Nodes() {
		harness.nodeLocks[node] = make(chan struct{}, 1)
	}
	return harness, nil
}

// lockedWriter serializes the writes of several loggers.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements [io.Writer].
func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(data)
}

// clusterPlan describes a service with idempotent lookups and non-idempotent
// certificates.
func clusterPlan() launcher.Plan {
	profile := func(name string, idempotent bool) messenger.Profile {
		return messenger.Profile{
			Name: name, Class: messenger.ClassInteractive, Idempotent: idempotent,
			Deadline: 2 * time.Second, Retries: 3, Queue: 100, Share: 1, Weight: 1,
		}
	}
	return launcher.Plan{
		Name:     "arena",
		Domains:  domainCount,
		Servers:  []launcher.ServerCount{{Service: Service, Count: routerCount}},
		Profiles: []messenger.Profile{profile("lookup", true), profile("certificate", false)},
		Services: []messenger.Service{{
			Name: Service, Shards: shardCount,
			Routes: []messenger.Route{
				{Prefix: "", Method: http.MethodGet, Profile: "lookup"},
				{Prefix: "", Profile: "certificate"},
			},
			Unavailable: 50, Imbalance: 20, Churn: 30,
			Recorders: 2, Scarce: "refuse", Retention: 10 * time.Minute,
		}},
	}
}

// disk returns the disk of a VM. It creates the disk on the first call.
func (h *Harness) disk(node string) *Disk {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.disks[node] == nil {
		h.disks[node] = NewDisk()
	}
	return h.disks[node]
}

// OnRun registers a function that is called at the start of each run.
func (h *Harness) OnRun(callback func(Run)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runCallbacks = append(h.runCallbacks, callback)
}

// recordRun records the start of a run and returns a function that records its end.
func (h *Harness) recordRun(request *http.Request) func() {
	segment, _, _ := strings.Cut(strings.TrimPrefix(request.URL.EscapedPath(), "/"), "/")
	key, err := url.PathUnescape(segment)
	if err != nil {
		key = segment
	}
	fence, _ := strconv.ParseUint(request.Header.Get(messenger.HeaderFence), 10, 64)
	run := Run{
		// The host is named after the router, "r1"; its server is "d1".
		Server:   strings.Replace(hostOf(request.Host), "r", "d", 1),
		Key:      key,
		Identity: request.Header.Get(messenger.HeaderIdempotencyKey),
		Number:   request.Header.Get(responder.HeaderSend),
		Fence:    fence,
		Start:    h.History.Now(),
	}
	end := h.History.StartRun(run)
	h.mu.Lock()
	runCallbacks := h.runCallbacks
	h.mu.Unlock()
	for _, callback := range runCallbacks {
		callback(run)
	}
	return end
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// Nodes returns the names of all VMs of the cluster.
func (h *Harness) Nodes() []string {
	var names []string
	for _, node := range h.Cluster.Controls {
		names = append(names, node.Name())
	}
	for _, node := range h.Cluster.Routers {
		names = append(names, node.Name())
	}
	return names
}

// nodeIndex returns the index of a VM among those of its kind: 1 for "c2".
func nodeIndex(node string) int {
	number, _ := strconv.Atoi(node[1:])
	return number - 1
}

// IsControl reports whether a VM runs a replica of the control group.
func IsControl(node string) bool {
	return strings.HasPrefix(node, "c")
}

// lockNode waits until no other goroutine starts or stops a VM, and returns the
// function that unlocks it.
func (h *Harness) lockNode(node string) (unlock func()) {
	lock := h.nodeLocks[node]
	lock <- struct{}{}
	return func() { <-lock }
}

// Kill crashes a VM: its processes and connections end and its disk loses unsynced
// data, except for the first keepUnsynced bytes of each file.
func (h *Harness) Kill(node string, keepUnsynced int) {
	defer h.lockNode(node)()
	h.mu.Lock()
	if h.dead[node] {
		h.mu.Unlock()
		return
	}
	h.dead[node] = true
	h.mu.Unlock()
	h.History.AddLoss(node)
	h.SimulatedNetwork.Crash(node)
	if IsControl(node) {
		h.disk(node).Crash(keepUnsynced)
		h.Cluster.Controls[nodeIndex(node)].Kill()
		return
	}
	h.Cluster.Servers[nodeIndex(node)].Kill()
	h.Cluster.Routers[nodeIndex(node)].Kill()
}

// Restart restarts the processes of a VM if it was killed.
func (h *Harness) Restart(ctx context.Context, node string) error {
	defer h.lockNode(node)()
	h.mu.Lock()
	if !h.dead[node] {
		h.mu.Unlock()
		return nil
	}
	delete(h.dead, node)
	h.restarts[node]++
	h.mu.Unlock()
	if IsControl(node) {
		return h.Cluster.Controls[nodeIndex(node)].Start(ctx)
	}
	if err := h.Cluster.Routers[nodeIndex(node)].Start(ctx); err != nil {
		return err
	}
	return h.Cluster.Servers[nodeIndex(node)].Start(ctx)
}

// Shutdown stops the router of a VM gracefully and then kills the VM with its backend
// server.
func (h *Harness) Shutdown(ctx context.Context, node string) {
	// An error means that a fault prevented a graceful shutdown. The history shows
	// the effects.
	_ = h.Cluster.Routers[nodeIndex(node)].Stop(ctx)
	h.Kill(node, 0)
}

// Freeze suspends a VM: it sends, receives and runs nothing until Thaw.
func (h *Harness) Freeze(node string) {
	h.History.AddLoss(node)
	h.SimulatedNetwork.Freeze(node)
	if !IsControl(node) {
		server := h.Cluster.Servers[nodeIndex(node)]
		server.Freeze()
		h.History.FreezeRuns(server.Name())
	}
}

// Thaw resumes a frozen VM.
func (h *Harness) Thaw(node string) {
	h.SimulatedNetwork.Thaw(node)
	if !IsControl(node) {
		h.Cluster.Servers[nodeIndex(node)].Thaw()
	}
}

// Isolate partitions a VM from the others, for the data that it sends, that it
// receives, or both. Callers and operators still reach it.
func (h *Harness) Isolate(node string, out, in bool) {
	h.History.AddLoss(node)
	for _, other := range h.Nodes() {
		if other == node {
			continue
		}
		if out {
			h.SimulatedNetwork.Partition(node, other)
		}
		if in {
			h.SimulatedNetwork.Partition(other, node)
		}
	}
}

// PartitionFromPeers partitions a VM only from the others of its kind: a control replica
// from the other replicas, or a router from the other routers.
func (h *Harness) PartitionFromPeers(node string) {
	h.History.AddLoss(node)
	for _, other := range h.Nodes() {
		if other != node && IsControl(other) == IsControl(node) {
			h.SimulatedNetwork.PartitionBoth(node, other)
		}
	}
}

// EndIsolation ends all partitions of a VM.
func (h *Harness) EndIsolation(node string) {
	for _, other := range h.Nodes() {
		h.SimulatedNetwork.HealBoth(node, other)
	}
}

// IsDead reports whether a VM was killed and not restarted since.
func (h *Harness) IsDead(node string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead[node]
}

func (h *Harness) restartCount(node string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restarts[node]
}

// Leader returns the name of the leader of the control group, or "" if there is none
// or the status cannot be read.
func (h *Harness) Leader(ctx context.Context) string {
	status, err := h.Cluster.Status(ctx)
	if err != nil {
		return ""
	}
	return status.Leader
}

// Owner returns the VM of the router that owns a key.
func (h *Harness) Owner(ctx context.Context, key string) (string, error) {
	explanation, err := h.explain(ctx, key)
	if err != nil {
		return "", err
	}
	return explanation.Router, nil
}

func (h *Harness) explain(ctx context.Context, key string) (messenger.Explanation, error) {
	var explanation messenger.Explanation
	path := fmt.Sprintf("/v1/explain?service=%s&key=%s", Service, url.QueryEscape(key))
	err := h.getFromControl(ctx, path, &explanation)
	return explanation, err
}
