package prober

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// observed is evidence that is observed several times, with a pause before each.
type observed struct {
	evidence Evidence
	times    int
	pause    time.Duration
}

func TestStateMachine(t *testing.T) {
	const interval = 250 * time.Millisecond
	ready := []observed{{Announced, 1, 0}, {ProbeAnswered, 1, time.Millisecond}}
	tests := []struct {
		name     string
		observed []observed
		state    messenger.ServerState
	}{
		{"announced without a probe", []observed{{Announced, 1, 0}}, messenger.ServerAbsent},
		{"announced and probed", ready, messenger.ServerReady},
		{"one refused connection", append(ready, observed{ProbeRefused, 1, interval}), messenger.ServerReady},
		{"refused connections", append(ready, observed{TrafficRefused, 2, interval}), messenger.ServerDown},
		{"died", append(ready, observed{ServerDied, 1, interval}), messenger.ServerDown},
		{"died and recovered", append(ready, observed{ServerDied, 1, interval}, observed{ProbeAnswered, 2, interval}), messenger.ServerReady},
		{"refuses connections for long", append(ready, observed{ProbeRefused, 30, interval}), messenger.ServerAbsent},
		{"two probes that time out", append(ready, observed{ProbeTimeout, 2, time.Second}), messenger.ServerReady},
		{"probes that time out", append(ready, observed{ProbeTimeout, 4, 400 * time.Millisecond}), messenger.ServerFrozen},
		{
			"probes that time out, answered requests",
			append(ready, observed{ProbeTimeout, 2, interval}, observed{TrafficAnswered, 1, interval}, observed{ProbeTimeout, 2, interval}),
			messenger.ServerReady,
		},
		{
			"answered probes, expired requests",
			append(ready, observed{TrafficExpired, 6, time.Second}, observed{ProbeAnswered, 3, interval}),
			messenger.ServerFrozen,
		},
		{
			"expired requests, then answered probes for longer than they are ignored",
			append(ready, observed{TrafficExpired, 6, time.Second}, observed{ProbeAnswered, 12, interval}),
			messenger.ServerReady,
		},
		{"woken once", append(ready, observed{ProbeTimeout, 4, time.Second}, observed{ProbeAnswered, 1, interval}), messenger.ServerFrozen},
		{"woken", append(ready, observed{ProbeTimeout, 4, time.Second}, observed{ProbeAnswered, 2, interval}), messenger.ServerReady},
		{"withdrawn", append(ready, observed{Withdrawn, 1, 0}, observed{ProbeAnswered, 3, interval}), messenger.ServerLeaving},
		{
			"withdrawn and announced again",
			append(ready, observed{Withdrawn, 1, 0}, observed{Announced, 1, interval}, observed{ProbeAnswered, 1, interval}),
			messenger.ServerReady,
		},
		{"one report of draining", append(ready, observed{ProbeDraining, 1, interval}), messenger.ServerReady},
		{"reports of draining", append(ready, observed{ProbeDraining, 3, interval}), messenger.ServerLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := NewStateMachine()
			now := timer.Instant{}.Add(time.Hour)
			for _, observed := range test.observed {
				for range observed.times {
					now = now.Add(observed.pause)
					machine.Observe(now, observed.evidence)
				}
			}
			qt.Assert(t, machine.State(), qt.Equals, test.state)
		})
	}
}
