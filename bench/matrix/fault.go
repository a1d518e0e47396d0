package matrix

import (
	"context"
	"time"

	"marigoldhill/kernel/disrupter"
)

const (
	// freezeTime is longer than a lease.
	freezeTime = 2500 * time.Millisecond
	// delayTime is how long a delayed frame is held back.
	delayTime = 400 * time.Millisecond
	// downTime is how long a VM that restarts is down.
	downTime = time.Second
	// secondLossDelay is the time between the losses of two VMs: just enough for
	// the cluster to have recovered from the first.
	secondLossDelay = 2200 * time.Millisecond
	// arrivalTime is long enough for a frame to reach its receiver.
	arrivalTime = 2 * time.Millisecond
	// tornBytes is how many bytes of an unsynced record a torn write leaves.
	tornBytes = 7
)

// Target identifies the frame at which a fault is injected by the VMs that send and
// receive it.
type Target struct {
	From string
	To   string
}

// Fault is one fault, or a combination of two.
type Fault struct {
	Name string
	// Action is applied to the frame at the injection point.
	Action disrupter.FrameAction
	// Inject injects the fault into VMs or the network. It is nil for faults of
	// the frame alone.
	Inject func(ctx context.Context, harness *Harness, target Target)
	// DiskAt is the end of the frame at which the fault needs a VM with a disk.
	DiskAt endpoint
}

// endpoint is an end of a frame.
type endpoint int

const (
	noEndpoint endpoint = iota
	sender
	receiver
)

func (t Target) node(e endpoint) string {
	if e == sender {
		return t.From
	}
	return t.To
}

var endpoints = []struct {
	endpoint endpoint
	name     string
}{{sender, "sender"}, {receiver, "receiver"}}

// Faults lists all faults of the matrix.
func Faults() []Fault {
	faults := []Fault{
		{Name: "frame lost", Action: disrupter.FrameAction{Drop: true}},
		{Name: "frame doubled", Action: disrupter.FrameAction{Duplicates: 1}},
		{Name: "frame overtaken", Action: disrupter.FrameAction{Reorder: true}},
		{Name: "frame delayed", Action: disrupter.FrameAction{Delay: delayTime}},
		{Name: "connections silent", Inject: func(_ context.Context, h *Harness, t Target) { h.SimulatedNetwork.Blackhole(t.From, t.To) }},
		{Name: "connections reset", Inject: func(_ context.Context, h *Harness, t Target) { h.SimulatedNetwork.Reset(t.From, t.To) }},
		{Name: "pair cut", Inject: func(_ context.Context, h *Harness, t Target) {
			h.History.AddLoss(t.To)
			h.SimulatedNetwork.PartitionBoth(t.From, t.To)
		}},
		{Name: "pair cut one way", Inject: func(_ context.Context, h *Harness, t Target) {
			h.History.AddLoss(t.To)
			h.SimulatedNetwork.Partition(t.From, t.To)
		}},
	}
	for _, e := range endpoints {
		faults = append(faults, faultsAt(e.endpoint, e.name)...)
	}
	return append(faults, doubleFaults()...)
}

