package evacuator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/evacuator"
)

// bound is the time in which orders must be in force in these tests.
const bound = 5 * time.Second

// at returns the instant d after an arbitrary start.
func at(d time.Duration) timer.Instant {
	return timer.Instant{Mono: time.Minute, Wall: 400 * time.Hour}.Add(d)
}

func order(since int64) *messenger.EvacuationRow {
	return &messenger.EvacuationRow{Domain: "a", By: "op", Since: since}
}

// observe records the state of the lease every TickInterval from one time to another.
func observe(gate *evacuator.Gate, from, to time.Duration, isConfirmed bool) {
	for now := from; now < to; now += evacuator.TickInterval {
		gate.Observe(at(now), isConfirmed)
	}
	gate.Observe(at(to), isConfirmed)
}

// Guards against requests that are sent to a domain after the time in which the order must
// be in force, and against refusals before the keys have moved.
func TestGracePeriods(t *testing.T) {
	byDelta := func(gate *evacuator.Gate) {
		gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: at(-300 * time.Millisecond)})
	}
	tests := []struct {
		name  string
		bound time.Duration
		learn func(gate *evacuator.Gate)
		// keyless and keyed are until when requests of these kinds are passed.
		keyless time.Duration
		keyed   time.Duration
	}{
		{name: "learned by a delta", bound: bound, learn: byDelta, keyless: 500 * time.Millisecond, keyed: 3500 * time.Millisecond},
		{name: "default bound", learn: byDelta, keyless: 500 * time.Millisecond, keyed: 3500 * time.Millisecond},
		{name: "shorter bound", bound: 2 * time.Second, learn: byDelta, keyless: 500 * time.Millisecond, keyed: 1400 * time.Millisecond},
		{name: "bound below the grace period without a key", bound: 500 * time.Millisecond, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: at(-50 * time.Millisecond)})
		}, keyless: 350 * time.Millisecond, keyed: 350 * time.Millisecond},
		{name: "learned 1 s after the last confirmation", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: at(-time.Second)})
		}, keyless: 500 * time.Millisecond, keyed: 3500 * time.Millisecond},
		{name: "learned late after a lapse", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: at(-1001 * time.Millisecond)})
		}},
		{name: "learned late for a shorter bound", bound: 2 * time.Second, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: at(-500 * time.Millisecond)})
		}},
		{name: "VM suspended before the delta", bound: bound, learn: func(gate *evacuator.Gate) {
			confirmed := at(-300 * time.Millisecond)
			confirmed.Wall -= 10 * time.Second
			gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: confirmed})
		}},
		{name: "lease ended before the delta", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{})
		}},
		{name: "in a full delta", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{Full: true, ConfirmedAt: at(-300 * time.Millisecond)})
		}},
		{name: "process restarted during the evacuation", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(0), order(1), evacuator.Source{Full: true})
		}},
		{name: "learned before, and again in a full delta", bound: bound, learn: func(gate *evacuator.Gate) {
			byDelta(gate)
			gate.Learn(at(time.Millisecond), order(1), evacuator.Source{Full: true})
		}, keyless: 500 * time.Millisecond, keyed: 3500 * time.Millisecond},
		{name: "withdrawn", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(-10*time.Second), order(1), evacuator.Source{Full: true})
			gate.Learn(at(0), nil, evacuator.Source{ConfirmedAt: at(-300 * time.Millisecond)})
		}, keyless: time.Hour, keyed: time.Hour},
		{name: "withdrawn while the router was cut off", bound: bound, learn: func(gate *evacuator.Gate) {
			byDelta(gate)
			gate.Learn(at(0), nil, evacuator.Source{Full: true})
		}, keyless: time.Hour, keyed: time.Hour},
		{name: "ordered again", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(-20*time.Second), order(1), evacuator.Source{Full: true})
			gate.Learn(at(-10*time.Second), nil, evacuator.Source{ConfirmedAt: at(-11 * time.Second)})
			gate.Learn(at(0), order(2), evacuator.Source{ConfirmedAt: at(-300 * time.Millisecond)})
		}, keyless: 500 * time.Millisecond, keyed: 3500 * time.Millisecond},
		{name: "withdrawn and ordered again in one delta", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(-20*time.Second), order(1), evacuator.Source{Full: true})
			gate.Learn(at(0), order(2), evacuator.Source{ConfirmedAt: at(-300 * time.Millisecond)})
		}, keyless: 500 * time.Millisecond, keyed: 3500 * time.Millisecond},
		{name: "order resent", bound: bound, learn: func(gate *evacuator.Gate) {
			gate.Learn(at(-20*time.Second), order(1), evacuator.Source{ConfirmedAt: at(-20 * time.Second)})
			gate.Learn(at(0), order(1), evacuator.Source{ConfirmedAt: at(-300 * time.Millisecond)})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := evacuator.NewGate(test.bound)
			gate.Observe(at(-30*time.Second), true)
			test.learn(gate)
			for now := 2 * time.Millisecond; now < 10*time.Second; now += 50 * time.Millisecond {
				gate.Observe(at(now), true)
				for isKeyed, until := range map[bool]time.Duration{false: test.keyless, true: test.keyed} {
					want := evacuator.Refuse
					if now < until {
						want = evacuator.Pass
					}
					qt.Assert(t, gate.Decide(at(now), isKeyed), qt.Equals, want, qt.Commentf("keyed %t at %s", isKeyed, now))
				}
			}
		})
	}
}

