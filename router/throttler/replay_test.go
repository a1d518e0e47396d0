package throttler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/queuer"
	"marigoldhill/router/throttler"
)

// The replayed load: callers offer a server six times what it can handle. Its VM has a link
// of 0.49 MB/s, which also carries what the entry router of the VM sends for callers there.
// All VMs are alike, so the entry router sends as much as arrives at the server.
const (
	replayEntries = 59
	replaySlots   = 6
	replayWork    = 100 * ms
	replayAim     = 300 * ms
	// replayTravel is the time that the owner leaves for its answer on the link.
	replayTravel   = 20 * ms
	replayDeadline = 800 * ms
	replayFor      = 10 * time.Second
	replayRate     = 360.0 // requests per second
	replayLink     = 490e3 // bytes per second
	requestBytes   = 800
	refusalBytes   = 400
	answerBytes    = 1500
)

// event is something that happens in the replay.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one server with its queue and its link, and the entry routers.
type world struct {
	events     events
	random     *rand.Rand
	queue      *queuer.Queue
	controller *throttler.Controller
	gates      []*throttler.Gate
	linkFree   time.Duration
	// answers has what follows the run of each admitted request.
	answers map[*queuer.Entry]func(done time.Duration)
	offered int
	sent    int
	inAim   int
}

func (w *world) schedule(at time.Duration, do func(now time.Duration)) {
	heap.Push(&w.events, event{at, do})
}

// transmit returns when the link has sent size bytes more.
func (w *world) transmit(now time.Duration, size float64) time.Duration {
	w.linkFree = max(w.linkFree, now) + time.Duration(size/replayLink*float64(time.Second))
	return w.linkFree
}

func (w *world) arrive(now time.Duration, throttled bool, fingerprint string) {
	w.offered++
	gate := w.gates[w.random.IntN(replayEntries)]
	if throttled {
		if _, refused := gate.Check(now, throttler.Request{Session: 1, Fingerprint: fingerprint}); refused {
			return
		}
	}
	w.sent++
	// The request crosses the link of its entry router, which is as full as this one.
	w.schedule(w.transmit(now, requestBytes), func(at time.Duration) {
		entry, refusal := w.queue.Offer(at, queuer.Job{Kind: "lookup", Aim: now + replayAim - replayTravel, Deadline: now + replayDeadline})
		w.controller.Observe(at, 0, refusal == nil)
		if refusal != nil {
			w.schedule(w.transmit(at, refusalBytes), func(received time.Duration) {
				gate.Update(received, 1, 0, w.controller.Fraction(0), refusal.RetryAfter)
			})
			return
		}
		w.answers[entry] = func(done time.Duration) {
			w.schedule(w.transmit(done, answerBytes), func(received time.Duration) {
				gate.Update(received, 1, 0, w.controller.Fraction(0), 0)
				if received <= now+replayAim {
					w.inAim++
				}
			})
		}
		if entry.IsRunning() {
			w.run(at, []*queuer.Entry{entry})
		}
	})
}

// run runs entries that the queue has started.
func (w *world) run(now time.Duration, entries []*queuer.Entry) {
	for _, entry := range entries {
		w.schedule(now+replayWork, func(done time.Duration) {
			w.queue.RemoveLate(done)
			w.answers[entry](done)
			delete(w.answers, entry)
			w.run(done, w.queue.Done(done, entry, true))
		})
	}
}

// replay returns the share of the capacity of the server that was answered within the aim,
// and the share of the requests that were sent to its router.
func replay(seed uint64, throttled bool) (useful, sent float64) {
	w := &world{
		random:     rand.New(rand.NewPCG(seed, 1)),
		queue:      queuer.NewQueue(replaySlots),
		controller: throttler.NewController(),
		answers:    make(map[*queuer.Entry]func(time.Duration)),
	}
	for range replayEntries {
		w.gates = append(w.gates, throttler.NewGate())
	}
	number := 0
	for at := time.Duration(0); at < replayFor; at += time.Duration(w.random.ExpFloat64() / replayRate * float64(time.Second)) {
		number++
		fingerprint := fmt.Sprint(number)
		w.schedule(at, func(now time.Duration) { w.arrive(now, throttled, fingerprint) })
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		next.do(next.at)
	}
	capacity := replaySlots / replayWork.Seconds() * replayFor.Seconds()
	return float64(w.inAim) / capacity, float64(w.sent) / float64(w.offered)
}

// Guards against a server that completes less the more it is offered, because the links are
// full of requests that it refuses.
func TestOverloadedLinks(t *testing.T) {
	var useful, sent [2]float64
	const seeds = 5
	for seed := range uint64(seeds) {
		for n, throttled := range []bool{false, true} {
			u, s := replay(seed, throttled)
			useful[n] += u / seeds
			sent[n] += s / seeds
		}
	}
	t.Logf("answered within the aim, of the capacity: %.2f when all are sent, %.2f throttled; sent: %.2f", useful[0], useful[1], sent[1])
	qt.Assert(t, useful[0] < 0.5, qt.IsTrue)
	qt.Assert(t, useful[1] > 0.8, qt.IsTrue)
}
