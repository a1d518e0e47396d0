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

// kind is a kind of request in a simulated load.
type kind struct {
	name     string
	rank     int
	rate     float64
	work     time.Duration
	aim      time.Duration
	deadline time.Duration
}

// twoKinds is a load of two kinds for 6 slots.
var twoKinds = []kind{
	{name: "certificate", rank: 1, rate: 8, work: 160 * ms, aim: 500 * ms, deadline: 1200 * ms},
	{name: "finding", rank: 2, rate: 22, work: 130 * ms, aim: 400 * ms, deadline: 1000 * ms},
}

// arrival is a request in a simulated load.
type arrival struct {
	at   time.Duration
	work time.Duration
	kind *kind
}

// generateArrivals draws 10 s of random arrivals; from 2 s to 5 s the rate is
// multiplied by burst.
func generateArrivals(seed uint64, kinds []kind, burst float64) []arrival {
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

// kindResult counts the outcomes of the requests of a kind. Expired requests were removed
// from the queue or ended after their deadline.
type kindResult struct {
	arrived, inTime, late, refused, expired int
}

// policy is a queue under test.
type policy interface {
	offer(now time.Duration, a arrival) (entry any, refused bool)
	done(now time.Duration, entry any)
	// started returns the entries started since the last call, expiredEntries those
	// removed without having run.
	started() []any
	expiredEntries(now time.Duration) []any
}

// queuePolicy is the policy of this package.
type queuePolicy struct {
	queue        *queuer.Queue
	newlyStarted []any
}

func (q *queuePolicy) offer(now time.Duration, a arrival) (any, bool) {
	before, _, _ := q.queue.Load()
	entry, refusal := q.queue.Offer(now, queuer.Job{
		Kind: a.kind.name, Rank: a.kind.rank, Aim: now + a.kind.aim, Deadline: now + a.kind.deadline,
	})
	if refusal != nil {
		return nil, true
	}
	if after, _, _ := q.queue.Load(); after > before {
		q.newlyStarted = append(q.newlyStarted, entry)
	}
	return entry, false
}

func (q *queuePolicy) done(now time.Duration, entry any) {
	for _, next := range q.queue.Done(now, entry.(*queuer.Entry), true) {
		q.newlyStarted = append(q.newlyStarted, next)
	}
}

func (q *queuePolicy) started() []any {
	newlyStarted := q.newlyStarted
	q.newlyStarted = nil
	return newlyStarted
}

func (q *queuePolicy) expiredEntries(now time.Duration) []any {
	var expiredEntries []any
	for _, entry := range q.queue.RemoveLate(now) {
		expiredEntries = append(expiredEntries, entry)
	}
	return expiredEntries
}

// fifoPolicy is the baseline: first in, first out, with no refusals before the
// deadline.
type fifoPolicy struct {
	slots        int
	running      int
	waiting      []*fifoEntry
	newlyStarted []any
}

type fifoEntry struct{ deadline time.Duration }

func (f *fifoPolicy) offer(now time.Duration, a arrival) (any, bool) {
	entry := &fifoEntry{deadline: now + a.kind.deadline}
	f.waiting = append(f.waiting, entry)
	f.next()
	return entry, false
}

func (f *fifoPolicy) next() {
	for f.running < f.slots && len(f.waiting) > 0 {
		f.newlyStarted = append(f.newlyStarted, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
}

func (f *fifoPolicy) done(time.Duration, any) {
	f.running--
	f.next()
}

func (f *fifoPolicy) started() []any {
	newlyStarted := f.newlyStarted
	f.newlyStarted = nil
	return newlyStarted
}

func (f *fifoPolicy) expiredEntries(now time.Duration) []any {
	var expiredEntries []any
	for len(f.waiting) > 0 && f.waiting[0].deadline <= now {
		expiredEntries = append(expiredEntries, f.waiting[0])
		f.waiting = f.waiting[1:]
	}
	return expiredEntries
}

type completion struct {
	at    time.Duration
	entry any
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulate runs a load through a policy.
func simulate(p policy, arrivals []arrival) map[string]*kindResult {
	results := make(map[string]*kindResult)
	resultOf := func(a arrival) *kindResult {
		if results[a.kind.name] == nil {
			results[a.kind.name] = new(kindResult)
		}
		return results[a.kind.name]
	}
	arrivalOf := make(map[any]arrival)
	running := new(completions)
	step := func(now time.Duration) {
		for _, entry := range p.expiredEntries(now) {
			resultOf(arrivalOf[entry]).expired++
		}
		for _, entry := range p.started() {
			heap.Push(running, completion{at: now + arrivalOf[entry].work, entry: entry})
		}
	}
	finish := func(until time.Duration) {
		for running.Len() > 0 && (*running)[0].at <= until {
			completed := heap.Pop(running).(completion)
			a := arrivalOf[completed.entry]
			switch latency := completed.at - a.at; {
			case latency <= a.kind.aim:
				resultOf(a).inTime++
			case latency <= a.kind.deadline:
				resultOf(a).late++
			default:
				resultOf(a).expired++
			}
			p.done(completed.at, completed.entry)
			step(completed.at)
		}
	}
	for _, a := range arrivals {
		finish(a.at)
		resultOf(a).arrived++
		entry, refused := p.offer(a.at, a)
		if refused {
			resultOf(a).refused++
			continue
		}
		arrivalOf[entry] = a
		step(a.at)
	}
	finish(time.Hour)
	return results
}

// Guards against overload that makes all requests late, as FIFO does: during a burst
// the queue refuses the excess on arrival, meets more aims than FIFO and keeps at least
// 95% of the urgent kind in time.
func TestBurstRefusesOnlyExcess(t *testing.T) {
	for seed := range uint64(10) {
		arrivals := generateArrivals(seed, twoKinds, 1.9)
		queued := simulate(&queuePolicy{queue: queuer.NewQueue(6)}, arrivals)
		fifo := simulate(&fifoPolicy{slots: 6}, arrivals)
		for _, kind := range []string{"certificate", "finding"} {
			t.Logf("seed %d %s: queue %+v, FIFO %+v", seed, kind, *queued[kind], *fifo[kind])
		}
		urgent, other := queued["certificate"], queued["finding"]
		qt.Check(t, float64(urgent.inTime) >= 0.95*float64(urgent.arrived), qt.IsTrue, qt.Commentf("seed %d: %+v", seed, *urgent))
		qt.Check(t, urgent.inTime+other.inTime > fifo["certificate"].inTime+fifo["finding"].inTime, qt.IsTrue, qt.Commentf("seed %d", seed))
		expiredCount := urgent.expired + other.expired
		qt.Check(t, 20*expiredCount <= urgent.arrived+other.arrived, qt.IsTrue, qt.Commentf("seed %d: %d expired", seed, expiredCount))
	}
}

func TestNormalLoadIsRarelyRefused(t *testing.T) {
	for seed := range uint64(10) {
		results := simulate(&queuePolicy{queue: queuer.NewQueue(6)}, generateArrivals(seed, twoKinds, 1))
		for name, result := range results {
			unserved := result.refused + result.expired
			qt.Check(t, 50*unserved <= result.arrived, qt.IsTrue, qt.Commentf("seed %d %s: %+v", seed, name, *result))
		}
	}
}

func TestRefusesLateJobs(t *testing.T) {
	queue := queuer.NewQueue(1)
	_, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: 10 * ms, Deadline: 20 * ms})
	qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonDeadline)
	first, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: time.Second, Deadline: time.Second})
	qt.Assert(t, refusal, qt.IsNil)
	_, refusal = queue.Offer(0, queuer.Job{Kind: "a", Aim: 150 * ms, Deadline: time.Second})
	qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonQueue)
	// A slot is free after 100 ms and the work takes another 100 ms.
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 50*ms)
	waiting, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: 300 * ms, Deadline: 350 * ms})
	qt.Assert(t, refusal, qt.IsNil)
	qt.Assert(t, queue.RemoveLate(200*ms), qt.HasLen, 0)
	late := queue.RemoveLate(300 * ms)
	qt.Assert(t, late, qt.HasLen, 1)
	qt.Assert(t, late[0], qt.Equals, waiting)
	qt.Assert(t, queue.Done(310*ms, first, true), qt.HasLen, 0)
}

