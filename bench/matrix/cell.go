package matrix

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

const (
	// callers is how many callers send requests in a cell.
	callers = 3
	// probeInterval is the time between two probes of one key.
	probeInterval = 150 * time.Millisecond
	// warmTime, strikeTime and healTime are how long the load runs before the
	// fault, with it, and after it was undone.
	warmTime   = 500 * time.Millisecond
	strikeTime = 5 * time.Second
	healTime   = 4 * time.Second
	// stopTime bounds the end of a cell.
	stopTime = 30 * time.Second
)

// keys are the keys that callers ask for.
var keys = []string{watchedKey, "door-1", "door-2", "door-3", "door-4", "door-5"}

// Cell is one fault at one step of one activity.
type Cell struct {
	Activity Activity
	Point    Point
	Fault    Fault
	// Seed decides the callers' choices.
	Seed uint64
}

// Name names the cell.
func (c Cell) Name() string {
	return fmt.Sprintf("%s/%s/%s", c.Activity.Name, c.Point.Name, c.Fault.Name)
}

// Verdict is what a cell showed.
type Verdict struct {
	// Reached says that the step came, so the fault struck.
	Reached    bool
	Target     Target
	Violations []Violation
	// Unavailable is the longest time that any key was not served.
	Unavailable time.Duration
	// Outcomes counts what callers got.
	Outcomes map[messenger.Outcome]int
	// Reasons counts the reasons of requests that were not done.
	Reasons map[messenger.Reason]int
}

// Run runs a cell, in a bubble of testing/synctest. Log gets the log lines of
// all processes; nil drops them.
func (c Cell) Run(log io.Writer) (verdict Verdict, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	arena, err := NewArena(log)
	if err != nil {
		return verdict, err
	}
	if err := arena.Cluster.Start(ctx); err != nil {
		return verdict, Error.New("starting the cluster: %w", err)
	}
	defer arena.stop()
	if c.Activity.Prepare != nil {
		if err := c.Activity.Prepare(ctx, arena); err != nil {
			return verdict, Error.New("preparing %s: %w", c.Activity.Name, err)
		}
		time.Sleep(2 * healTime)
	}
	trigger := &trigger{point: c.Point, fault: c.Fault}
	if err := c.strike(ctx, arena, trigger); err != nil {
		return verdict, err
	}
	return arena.judge(trigger), nil
}

// strike runs the load, the activity and the fault, and undoes the fault.
func (c Cell) strike(ctx context.Context, arena *Arena, trigger *trigger) error {
	load := arena.startLoad(ctx, c.Seed)
	defer load.stop()
	var faults sync.WaitGroup
	trigger.fire = func(target Target) {
		if c.Fault.Strike != nil {
			faults.Go(func() { c.Fault.Strike(ctx, arena, target) })
		}
	}
	arena.World.SetHook(trigger.hook)
	time.Sleep(warmTime)
	trigger.arm(arena.Leader(ctx))
	if c.Activity.Begin != nil {
		if err := c.Activity.Begin(ctx, arena); err != nil {
			return Error.New("beginning %s: %w", c.Activity.Name, err)
		}
	}
	time.Sleep(strikeTime)
	faults.Wait()
	if err := arena.Heal(ctx); err != nil {
		return err
	}
	time.Sleep(healTime)
	return nil
}

// stop ends the cluster.
func (a *Arena) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	// The history is judged already; an error here would be one of the bench.
	_ = a.Cluster.Stop(ctx)
}

// load is the callers, probers and the observer of a cell.
type load struct {
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

func (a *Arena) startLoad(ctx context.Context, seed uint64) *load {
	ctx, cancel := context.WithCancel(ctx)
	load := &load{cancel: cancel}
	load.tasks.Go(func() { a.Observe(ctx) })
	for i := range callers {
		caller := a.NewCaller(fmt.Sprintf("caller%d", i), seed+uint64(i), keys)
		load.tasks.Go(func() { caller.Run(ctx) })
	}
	for i, key := range keys {
		prober := a.NewCaller("prober-"+key, seed+uint64(callers+i), []string{key})
		load.tasks.Go(func() { prober.Probe(ctx) })
	}
	return load
}

// stop ends the load; each request gets its outcome first.
func (l *load) stop() {
	l.cancel()
	l.tasks.Wait()
}

// judge looks the history over.
func (a *Arena) judge(trigger *trigger) Verdict {
	verdict := Verdict{
		Violations:  Check(a.History),
		Unavailable: a.History.Unavailable(),
		Outcomes:    make(map[messenger.Outcome]int),
		Reasons:     make(map[messenger.Reason]int),
	}
	if target := trigger.target(); target != nil {
		verdict.Reached = true
		verdict.Target = *target
	}
	for _, receive := range a.History.Receives {
		verdict.Outcomes[receive.Outcome]++
		if receive.Outcome != messenger.OutcomeDone {
			verdict.Reasons[receive.Reason]++
		}
	}
	return verdict
}

// Unavailable returns the longest time between two answers for one key, less
// the interval of the probes.
func (h *History) Unavailable() time.Duration {
	keyOf := make(map[string]string)
	for _, send := range h.Sends {
		keyOf[send.Number] = send.Key
	}
	served := make(map[string][]time.Duration)
	for _, receive := range h.Receives {
		if receive.Outcome == messenger.OutcomeDone {
			key := keyOf[receive.Number]
			served[key] = append(served[key], receive.At)
		}
	}
	longest := time.Duration(0)
	for _, times := range served {
		slices.Sort(times)
		for i := 1; i < len(times); i++ {
			longest = max(longest, times[i]-times[i-1]-probeInterval)
		}
	}
	return longest
}