// Guards against a router that missed an order while it was frozen or cut off and sends
// requests before it can know, and against a router that stops serving because the control
// group is lost.
func TestHoldsAfterALapse(t *testing.T) {
	type step struct {
		at   time.Duration
		want evacuator.Verdict
	}
	tests := []struct {
		name  string
		bound time.Duration
		// prepare brings the gate to time 0.
		prepare func(gate *evacuator.Gate)
		// confirmedAt is when the router is confirmed; 0 means never.
		confirmedAt time.Duration
		steps       []step
	}{
		{name: "confirmed", bound: bound, prepare: func(gate *evacuator.Gate) { observe(gate, -time.Second, 0, true) },
			confirmedAt: time.Millisecond, steps: []step{{at: 100 * time.Millisecond, want: evacuator.Pass}}},
		{name: "frozen for long, then confirmed", bound: bound, prepare: func(gate *evacuator.Gate) { observe(gate, -time.Hour-time.Second, -time.Hour, true) },
			confirmedAt: 300 * time.Millisecond, steps: []step{
				{want: evacuator.Hold}, {at: 250 * time.Millisecond, want: evacuator.Hold}, {at: 310 * time.Millisecond, want: evacuator.Pass}}},
		{name: "control group does not answer", bound: bound, prepare: func(gate *evacuator.Gate) { observe(gate, -time.Second, -200*time.Millisecond, true) },
			steps: []step{{want: evacuator.Hold}, {at: 690 * time.Millisecond, want: evacuator.Hold}, {at: 700 * time.Millisecond, want: evacuator.Pass}, {at: time.Hour, want: evacuator.Pass}}},
		{name: "lapse noticed without requests", bound: bound, prepare: func(gate *evacuator.Gate) {
			observe(gate, -2*time.Second, -time.Second, true)
			observe(gate, -750*time.Millisecond, 0, false)
		}, steps: []step{{at: time.Millisecond, want: evacuator.Pass}}},
		{name: "setting is 0", prepare: func(gate *evacuator.Gate) { observe(gate, -time.Second, -200*time.Millisecond, true) },
			steps: []step{{want: evacuator.Pass}}},
		{name: "cut off, then frozen", bound: bound, prepare: func(gate *evacuator.Gate) {
			observe(gate, -40*time.Second, -30*time.Second, true)
			observe(gate, -29*time.Second, -20*time.Second, false)
		}, confirmedAt: 200 * time.Millisecond, steps: []step{{want: evacuator.Hold}, {at: 190 * time.Millisecond, want: evacuator.Hold}, {at: 210 * time.Millisecond, want: evacuator.Pass}}},
		{name: "frozen while requests are held", bound: bound, prepare: func(gate *evacuator.Gate) {
			observe(gate, -40*time.Second, -30*time.Second, true)
			observe(gate, -30*time.Second+time.Millisecond, -30*time.Second+500*time.Millisecond, false)
		}, steps: []step{{want: evacuator.Hold}, {at: 690 * time.Millisecond, want: evacuator.Hold}, {at: 710 * time.Millisecond, want: evacuator.Pass}}},
		{name: "frozen for less than a stop is noticed", bound: bound, prepare: func(gate *evacuator.Gate) {
			observe(gate, -4*time.Second, -1300*time.Millisecond, true)
			observe(gate, -1200*time.Millisecond, -900*time.Millisecond, false)
		}, steps: []step{{want: evacuator.Hold}, {at: 160 * time.Millisecond, want: evacuator.Pass}}},
		{name: "second lapse", bound: bound, prepare: func(gate *evacuator.Gate) {
			observe(gate, -20*time.Second, -15*time.Second, true)
			observe(gate, -15*time.Second, -10*time.Second, false)
			observe(gate, -10*time.Second, -100*time.Millisecond, true)
		}, steps: []step{{want: evacuator.Hold}, {at: 710 * time.Millisecond, want: evacuator.Pass}}},
		{name: "new process", bound: bound, prepare: func(*evacuator.Gate) {}, confirmedAt: 2 * time.Second,
			steps: []step{{want: evacuator.Unready}, {at: 1900 * time.Millisecond, want: evacuator.Unready}, {at: 2010 * time.Millisecond, want: evacuator.Pass}}},
		{name: "new process, setting is 0", prepare: func(*evacuator.Gate) {}, steps: []step{{want: evacuator.Pass}}},
		{name: "evacuated before the lapse", bound: bound, prepare: func(gate *evacuator.Gate) {
			observe(gate, -40*time.Second, -30*time.Second, true)
			gate.Learn(at(-30*time.Second), order(1), evacuator.Source{ConfirmedAt: at(-30 * time.Second)})
		}, steps: []step{{want: evacuator.Refuse}, {at: 2 * time.Second, want: evacuator.Refuse}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := evacuator.NewGate(test.bound)
			test.prepare(gate)
			now := time.Duration(0)
			for _, step := range test.steps {
				for ; now <= step.at; now += 10 * time.Millisecond {
					gate.Observe(at(now), test.confirmedAt > 0 && now >= test.confirmedAt)
					if now > 5*time.Second {
						now += evacuator.TickInterval - 10*time.Millisecond
					}
				}
				gate.Observe(at(step.at), test.confirmedAt > 0 && step.at >= test.confirmedAt)
				qt.Assert(t, gate.Decide(at(step.at), true), qt.Equals, step.want, qt.Commentf("keyed at %s", step.at))
				qt.Assert(t, gate.Decide(at(step.at), false), qt.Equals, step.want, qt.Commentf("without key at %s", step.at))
			}
		})
	}
}

// Learn reports changes only, so that each is logged once.
func TestLearnReportsChanges(t *testing.T) {
	gate := evacuator.NewGate(bound)
	steps := []struct {
		order *messenger.EvacuationRow
		want  bool
	}{{}, {order: order(1), want: true}, {order: order(1)}, {order: order(2), want: true}, {want: true}, {}}
	for n, step := range steps {
		qt.Check(t, gate.Learn(at(0), step.order, evacuator.Source{}), qt.Equals, step.want, qt.Commentf("step %d", n))
	}
}