func TestStartOrder(t *testing.T) {
	queue := queuer.NewQueue(1)
	first, _ := queue.Offer(0, queuer.Job{Kind: "a", Aim: time.Second, Deadline: time.Second})
	offer := func(rank int, aim time.Duration) *queuer.Entry {
		entry, refusal := queue.Offer(0, queuer.Job{Kind: "a", Rank: rank, Aim: aim, Deadline: 5 * time.Second})
		qt.Assert(t, refusal, qt.IsNil)
		return entry
	}
	late := offer(2, 350*ms)
	near := offer(2, 700*ms)
	far := offer(2, 900*ms)
	urgent := offer(1, 900*ms)
	running := first
	for n, want := range []*queuer.Entry{urgent, near, far, late} {
		started := queue.Done(time.Duration(n+3)*100*ms, running, false)
		qt.Assert(t, started, qt.HasLen, 1)
		qt.Assert(t, started[0], qt.Equals, want, qt.Commentf("start %d", n))
		running = want
	}
}

func TestAdmissionWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := queuer.NewAdmission(1)
		job := func(deadline time.Duration) queuer.Job {
			return queuer.Job{Kind: "a", Aim: admission.Now() + deadline, Deadline: admission.Now() + deadline}
		}
		first, refusal := admission.Acquire(t.Context(), job(time.Second))
		qt.Assert(t, refusal, qt.IsNil)
		start := time.Now()
		_, refusal = admission.Acquire(t.Context(), job(300*ms))
		qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonDeadline)
		qt.Assert(t, time.Since(start), qt.Equals, 200*ms)
		ctx, cancel := context.WithTimeout(t.Context(), 10*ms)
		defer cancel()
		_, refusal = admission.Acquire(ctx, job(time.Second))
		qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonCanceled)
		acquired := make(chan *queuer.Slot)
		go func() {
			slot, _ := admission.Acquire(t.Context(), job(time.Second))
			acquired <- slot
		}()
		synctest.Wait()
		qt.Assert(t, admission.Work().Waiting, qt.Equals, 1)
		first.Release(true)
		first.Release(true)
		second := <-acquired
		qt.Assert(t, second, qt.Not(qt.IsNil))
		qt.Assert(t, admission.Work().Running, qt.Equals, 1)
		second.Release(false)
		qt.Assert(t, admission.Work().Running, qt.Equals, 0)
	})
}

