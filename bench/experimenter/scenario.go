package experimenter

import (
	"context"
	"time"

	"marigoldhill/bench/loader"
	"marigoldhill/bench/responder"
)

// Scenario is one fault, or none, in the middle of a run.
type Scenario struct {
	Name string
	// Adjust changes the settings of a stand-in server, nil changes none.
	Adjust func(i int, server *responder.Settings)
	// Prepare is called before any load.
	Prepare func(ctx context.Context, stage stage) error
	// Fault and Relief are called at a quarter and at two thirds of the run
	// with background work.
	Fault  func(ctx context.Context, stage stage) error
	Relief func(ctx context.Context, stage stage) error
	// Hot says that one key takes a part of the first service's work, and then
	// another one.
	Hot bool
}

// victim is the server, counted from 0, that faults happen to.
const victim = 1

const (
	// slowFactor is how much longer work takes at a server that misleads.
	slowFactor = 3
	// shedSlots is how many of its slots a shedding server really has.
	shedSlots = 2
	// shedQueue is how many requests wait there before it sheds.
	shedQueue = 1
	// joinPause is how long the cluster has to take over from a server that is
	// not there at first.
	joinPause = 3 * time.Second
	// hotPart is the part of the arrivals that a hot key takes.
	hotPart = 0.3
)

// The keys that are hot one after the other.
const (
	firstHot  = "development-one"
	secondHot = "development-two"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "loss", Fault: lose, Relief: restore},
		{Name: "freeze", Fault: freeze, Relief: thaw},
		{Name: "join", Prepare: absent, Fault: restore},
		{Name: "drain", Fault: drain, Relief: undrain},
		{Name: "mislead", Adjust: mislead},
		{Name: "shed", Adjust: shed},
		{Name: "hot", Hot: true},
	}
}

func lose(_ context.Context, stage stage) error {
	stage.lose(victim)
	return nil
}

func restore(ctx context.Context, stage stage) error { return stage.restore(ctx, victim) }

func freeze(_ context.Context, stage stage) error {
	stage.servers()[victim].Freeze()
	return nil
}

func thaw(_ context.Context, stage stage) error {
	stage.servers()[victim].Thaw()
	return nil
}

// absent takes a server away before the run, so that it can join later.
func absent(ctx context.Context, stage stage) error {
	stage.lose(victim)
	return pause(ctx, joinPause)
}

func drain(ctx context.Context, stage stage) error   { return stage.drain(ctx, victim) }
func undrain(ctx context.Context, stage stage) error { return stage.undrain(ctx, victim) }

// mislead makes a server slow while it reports no load and good health.
func mislead(i int, server *responder.Settings) {
	if i == victim {
		server.Load, server.Health, server.Slow = responder.ReportIdle, responder.ReportIdle, slowFactor
	}
}

// shed makes a server shed what goes beyond a third of its slots.
func shed(i int, server *responder.Settings) {
	if i == victim {
		server.Real, server.Queue = shedSlots, shedQueue
	}
}

// hotKeys are the keys that are hot in a run of length.
func hotKeys(length time.Duration) []loader.HotKey {
	return []loader.HotKey{
		{Key: firstHot, Part: hotPart, Until: length / 2},
		{Key: secondHot, Part: hotPart, From: length / 2, Until: length},
	}
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return Error.New("waiting: %w", ctx.Err())
	}
}
