package throttler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/throttler"
)

const ms = time.Millisecond

// offer lets requests of ranks arrive for a second, the first admitted of each rank in each
// 100 ms being admitted.
func offer(controller *throttler.Controller, from time.Duration, arrived, admitted map[int]int) time.Duration {
	for step := range 10 {
		now := from + time.Duration(step)*100*ms
		for rank, count := range arrived {
			for n := range count {
				controller.Observe(now, rank, n < admitted[rank])
			}
		}
	}
	return from + time.Second
}

// Guards against excess that is taken from urgent requests while less urgent ones are sent.
func TestFractions(t *testing.T) {
	tests := []struct {
		name              string
		arrived, admitted map[int]int
		urgent, other     func(fraction float64) bool
	}{
		{
			name:    "no excess",
			arrived: map[int]int{1: 10, 2: 10}, admitted: map[int]int{1: 10, 2: 9},
			urgent: func(f float64) bool { return f == 1 }, other: func(f float64) bool { return f == 1 },
		},
		{
			name:    "excess of the less urgent",
			arrived: map[int]int{1: 10, 2: 40}, admitted: map[int]int{1: 10, 2: 10},
			urgent: func(f float64) bool { return f == 1 }, other: func(f float64) bool { return f < 0.8 },
		},
		{
			name:    "excess of both",
			arrived: map[int]int{1: 40, 2: 10}, admitted: map[int]int{1: 10},
			urgent: func(f float64) bool { return f < 0.8 }, other: func(f float64) bool { return f < 0.06 },
		},
		{
			name:    "too few requests to judge",
			arrived: map[int]int{2: 1}, admitted: map[int]int{},
			urgent: func(f float64) bool { return f == 1 }, other: func(f float64) bool { return f == 1 },
		},
	}
	for _, test := range tests {
		controller := throttler.NewController()
		for second := range 4 {
			offer(controller, time.Duration(second)*time.Second, test.arrived, test.admitted)
		}
		qt.Check(t, test.urgent(controller.Fraction(1)), qt.IsTrue, qt.Commentf("%s: urgent %v", test.name, controller.Fraction(1)))
		qt.Check(t, test.other(controller.Fraction(2)), qt.IsTrue, qt.Commentf("%s: other %v", test.name, controller.Fraction(2)))
	}
}

// Guards against a server that stays half idle after an overload.
func TestFractionReturns(t *testing.T) {
	controller := throttler.NewController()
	now := offer(controller, 0, map[int]int{2: 40}, map[int]int{2: 10})
	qt.Assert(t, controller.Fraction(2) < 0.8, qt.IsTrue)
	for range 4 {
		now = offer(controller, now, map[int]int{2: 10}, map[int]int{2: 10})
	}
	qt.Assert(t, controller.Fraction(2), qt.Equals, 1.0)
}

// passed returns the share of 1,000 different requests that pass.
func passed(gate *throttler.Gate, now time.Duration, returns bool) float64 {
	count := 0
	for n := range 1000 {
		if _, refused := gate.Check(now, throttler.Request{Session: 7, Rank: 2, Fingerprint: fmt.Sprint(n), Returns: returns}); !refused {
			count++
		}
	}
	return float64(count) / 1000
}

func isNear(got, want float64) bool {
	return got > want-0.06 && got < want+0.06
}

func TestGate(t *testing.T) {
	gate := throttler.NewGate()
	qt.Assert(t, passed(gate, 0, false), qt.Equals, 1.0)
	gate.Update(0, 7, 2, 0.3, 120*ms)
	qt.Check(t, isNear(passed(gate, 0, false), 0.3), qt.IsTrue)
	// A caller that waited as it was told goes before new ones.
	qt.Check(t, isNear(passed(gate, 0, true), 0.6), qt.IsTrue)
	// A fraction that no response renews loses its effect.
	qt.Check(t, isNear(passed(gate, 500*ms, false), 0.65), qt.IsTrue)
	qt.Check(t, passed(gate, time.Second, false), qt.Equals, 1.0)
	// Other ranks and servers are not affected.
	_, refused := gate.Check(0, throttler.Request{Session: 7, Rank: 1, Fingerprint: "3"})
	qt.Check(t, refused, qt.IsFalse)
	_, refused = gate.Check(0, throttler.Request{Session: 8, Rank: 2, Fingerprint: "3"})
	qt.Check(t, refused, qt.IsFalse)
	gate.Update(0, 7, 2, 0, 0)
	qt.Check(t, passed(gate, 0, false), qt.Equals, 1.0)
}

// Guards against callers that get more by repeating at once than those that wait.
func TestRepeatsAtOnceGetNothing(t *testing.T) {
	for n := range 200 {
		gate := throttler.NewGate()
		gate.Update(0, 7, 2, 0.3, 120*ms)
		request := throttler.Request{Session: 7, Rank: 2, Fingerprint: fmt.Sprint(n)}
		after, first := gate.Check(0, request)
		for repeat := range 5 {
			gate.Update(time.Duration(repeat)*10*ms, 7, 2, 0.3, 0)
			_, refused := gate.Check(time.Duration(repeat)*10*ms, request)
			qt.Assert(t, refused, qt.Equals, first)
		}
		if first {
			qt.Assert(t, after, qt.Equals, 120*ms)
		}
	}
}

// Guards against a Gate that grows with the number of servers that have come and gone.
func TestGateIsBounded(t *testing.T) {
	gate := throttler.NewGate()
	for session := range uint64(10_000) {
		gate.Update(0, session, 2, 0.3, 0)
	}
	refused := 0
	for session := range uint64(10_000) {
		if _, ok := gate.Check(0, throttler.Request{Session: session, Rank: 2, Fingerprint: "3"}); ok {
			refused++
		}
	}
	qt.Assert(t, refused <= 4096, qt.IsTrue, qt.Commentf("%d", refused))
}

func BenchmarkCheck(b *testing.B) {
	gate := throttler.NewGate()
	gate.Update(0, 7, 2, 0.3, 0)
	for b.Loop() {
		gate.Check(0, throttler.Request{Session: 7, Rank: 2, Fingerprint: "b12add253bba091e"})
	}
}
