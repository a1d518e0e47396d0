package queuer_test

import (
	"container/heap"
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/queuer"
)

const ms = time.Millisecond

// kind is a kind of request of a replayed load.
type kind struct {
	name     string
	rank     int
	rate     float64
	work     time.Duration
	aim      time.Duration
	deadline time.Duration
}

// The load of a desk with two kinds at 6 slots.
var desk = []kind{
	{name: "certificate", rank: 1, rate: 8, work: 160 * ms, aim: 500 * ms, deadline: 1200 * ms},
	{name: "finding", rank: 2, rate: 22, work: 130 * ms, aim: 400 * ms, deadline: 1000 * ms},
}

// arrival is a request of a replayed load.
type arrival struct {
	at   time.Duration
	work time.Duration
	kind *kind
}

// replay draws the arrivals of a load with a burst of a factor from 2 s to 5 s.
func replay(seed uint64, kinds []kind, burst float64) []arrival {
	random := rand.New(rand.NewPCG(seed, 3))
	var arrivals []arrival
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		for n := range kinds {
			rate := kinds[n].rate
			if now >= 2*time.Second && now < 5*time.Second {
				rate *= burst
			}
			if random.Float64() < rate/1000 {
				spread := math.Exp(0.3 * random.NormFloat64())
				arrivals = append(arrivals, arrival{at: now, work: time.Duration(float64(kinds[n].work) * spread), kind: &kinds[n]})
			}
		}
	}
	return arrivals
}

// tally is what became of a kind.
type tally struct {
	asked, inTime, late, refused, refusedLate int
}

// policy is a queue under test.
type policy interface {
	offer(now time.Duration, a arrival) (entry any, refused bool)
	done(now time.Duration, entry any)
	// started returns what began to run, dropped what was given up.
	started() []any
	dropped(now time.Duration) []any
}

// ranked is the policy of this package.
type ranked struct {
	queue *queuer.Queue
	fresh []any
}

func (r *ranked) offer(now time.Duration, a arrival) (any, bool) {
	before, _, _ := r.queue.Load()
	entry, refusal := r.queue.Offer(now, queuer.Job{
		Kind: a.kind.name, Rank: a.kind.rank, Aim: now + a.kind.aim, Deadline: now + a.kind.deadline,
	})
	if refusal != nil {
		return nil, true
	}
	if after, _, _ := r.queue.Load(); after > before {
		r.fresh = append(r.fresh, entry)
	}
	return entry, false
}

func (r *ranked) done(now time.Duration, entry any) {
	for _, next := range r.queue.Done(now, entry.(*queuer.Entry), true) {
		r.fresh = append(r.fresh, next)
	}
}

func (r *ranked) started() []any {
	fresh := r.fresh
	r.fresh = nil
	return fresh
}

func (r *ranked) dropped(now time.Duration) []any {
	var dropped []any
	for _, entry := range r.queue.Hopeless(now) {
		dropped = append(dropped, entry)
	}
	return dropped
}

// arrivalOrder is the baseline: first come, first served, nobody turned away
// before the deadline.
type arrivalOrder struct {
	slots   int
	running int
	waiting []*plain
	fresh   []any
}

type plain struct{ deadline time.Duration }

func (f *arrivalOrder) offer(now time.Duration, a arrival) (any, bool) {
	entry := &plain{deadline: now + a.kind.deadline}
	f.waiting = append(f.waiting, entry)
	f.next()
	return entry, false
}

