package queuer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/queuer"
)

// calledServer is the load of a slow server that most of its slots' time goes to calls at,
// beside more uploads of clients than the rest can take.
var calledServer = []kind{
	{name: "upload", rank: 1, rate: 30, work: 200 * ms, aim: 500 * ms, deadline: 1200 * ms},
	{name: "call", rank: 1, rate: 120, work: 42 * ms, aim: 120 * ms, deadline: 400 * ms},
}

// callPolicy offers the jobs of one kind as calls.
type callPolicy struct {
	*queuePolicy
	call string
}

func (c *callPolicy) offer(now time.Duration, a arrival) (any, bool) {
	before, _, _ := c.queue.Load()
	entry, refusal := c.queue.Offer(now, queuer.Job{
		Kind: a.kind.name, Rank: a.kind.rank, Aim: now + a.kind.aim, Deadline: now + a.kind.deadline, Call: a.kind.name == c.call,
	})
	if refusal != nil {
		return nil, true
	}
	if after, _, _ := c.queue.Load(); after > before {
		c.newlyStarted = append(c.newlyStarted, entry)
	}
	return entry, false
}

// Guards against work done in vain: a call that a full server refuses fails the run at
// another server that waits for it. Beside first in, first out and the queue that does not
// know of calls.
func TestCallsAreServedByFullServer(t *testing.T) {
	failedKnown, failedUnknown, failedFIFO := 0, 0, 0
	for seed := range uint64(10) {
		arrivals := generateArrivals(seed, calledServer, 1)
		known := simulate(&callPolicy{queuePolicy: &queuePolicy{queue: queuer.NewQueue(9)}, call: "call"}, arrivals)
		unknown := simulate(&queuePolicy{queue: queuer.NewQueue(9)}, arrivals)
		fifo := simulate(&fifoPolicy{slots: 9}, arrivals)
		failed := func(results map[string]*kindResult) int { return results["call"].refused + results["call"].expired }
		t.Logf("seed %d: calls failed %d, upload in time %d; calls not known %d, %d; FIFO %d, %d", seed, failed(known),
			known["upload"].inTime, failed(unknown), unknown["upload"].inTime, failed(fifo), fifo["upload"].inTime)
		failedKnown, failedUnknown, failedFIFO = failedKnown+failed(known), failedUnknown+failed(unknown), failedFIFO+failed(fifo)
	}
	qt.Check(t, 4*failedKnown <= min(failedUnknown, failedFIFO), qt.IsTrue, qt.Commentf("%d failed, %d if not known, %d first in, first out", failedKnown, failedUnknown, failedFIFO))
}

// Guards against clients that are not served at all by a server that is called too often.
func TestCallsLeaveRoomForOthers(t *testing.T) {
	load := slices.Clone(calledServer)
	load[1].rate = 400
	for seed := range uint64(10) {
		results := simulate(&callPolicy{queuePolicy: &queuePolicy{queue: queuer.NewQueue(9)}, call: "call"}, generateArrivals(seed, load, 1))
		upload := results["upload"]
		qt.Check(t, 10*(upload.inTime+upload.late) >= upload.arrived, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, *upload))
	}
}

// Guards against calls that lose their turn for what they took while nobody else needed the
// slots: at a server that runs hardly anything else, all calls would wait for the clients.
func TestCallsKeepTheirTurnAfterTheyWereAlone(t *testing.T) {
	queue := queuer.NewQueue(1)
	now := time.Duration(0)
	offer := func(kind string) *queuer.Entry {
		entry, refusal := queue.Offer(now, queuer.Job{Kind: kind, Rank: 1, Aim: now + time.Second, Deadline: now + 2*time.Second, Call: kind == "call"})
		qt.Assert(t, refusal, qt.IsNil)
		return entry
	}
	running := offer("call")
	for range 500 {
		now += 20 * ms
		queue.Done(now, running, true)
		running = offer("call")
	}
	offer("upload")
	call := offer("call")
	now += 20 * ms
	started := queue.Done(now, running, true)
	qt.Assert(t, started, qt.HasLen, 1)
	qt.Assert(t, started[0], qt.Equals, call)
}
