package matrix

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// TestCheck checks histories that each violate one guarantee, and some that violate
// none.
func TestCheck(t *testing.T) {
	second := time.Second
	send := func(number, identity string) Send { return Send{Number: number, Identity: identity, Key: "k"} }
	done := func(number string, echo Echo) Response {
		return Response{Number: number, Outcome: messenger.OutcomeDone, Echo: echo, Complete: true}
	}
	run := func(server, number string, fence uint64, start, end time.Duration) Run {
		return Run{Server: server, Key: "k", Number: number, Fence: fence, Start: start, End: end}
	}
	tests := []struct {
		name    string
		history History
		want    []Guarantee
	}{
		{name: "good", history: History{
			Sends: []Send{send("1", "a"), send("2", "a")},
			Responses: []Response{
				{Number: "1", Outcome: messenger.OutcomeUnknown},
				done("2", Echo{Key: "k", Identity: "a", Number: "1"}),
			},
			Runs: []Run{run("x", "1", 5, 0, second)},
		}},
		{name: "two owners at once", want: []Guarantee{GuaranteeSingleOwner}, history: History{
			Runs: []Run{run("x", "1", 5, 0, 2*second), run("y", "2", 6, second, 3*second)},
		}},
		{name: "frozen during the run", history: History{
			Runs: []Run{{Server: "x", Key: "k", Number: "1", Fence: 5, End: 2 * second, Frozen: true}, run("y", "2", 6, second, 3*second)},
		}},
		{name: "frozen before it ran", want: []Guarantee{GuaranteeSingleOwner}, history: History{
			Runs: []Run{run("y", "2", 6, 0, second), {Server: "x", Key: "k", Number: "1", Fence: 5, Start: second, End: 2 * second, Frozen: true}},
		}},
		{name: "fence decreases", want: []Guarantee{GuaranteeSingleOwner}, history: History{
			Runs: []Run{run("x", "1", 6, 0, second), run("x", "2", 5, 2*second, 3*second)},
		}},
		{name: "a run that never ended", want: []Guarantee{GuaranteeSingleOwner}, history: History{
			Runs: []Run{run("x", "1", 5, 0, 0), run("y", "2", 6, second, 3*second)},
		}},
		{name: "ran twice", want: []Guarantee{GuaranteeAtMostOnce}, history: History{
			Sends:     []Send{send("1", "a"), send("2", "a")},
			Responses: []Response{{Number: "1", Outcome: messenger.OutcomeUnknown}, {Number: "2", Outcome: messenger.OutcomeUnknown}},
			Runs:      []Run{run("x", "1", 5, 0, second), run("x", "2", 5, second, 2*second)},
		}},
		{name: "ran twice without a key", want: []Guarantee{GuaranteeAtMostOnce}, history: History{
			Sends:     []Send{send("1", "")},
			Responses: []Response{{Number: "1", Outcome: messenger.OutcomeUnknown}},
			Runs:      []Run{run("x", "1", 5, 0, second), run("x", "1", 5, second, 2*second)},
		}},
		{name: "refused and ran", want: []Guarantee{GuaranteeRefusedNotRun}, history: History{
			Sends:     []Send{send("1", "")},
			Responses: []Response{{Number: "1", Outcome: messenger.OutcomeRefused}},
			Runs:      []Run{run("x", "1", 5, 0, second)},
		}},
		{name: "answer of another request", want: []Guarantee{GuaranteeIntactAnswer}, history: History{
			Sends:     []Send{send("1", "")},
			Responses: []Response{done("1", Echo{Key: "k", Number: "9"})},
		}},
		{name: "answer of another key", want: []Guarantee{GuaranteeIntactAnswer}, history: History{
			Sends:     []Send{send("1", "a")},
			Responses: []Response{done("1", Echo{Key: "z", Identity: "a", Number: "1"})},
		}},
		{name: "truncated answer as done", want: []Guarantee{GuaranteeIntactAnswer}, history: History{
			Sends:     []Send{send("1", "")},
			Responses: []Response{{Number: "1", Outcome: messenger.OutcomeDone, Echo: Echo{Key: "k", Number: "1"}}},
		}},
		{name: "no outcome", want: []Guarantee{GuaranteeOutcome}, history: History{
			Sends: []Send{send("1", "")},
		}},
		{name: "revision decreases", want: []Guarantee{GuaranteeMonotonicRevision}, history: History{
			Observations: []Observation{{Router: "r", Revision: 5}, {Router: "r", Revision: 4, At: second}},
		}},
		{name: "old revision served", want: []Guarantee{GuaranteePropagation}, history: History{
			Changes:      []Change{{Revision: 9}},
			Observations: []Observation{{Router: "r", Revision: 5, Serving: true, At: 7 * second}},
		}},
		{name: "not served again", want: []Guarantee{GuaranteeRecovery}, history: History{
			Sends:     []Send{send("1", ""), send("2", "")},
			Responses: []Response{done("1", Echo{Key: "k", Number: "1"}), {Number: "2", Outcome: messenger.OutcomeDone, Echo: Echo{Key: "k", Number: "2"}, Complete: true, At: 5 * second}},
			Losses:    []Loss{{Node: "r1", At: second}},
		}},
		{name: "served again after the second loss", history: History{
			Sends:     []Send{send("1", ""), send("2", "")},
			Responses: []Response{done("1", Echo{Key: "k", Number: "1"}), {Number: "2", Outcome: messenger.OutcomeDone, Echo: Echo{Key: "k", Number: "2"}, Complete: true, At: 5 * second}},
			Losses:    []Loss{{Node: "r1", At: second}, {Node: "r2", At: 3 * second}},
		}},
		{name: "run after drain", want: []Guarantee{GuaranteeDraining}, history: History{
			Drains: []Drain{{Server: "x"}},
			Runs:   []Run{run("x", "1", 5, 4*second, 5*second)},
		}},
	}
	for i := range tests {
		test := &tests[i]
		t.Run(test.name, func(t *testing.T) {
			var got []Guarantee
			for _, violation := range Check(&test.history) {
				got = append(got, violation.Guarantee)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
