package experimenter

import (
	"context"
	"time"

	"marigoldhill/bench/loader"
	"marigoldhill/bench/responder"
)

// Scenario describes the fault, if any, that is injected in a run.
type Scenario struct {
	Name string
	// Adjust, unless nil, changes the settings of stand-in server i.
	Adjust func(i int, server *responder.Settings)
	// Prepare, unless nil, is called before any load is sent.
	Prepare func(ctx context.Context, system system) error
	// Fault and EndFault, unless nil, are called after a quarter and after two
	// thirds of the mixed phase, to cause the fault and to end it.
	Fault    func(ctx context.Context, system system) error
	EndFault func(ctx context.Context, system system) error
	// Hot enables hot keys: in each half of the mixed phase, one key gets the
	// share hotShare of the arrivals of the first service.
	Hot bool
}

// faultyServer is the index of the server that faults are injected into.
const faultyServer = 1

const (
	// slowFactor multiplies the processing times of a server that misreports its
	// load.
	slowFactor = 3
	// shedSlots is the actual number of slots of the server that sheds.
	shedSlots = 2
	// shedQueue is the number of requests that may wait there before it sheds.
	shedQueue = 1
	// takeoverWait is the time that the cluster gets to take over from the server
	// that is stopped before the run.
	takeoverWait = 3 * time.Second
	// hotShare is the share of the arrivals that a hot key gets.
	hotShare = 0.3
)

// The hot keys of the first and the second half of the mixed phase.
const (
	firstHotKey  = "development-one"
	secondHotKey = "development-two"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "loss", Fault: fail, EndFault: restore},
		{Name: "freeze", Fault: freeze, EndFault: thaw},
		{Name: "join", Prepare: startWithout, Fault: restore},
		{Name: "drain", Fault: drain, EndFault: undrain},
		{Name: "mislead", Adjust: misreport},
		{Name: "shed", Adjust: shed},
		{Name: "hot", Hot: true},
	}
}

func fail(_ context.Context, system system) error {
	system.fail(faultyServer)
	return nil
}

func restore(ctx context.Context, system system) error { return system.restore(ctx, faultyServer) }

func freeze(_ context.Context, system system) error {
	system.servers()[faultyServer].Freeze()
	return nil
}

func thaw(_ context.Context, system system) error {
	system.servers()[faultyServer].Thaw()
	return nil
}

// startWithout stops a server before the run, so that it can join later.
func startWithout(ctx context.Context, system system) error {
	system.fail(faultyServer)
	return sleep(ctx, takeoverWait)
}

func drain(ctx context.Context, system system) error   { return system.drain(ctx, faultyServer) }
func undrain(ctx context.Context, system system) error { return system.undrain(ctx, faultyServer) }

// misreport makes a server slow while it reports no load and good health.
func misreport(i int, server *responder.Settings) {
	if i == faultyServer {
		server.Load, server.Health, server.SlowFactor = responder.ReportIdle, responder.ReportIdle, slowFactor
	}
}

// shed makes a server announce more slots than it has and shed the excess. It has
// shedSlots of its slotsPerServer.
func shed(i int, server *responder.Settings) {
	if i == faultyServer {
		server.ActualSlots, server.Queue = shedSlots, shedQueue
	}
}

// hotKeys returns the hot keys for a mixed phase of the given duration.
func hotKeys(duration time.Duration) []loader.HotKey {
	return []loader.HotKey{
		{Key: firstHotKey, Share: hotShare, Until: duration / 2},
		{Key: secondHotKey, Share: hotShare, From: duration / 2, Until: duration},
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return Error.New("waiting: %w", ctx.Err())
	}
}