func (f *arrivalOrder) next() {
	for f.running < f.slots && len(f.waiting) > 0 {
		f.fresh = append(f.fresh, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
}

func (f *arrivalOrder) done(time.Duration, any) {
	f.running--
	f.next()
}

func (f *arrivalOrder) started() []any {
	fresh := f.fresh
	f.fresh = nil
	return fresh
}

func (f *arrivalOrder) dropped(now time.Duration) []any {
	var dropped []any
	for len(f.waiting) > 0 && f.waiting[0].deadline <= now {
		dropped = append(dropped, f.waiting[0])
		f.waiting = f.waiting[1:]
	}
	return dropped
}

type ending struct {
	at    time.Duration
	entry any
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play runs a load through a policy.
func play(p policy, arrivals []arrival) map[string]*tally {
	tallies := make(map[string]*tally)
	of := func(a arrival) *tally {
		if tallies[a.kind.name] == nil {
			tallies[a.kind.name] = new(tally)
		}
		return tallies[a.kind.name]
	}
	origin := make(map[any]arrival)
	running := new(endings)
	step := func(now time.Duration) {
		for _, entry := range p.dropped(now) {
			of(origin[entry]).refusedLate++
		}
		for _, entry := range p.started() {
			heap.Push(running, ending{at: now + origin[entry].work, entry: entry})
		}
	}
	finish := func(until time.Duration) {
		for running.Len() > 0 && (*running)[0].at <= until {
			ended := heap.Pop(running).(ending)
			a := origin[ended.entry]
			switch took := ended.at - a.at; {
			case took <= a.kind.aim:
				of(a).inTime++
			case took <= a.kind.deadline:
				of(a).late++
			default:
				of(a).refusedLate++
			}
			p.done(ended.at, ended.entry)
			step(ended.at)
		}
	}
	for _, a := range arrivals {
		finish(a.at)
		of(a).asked++
		entry, refused := p.offer(a.at, a)
		if refused {
			of(a).refused++
			continue
		}
		origin[entry] = a
		step(a.at)
	}
	finish(time.Hour)
	return tallies
}

// More work than slots, with a burst on top: what is served stays in time, the
// excess is told at once, and the more urgent kind loses next to nothing. First
// come, first served makes everybody late.
func TestBurstCostsTheExcessOnly(t *testing.T) {
	for seed := range uint64(10) {
		arrivals := replay(seed, desk, 1.9)
		own := play(&ranked{queue: queuer.NewQueue(6)}, arrivals)
		base := play(&arrivalOrder{slots: 6}, arrivals)
		for _, kind := range []string{"certificate", "finding"} {
			t.Logf("seed %d %s: own %+v, arrival order %+v", seed, kind, *own[kind], *base[kind])
		}
		urgent, other := own["certificate"], own["finding"]
		qt.Check(t, float64(urgent.inTime) >= 0.95*float64(urgent.asked), qt.IsTrue, qt.Commentf("seed %d: %+v", seed, *urgent))
		qt.Check(t, urgent.inTime+other.inTime > base["certificate"].inTime+base["finding"].inTime, qt.IsTrue, qt.Commentf("seed %d", seed))
		held := urgent.refusedLate + other.refusedLate
		qt.Check(t, 20*held <= urgent.asked+other.asked, qt.IsTrue, qt.Commentf("seed %d: %d were held and given up", seed, held))
	}
}

func TestCalmLoadIsNeverRefused(t *testing.T) {
	for seed := range uint64(10) {
		tallies := play(&ranked{queue: queuer.NewQueue(6)}, replay(seed, desk, 1))
		for name, tally := range tallies {
			lost := tally.refused + tally.refusedLate
			qt.Check(t, 50*lost <= tally.asked, qt.IsTrue, qt.Commentf("seed %d %s: %+v", seed, name, *tally))
		}
	}
}

func TestHopelessIsRefusedAtOnce(t *testing.T) {
	queue := queuer.NewQueue(1)
	_, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: 10 * ms, Deadline: 20 * ms})
	qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonDeadline)
	first, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: time.Second, Deadline: time.Second})
	qt.Assert(t, refusal, qt.IsNil)
	_, refusal = queue.Offer(0, queuer.Job{Kind: "a", Aim: 150 * ms, Deadline: time.Second})
	qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonQueue)
	// A slot is free after 100 ms and the work takes another 100 ms.
	qt.Assert(t, refusal.After, qt.Equals, 50*ms)
	waiting, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: 300 * ms, Deadline: 350 * ms})
	qt.Assert(t, refusal, qt.IsNil)
	qt.Assert(t, queue.Hopeless(200*ms), qt.HasLen, 0)
	hopeless := queue.Hopeless(300 * ms)
	qt.Assert(t, hopeless, qt.HasLen, 1)
	qt.Assert(t, hopeless[0], qt.Equals, waiting)
	qt.Assert(t, queue.Done(310*ms, first, true), qt.HasLen, 0)
}