// Guards against a backend server that becomes so slow that it answers nothing in time
// and so yields no samples of served requests: unanswered requests must raise the
// expected cost as well, so that later requests are refused on arrival.
func TestUnansweredRequestsRaiseCost(t *testing.T) {
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
	unanswered := 0
	for range 40 {
		entry, refusal := offer(now)
		if refusal != nil {
			break
		}
		unanswered++
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

func TestTotals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := queuer.NewAdmission(2)
		job := queuer.Job{Kind: "find", Aim: time.Second, Deadline: time.Second}
		first, refusal := admission.Acquire(t.Context(), job)
		qt.Assert(t, refusal, qt.IsNil)
		time.Sleep(time.Second)
		first.Release(true)
		second, refusal := admission.Acquire(t.Context(), queuer.Job{Kind: "find", Aim: 3 * time.Second, Deadline: 3 * time.Second})
		qt.Assert(t, refusal, qt.IsNil)
		_, refusal = admission.Acquire(t.Context(), job)
		qt.Assert(t, refusal, qt.IsNotNil)
		earlier := admission.Totals()
		time.Sleep(time.Second)
		second.Release(false)
		qt.Assert(t, earlier, qt.Equals, queuer.Totals{BusySlotTime: time.Second, SlotTime: 2 * time.Second, Offered: 3, Refused: 1, Served: 1})
		qt.Assert(t, admission.Totals().Sub(earlier), qt.Equals, queuer.Totals{BusySlotTime: time.Second, SlotTime: 2 * time.Second})
	})
}
