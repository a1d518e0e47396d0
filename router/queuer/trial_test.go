package queuer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/queuer"
)

// fullServer is the load of a server that is full of bookings, with calls that are short
// and have a short aim.
var fullServer = []kind{
	{name: "booking", rank: 1, rate: 90, work: 145 * ms, aim: 500 * ms, deadline: 1200 * ms},
	{name: "call", rank: 1, rate: 150, work: 22 * ms, aim: 120 * ms, deadline: 400 * ms},
}

// Guards against a kind that is never measured: with the default cost of 100 ms, calls with
// an aim of 120 ms were refused for 4 s by a router that had restarted beside a full
// server, and 1,100 runs of other servers failed with them.
func TestUnknownKindIsMeasuredAtFullServer(t *testing.T) {
	for seed := range uint64(10) {
		arrivals := slices.DeleteFunc(generateArrivals(seed, fullServer, 1), func(a arrival) bool {
			return a.kind.name == "call" && a.at < time.Second
		})
		calls := simulate(&queuePolicy{queue: queuer.NewQueue(9)}, arrivals)["call"]
		qt.Check(t, 20*(calls.refused+calls.expired) <= calls.arrived, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, *calls))
	}
}

// Guards against a cost that stays too high: calls that a slow server once took long for
// are refused by a full one, so nothing shows that it is fast again.
func TestOldCostIsMeasuredAnew(t *testing.T) {
	queue := queuer.NewQueue(1)
	call := func(now time.Duration) queuer.Job {
		return queuer.Job{Kind: "call", Rank: 1, Aim: now + 120*ms, Deadline: now + 400*ms}
	}
	slow, refusal := queue.Offer(0, call(0))
	qt.Assert(t, refusal, qt.IsNil)
	queue.Done(300*ms, slow, true)
	_, refusal = queue.Offer(300*ms, queuer.Job{Kind: "booking", Rank: 1, Aim: 900 * ms, Deadline: 1500 * ms})
	qt.Assert(t, refusal, qt.IsNil)
	_, refusal = queue.Offer(320*ms, call(320*ms))
	qt.Assert(t, refusal, qt.IsNotNil)
	trial, refusal := queue.Offer(1340*ms, call(1340*ms))
	qt.Assert(t, refusal, qt.IsNil)
	qt.Assert(t, trial.IsRunning(), qt.IsFalse)
	_, refusal = queue.Offer(1341*ms, call(1341*ms))
	qt.Assert(t, refusal, qt.IsNotNil, qt.Commentf("a second trial"))
}