func TestOrderOfTurns(t *testing.T) {
	queue := queuer.NewQueue(1)
	first, _ := queue.Offer(0, queuer.Job{Kind: "a", Aim: time.Second, Deadline: time.Second})
	offer := func(rank int, aim time.Duration) *queuer.Entry {
		entry, refusal := queue.Offer(0, queuer.Job{Kind: "a", Rank: rank, Aim: aim, Deadline: 5 * time.Second})
		qt.Assert(t, refusal, qt.IsNil)
		return entry
	}
	missed := offer(2, 350*ms)
	near := offer(2, 700*ms)
	far := offer(2, 900*ms)
	urgent := offer(1, 900*ms)
	last := first
	for n, want := range []*queuer.Entry{urgent, near, far, missed} {
		started := queue.Done(time.Duration(n+3)*100*ms, last, false)
		qt.Assert(t, started, qt.HasLen, 1)
		qt.Assert(t, started[0], qt.Equals, want, qt.Commentf("turn %d", n))
		last = want
	}
}

func TestGateEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := queuer.NewGate(1)
		job := func(deadline time.Duration) queuer.Job {
			return queuer.Job{Kind: "a", Aim: gate.Now() + deadline, Deadline: gate.Now() + deadline}
		}
		first, refusal := gate.Acquire(t.Context(), job(time.Second))
		qt.Assert(t, refusal, qt.IsNil)
		begun := time.Now()
		_, refusal = gate.Acquire(t.Context(), job(300*ms))
		qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonDeadline)
		qt.Assert(t, time.Since(begun), qt.Equals, 200*ms)
		ctx, cancel := context.WithTimeout(t.Context(), 10*ms)
		defer cancel()
		_, refusal = gate.Acquire(ctx, job(time.Second))
		qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonCanceled)
		turn := make(chan *queuer.Slot)
		go func() {
			slot, _ := gate.Acquire(t.Context(), job(time.Second))
			turn <- slot
		}()
		synctest.Wait()
		qt.Assert(t, gate.Work().Waiting, qt.Equals, 1)
		first.Release(true)
		first.Release(true)
		second := <-turn
		qt.Assert(t, second, qt.Not(qt.IsNil))
		qt.Assert(t, gate.Work().Running, qt.Equals, 1)
		second.Release(false)
		qt.Assert(t, gate.Work().Running, qt.Equals, 0)
	})
}

// A server turns slow and answers nothing in time. After a few requests whoever
// could only wait for it in vain is refused at once.
func TestSlowServerIsNoticedWithoutAnswers(t *testing.T) {
	queue := queuer.NewQueue(6)
	offer := func(now time.Duration) (*queuer.Entry, *queuer.Refusal) {
		return queue.Offer(now, queuer.Job{Kind: "finding", Aim: now + 400*ms, Deadline: now + time.Second})
	}
	now := time.Duration(0)
	for range 20 {
		entry, refusal := offer(now)
		qt.Assert(t, refusal, qt.IsNil)
		now += 120 * ms
		queue.Done(now, entry, true)
	}
	lost := 0
	for range 40 {
		entry, refusal := offer(now)
		if refusal != nil {
			break
		}
		lost++
		now += time.Second
		queue.Done(now, entry, false)
	}
	qt.Assert(t, queue.Cost("finding") > 400*ms, qt.IsTrue, qt.Commentf("%s", queue.Cost("finding")))
	for range 6 {
		_, _ = offer(now)
	}
	_, refusal := offer(now)
	qt.Assert(t, refusal, qt.IsNotNil)
}

// Totals tell how much of the slots was in use, and what became of the jobs.
func TestTotals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := queuer.NewGate(2)
		job := queuer.Job{Kind: "find", Aim: time.Second, Deadline: time.Second}
		first, refusal := gate.Acquire(t.Context(), job)
		qt.Assert(t, refusal, qt.IsNil)
		time.Sleep(time.Second)
		first.Release(true)
		second, refusal := gate.Acquire(t.Context(), queuer.Job{Kind: "find", Aim: 3 * time.Second, Deadline: 3 * time.Second})
		qt.Assert(t, refusal, qt.IsNil)
		_, refusal = gate.Acquire(t.Context(), job)
		qt.Assert(t, refusal, qt.IsNotNil)
		earlier := gate.Totals()
		time.Sleep(time.Second)
		second.Release(false)
		qt.Assert(t, earlier, qt.Equals, queuer.Totals{Busy: time.Second, Open: 2 * time.Second, Offered: 3, Refused: 1, Served: 1})
		qt.Assert(t, gate.Totals().Since(earlier), qt.Equals, queuer.Totals{Busy: time.Second, Open: 2 * time.Second})
	})
}
