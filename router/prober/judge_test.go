package prober

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// seen is evidence, times over with a pause before each.
type seen struct {
	evidence Evidence
	times    int
	pause    time.Duration
}

func TestJudge(t *testing.T) {
	const beat = 250 * time.Millisecond
	ready := []seen{{Announced, 1, 0}, {ProbeAnswered, 1, time.Millisecond}}
	tests := []struct {
		name  string
		seen  []seen
		state messenger.ServerState
	}{
		{"announced only", []seen{{Announced, 1, 0}}, messenger.ServerAbsent},
		{"announced and probed", ready, messenger.ServerReady},
		{"one refused connection", append(ready, seen{ProbeRefused, 1, beat}), messenger.ServerReady},
		{"refused connections", append(ready, seen{TrafficRefused, 2, beat}), messenger.ServerDown},
		{"died", append(ready, seen{Died, 1, beat}), messenger.ServerDown},
		{"died and came back", append(ready, seen{Died, 1, beat}, seen{ProbeAnswered, 2, beat}), messenger.ServerReady},
		{"gone for long", append(ready, seen{ProbeRefused, 30, beat}), messenger.ServerAbsent},
		{"few silent probes", append(ready, seen{ProbeSilent, 2, time.Second}), messenger.ServerReady},
		{"silent probes", append(ready, seen{ProbeSilent, 4, 400 * time.Millisecond}), messenger.ServerFrozen},
		{
			"silent health endpoint beside served requests",
			append(ready, seen{ProbeSilent, 2, beat}, seen{TrafficAnswered, 1, beat}, seen{ProbeSilent, 2, beat}),
			messenger.ServerReady,
		},
		{
			"healthy probes beside stuck requests",
			append(ready, seen{TrafficExpired, 6, time.Second}, seen{ProbeAnswered, 3, beat}),
			messenger.ServerFrozen,
		},
		{
			"stuck requests, long ago",
			append(ready, seen{TrafficExpired, 6, time.Second}, seen{ProbeAnswered, 12, beat}),
			messenger.ServerReady,
		},
		{"woken once", append(ready, seen{ProbeSilent, 4, time.Second}, seen{ProbeAnswered, 1, beat}), messenger.ServerFrozen},
		{"woken", append(ready, seen{ProbeSilent, 4, time.Second}, seen{ProbeAnswered, 2, beat}), messenger.ServerReady},
		{"withdrawn", append(ready, seen{Withdrawn, 1, 0}, seen{ProbeAnswered, 3, beat}), messenger.ServerLeaving},
		{
			"withdrawn and back",
			append(ready, seen{Withdrawn, 1, 0}, seen{Announced, 1, beat}, seen{ProbeAnswered, 1, beat}),
			messenger.ServerReady,
		},
		{"one report of draining", append(ready, seen{ProbeDraining, 1, beat}), messenger.ServerReady},
		{"reports of draining", append(ready, seen{ProbeDraining, 3, beat}), messenger.ServerLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			judge := NewJudge()
			now := timer.Instant{}.Add(time.Hour)
			for _, seen := range test.seen {
				for range seen.times {
					now = now.Add(seen.pause)
					judge.Take(now, seen.evidence)
				}
			}
			qt.Assert(t, judge.State(), qt.Equals, test.state)
		})
	}
}