// faultsAt lists the faults of the VM at one end of the frame.
func faultsAt(e endpoint, name string) []Fault {
	return []Fault{
		{Name: name + " crashes", Inject: func(_ context.Context, h *Harness, t Target) {
			h.Kill(t.node(e), 0)
		}},
		{Name: name + " crashes after arrival", Inject: func(ctx context.Context, h *Harness, t Target) {
			sleep(ctx, arrivalTime)
			h.Kill(t.node(e), 0)
		}},
		{Name: name + " restarts", Inject: func(ctx context.Context, h *Harness, t Target) {
			h.Kill(t.node(e), 0)
			sleep(ctx, downTime)
			_ = h.Restart(ctx, t.node(e))
		}},
		{Name: name + " freezes and returns", Inject: func(ctx context.Context, h *Harness, t Target) {
			h.Freeze(t.node(e))
			sleep(ctx, freezeTime)
			h.Thaw(t.node(e))
		}},
		{Name: name + " isolated", Inject: func(_ context.Context, h *Harness, t Target) {
			h.Isolate(t.node(e), true, true)
		}},
		{Name: name + " cut one way, out", Inject: func(_ context.Context, h *Harness, t Target) {
			h.Isolate(t.node(e), true, false)
		}},
		{Name: name + " cut one way, in", Inject: func(_ context.Context, h *Harness, t Target) {
			h.Isolate(t.node(e), false, true)
		}},
		{Name: name + " cut off from its kind", Inject: func(_ context.Context, h *Harness, t Target) {
			h.PartitionFromPeers(t.node(e))
		}},
		{Name: name + " fails a sync", DiskAt: e, Inject: func(ctx context.Context, h *Harness, t Target) {
			h.History.AddLoss(t.node(e))
			h.disk(t.node(e)).FailSyncs(true)
			sleep(ctx, downTime)
			h.Kill(t.node(e), 0)
		}},
		{Name: name + " tears a write and restarts", DiskAt: e, Inject: func(ctx context.Context, h *Harness, t Target) {
			h.Kill(t.node(e), tornBytes)
			sleep(ctx, downTime)
			_ = h.Restart(ctx, t.node(e))
		}},
	}
}

// doubleFaults lists the faults of two VMs.
func doubleFaults() []Fault {
	return []Fault{
		{Name: "receiver and leader crash", Inject: func(ctx context.Context, h *Harness, t Target) {
			leader := h.Leader(ctx)
			h.Kill(t.To, 0)
			h.killLeader(t.To, leader)
		}},
		{Name: "sender and leader crash", Inject: func(ctx context.Context, h *Harness, t Target) {
			leader := h.Leader(ctx)
			h.Kill(t.From, 0)
			h.killLeader(t.From, leader)
		}},
		{Name: "sender and receiver crash", Inject: func(_ context.Context, h *Harness, t Target) {
			if IsControl(t.From) && IsControl(t.To) {
				h.Kill(t.From, 0)
				return
			}
			h.Kill(t.From, 0)
			h.Kill(t.To, 0)
		}},
		{Name: "receiver crashes, a second router after the repair", Inject: func(ctx context.Context, h *Harness, t Target) {
			h.Kill(t.To, 0)
			sleep(ctx, secondLossDelay)
			h.killRouter(t)
		}},
		{Name: "receiver freezes, a second router crashes after the repair", Inject: func(ctx context.Context, h *Harness, t Target) {
			h.Freeze(t.To)
			sleep(ctx, secondLossDelay)
			h.killRouter(t)
			sleep(ctx, freezeTime-secondLossDelay)
			h.Thaw(t.To)
		}},
	}
}

// killLeader kills the leader unless the lost VM was one of the control group: a
// group of three tolerates the loss of one.
func (h *Harness) killLeader(lost, leader string) {
	if leader != "" && !IsControl(lost) {
		h.Kill(leader, 0)
	}
}

// killRouter kills a router other than those at the ends of the frame.
func (h *Harness) killRouter(t Target) {
	for _, node := range h.Cluster.Routers {
		name := node.Name()
		if name != t.From && name != t.To && !h.IsDead(name) {
			h.Kill(name, 0)
			return
		}
	}
}

// Heal undoes all faults: it reconnects the network and restarts the VMs that were
// killed.
func (h *Harness) Heal(ctx context.Context) error {
	for _, node := range h.Nodes() {
		h.Thaw(node)
		h.EndIsolation(node)
		if IsControl(node) {
			h.disk(node).FailSyncs(false)
		}
	}
	for _, node := range h.Nodes() {
		if err := h.Restart(ctx, node); err != nil {
			return Error.New("restarting %s: %w", node, err)
		}
	}
	return nil
}
