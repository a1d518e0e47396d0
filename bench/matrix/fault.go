package matrix

import (
	"context"
	"time"

	"marigoldhill/kernel/disrupter"
)

const (
	// freezeTime outlasts a lease.
	freezeTime = 2500 * time.Millisecond
	// holdTime is how long a delayed frame is held back.
	holdTime = 400 * time.Millisecond
	// restartTime is how long a VM that restarts is away.
	restartTime = time.Second
	// secondLoss is how long after the first loss the second VM is lost: right
	// after the first was repaired.
	secondLoss = 2200 * time.Millisecond
	// arrival is long enough for a frame to reach its receiver.
	arrival = 2 * time.Millisecond
	// tornBytes is how much of an unsynced record a torn write leaves.
	tornBytes = 7
)

// Target is the frame at which a fault strikes.
type Target struct {
	From string
	To   string
}

// Fault is one fault, or a pair of them.
type Fault struct {
	Name string
	// Frame is what becomes of the frame at the step itself.
	Frame disrupter.Verdict
	// Strike hurts VMs or the network; nil for faults of the frame alone.
	Strike func(ctx context.Context, arena *Arena, target Target)
	// Disk says that the fault needs a VM with a disk at the side that it
	// strikes.
	Disk side
}

// side is an end of a frame.
type side int

const (
	noSide side = iota
	sender
	receiver
)

func (t Target) at(s side) string {
	if s == sender {
		return t.From
	}
	return t.To
}

var sides = []struct {
	side side
	name string
}{{sender, "sender"}, {receiver, "receiver"}}

// Faults lists all faults of the matrix.
func Faults() []Fault {
	faults := []Fault{
		{Name: "frame lost", Frame: disrupter.Verdict{Drop: true}},
		{Name: "frame doubled", Frame: disrupter.Verdict{Copies: 1}},
		{Name: "frame overtaken", Frame: disrupter.Verdict{Swap: true}},
		{Name: "frame delayed", Frame: disrupter.Verdict{Hold: holdTime}},
		{Name: "connections silent", Strike: func(_ context.Context, a *Arena, t Target) { a.World.Silence(t.From, t.To) }},
		{Name: "connections reset", Strike: func(_ context.Context, a *Arena, t Target) { a.World.Reset(t.From, t.To) }},
		{Name: "pair cut", Strike: func(_ context.Context, a *Arena, t Target) {
			a.History.AddLoss(t.To)
			a.World.CutBoth(t.From, t.To)
		}},
		{Name: "pair cut one way", Strike: func(_ context.Context, a *Arena, t Target) {
			a.History.AddLoss(t.To)
			a.World.Cut(t.From, t.To)
		}},
	}
	for _, s := range sides {
		faults = append(faults, faultsAt(s.side, s.name)...)
	}
	return append(faults, pairs()...)
}

// faultsAt lists the faults that strike one end of the frame.
func faultsAt(s side, name string) []Fault {
	return []Fault{
		{Name: name + " crashes", Strike: func(_ context.Context, a *Arena, t Target) {
			a.Kill(t.at(s), 0)
		}},
		{Name: name + " crashes after arrival", Strike: func(ctx context.Context, a *Arena, t Target) {
			pause(ctx, arrival)
			a.Kill(t.at(s), 0)
		}},
		{Name: name + " restarts", Strike: func(ctx context.Context, a *Arena, t Target) {
			a.Kill(t.at(s), 0)
			pause(ctx, restartTime)
			_ = a.Revive(ctx, t.at(s))
		}},
		{Name: name + " freezes and returns", Strike: func(ctx context.Context, a *Arena, t Target) {
			a.Freeze(t.at(s))
			pause(ctx, freezeTime)
			a.Thaw(t.at(s))
		}},
		{Name: name + " isolated", Strike: func(_ context.Context, a *Arena, t Target) {
			a.Isolate(t.at(s), true, true)
		}},
		{Name: name + " cut one way, out", Strike: func(_ context.Context, a *Arena, t Target) {
			a.Isolate(t.at(s), true, false)
		}},
		{Name: name + " cut one way, in", Strike: func(_ context.Context, a *Arena, t Target) {
			a.Isolate(t.at(s), false, true)
		}},
		{Name: name + " cut off from its kind", Strike: func(_ context.Context, a *Arena, t Target) {
			a.Part(t.at(s))
		}},
		{Name: name + " fails a sync", Disk: s, Strike: func(ctx context.Context, a *Arena, t Target) {
			a.History.AddLoss(t.at(s))
			a.disk(t.at(s)).FailSyncs(true)
			pause(ctx, restartTime)
			a.Kill(t.at(s), 0)
		}},
		{Name: name + " tears a write and restarts", Disk: s, Strike: func(ctx context.Context, a *Arena, t Target) {
			a.Kill(t.at(s), tornBytes)
			pause(ctx, restartTime)
			_ = a.Revive(ctx, t.at(s))
		}},
	}
}

// pairs lists the faults that strike twice.
func pairs() []Fault {
	return []Fault{
		{Name: "receiver and leader crash", Strike: func(ctx context.Context, a *Arena, t Target) {
			leader := a.Leader(ctx)
			a.Kill(t.To, 0)
			a.killLeader(t.To, leader)
		}},
		{Name: "sender and leader crash", Strike: func(ctx context.Context, a *Arena, t Target) {
			leader := a.Leader(ctx)
			a.Kill(t.From, 0)
			a.killLeader(t.From, leader)
		}},
		{Name: "sender and receiver crash", Strike: func(_ context.Context, a *Arena, t Target) {
			if IsControl(t.From) && IsControl(t.To) {
				a.Kill(t.From, 0)
				return
			}
			a.Kill(t.From, 0)
			a.Kill(t.To, 0)
		}},
		{Name: "receiver crashes, a second router after the repair", Strike: func(ctx context.Context, a *Arena, t Target) {
			a.Kill(t.To, 0)
			pause(ctx, secondLoss)
			a.killRouter(t)
		}},
		{Name: "receiver freezes, a second router crashes after the repair", Strike: func(ctx context.Context, a *Arena, t Target) {
			a.Freeze(t.To)
			pause(ctx, secondLoss)
			a.killRouter(t)
			pause(ctx, freezeTime-secondLoss)
			a.Thaw(t.To)
		}},
	}
}

// killLeader kills the leader unless the control group has lost a VM already:
// a group of three tolerates one loss.
func (a *Arena) killLeader(lost, leader string) {
	if leader != "" && !IsControl(lost) {
		a.Kill(leader, 0)
	}
}

// killRouter kills one more router, another than those at the step.
func (a *Arena) killRouter(t Target) {
	for _, node := range a.Cluster.Routers {
		name := node.Name()
		if name != t.From && name != t.To && !a.IsDead(name) {
			a.Kill(name, 0)
			return
		}
	}
}

// Heal undoes all faults: the network is whole, and VMs that were killed start
// again.
func (a *Arena) Heal(ctx context.Context) error {
	for _, node := range a.Nodes() {
		a.Thaw(node)
		a.Rejoin(node)
		if IsControl(node) {
			a.disk(node).FailSyncs(false)
		}
	}
	for _, node := range a.Nodes() {
		if err := a.Revive(ctx, node); err != nil {
			return Error.New("reviving %s: %w", node, err)
		}
	}
	return nil
}
