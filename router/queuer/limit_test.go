package queuer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/queuer"
)

// limitResult counts the outcomes of a load under a limit.
type limitResult struct {
	kinds  map[string]*kindResult
	starts []time.Duration
}

// simulateLimit runs a load through a queue under a limit, in steps of a millisecond.
func simulateLimit(limit float64, arrivals []arrival) limitResult {
	queue := queuer.NewQueue(6)
	queue.SetLimit(0, limit)
	result := limitResult{kinds: make(map[string]*kindResult)}
	arrivalOf := make(map[*queuer.Entry]arrival)
	ends := make(map[*queuer.Entry]time.Duration)
	for now := time.Duration(0); now < 15*time.Second; now += ms {
		started := queue.StartWaiting(now)
		for entry, end := range ends {
			if end > now {
				continue
			}
			delete(ends, entry)
			started = append(started, queue.Done(now, entry, true)...)
			a := arrivalOf[entry]
			switch latency := now - a.at; {
			case latency <= a.kind.aim:
				result.kinds[a.kind.name].inTime++
			case latency <= a.kind.deadline:
				result.kinds[a.kind.name].late++
			default:
				result.kinds[a.kind.name].expired++
			}
		}
		for _, entry := range queue.RemoveLate(now) {
			result.kinds[arrivalOf[entry].kind.name].expired++
		}
		for len(arrivals) > 0 && arrivals[0].at <= now {
			a := arrivals[0]
			arrivals = arrivals[1:]
			if result.kinds[a.kind.name] == nil {
				result.kinds[a.kind.name] = new(kindResult)
			}
			result.kinds[a.kind.name].arrived++
			entry, refusal := queue.Offer(now, queuer.Job{Kind: a.kind.name, Rank: a.kind.rank, Aim: a.at + a.kind.aim, Deadline: a.at + a.kind.deadline})
			if refusal != nil {
				result.kinds[a.kind.name].refused++
				continue
			}
			arrivalOf[entry] = a
			if running, _, _ := queue.Load(); running > len(ends)+len(started) {
				started = append(started, entry)
			}
		}
		for _, entry := range started {
			ends[entry] = now + arrivalOf[entry].work
			result.starts = append(result.starts, now)
		}
	}
	return result
}

// The load is three times what the server takes. The starts stay within the limit in each
// span of four seconds, the urgent kind loses little, less than without ranks, and what is refused is refused on
// arrival.
func TestLimitRefusesOnlyExcess(t *testing.T) {
	const limit = 10.0
	for seed := range uint64(10) {
		result := simulateLimit(limit, generateArrivals(seed, twoKinds, 1))
		// The baseline treats both kinds alike.
		flat := []kind{twoKinds[0], twoKinds[1]}
		flat[0].rank = flat[1].rank
		baseline := simulateLimit(limit, generateArrivals(seed, flat, 1))
		for first, start := range result.starts {
			count := 0
			for _, other := range result.starts[first:] {
				if other-start < 4*time.Second {
					count++
				}
			}
			qt.Assert(t, count <= int(4*limit+limit/2)+1, qt.IsTrue, qt.Commentf("seed %d: %d starts from %s", seed, count, start))
		}
		urgent, other := result.kinds["certificate"], result.kinds["finding"]
		t.Logf("seed %d: certificate %+v, finding %+v", seed, *urgent, *other)
		qt.Check(t, float64(urgent.inTime) >= 0.8*float64(urgent.arrived), qt.IsTrue, qt.Commentf("seed %d: %+v", seed, *urgent))
		qt.Check(t, urgent.inTime > baseline.kinds["certificate"].inTime, qt.IsTrue, qt.Commentf("seed %d: baseline %+v", seed, *baseline.kinds["certificate"]))
		served := urgent.inTime + urgent.late + other.inTime + other.late
		qt.Check(t, float64(served) >= 0.9*10*limit, qt.IsTrue, qt.Commentf("seed %d: %d served", seed, served))
		expired := urgent.expired + other.expired
		qt.Check(t, 20*expired <= urgent.arrived+other.arrived, qt.IsTrue, qt.Commentf("seed %d: %d expired", seed, expired))
	}
}

func TestLimitIsARefusalReason(t *testing.T) {
	queue := queuer.NewQueue(6)
	queue.SetLimit(0, 2)
	job := queuer.Job{Kind: "a", Aim: 300 * ms, Deadline: time.Second}
	_, refusal := queue.Offer(0, job)
	qt.Assert(t, refusal, qt.IsNil)
	_, refusal = queue.Offer(0, job)
	qt.Assert(t, refusal.Reason, qt.Equals, messenger.ReasonLimit)
	// The next start is at 500 ms and the work takes 100 ms.
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 300*ms)
	job.Aim = 700 * ms
	waiting, refusal := queue.Offer(0, job)
	qt.Assert(t, refusal, qt.IsNil)
	delay, waits := queue.NextStart(0)
	qt.Assert(t, waits, qt.IsTrue)
	qt.Assert(t, delay, qt.Equals, 500*ms)
	qt.Assert(t, queue.StartWaiting(delay-ms), qt.HasLen, 0)
	started := queue.StartWaiting(delay)
	qt.Assert(t, started, qt.HasLen, 1)
	qt.Assert(t, started[0], qt.Equals, waiting)
	queue.SetLimit(delay, 0)
	_, refusal = queue.Offer(delay, queuer.Job{Kind: "a", Aim: delay + 300*ms, Deadline: delay + time.Second})
	qt.Assert(t, refusal, qt.IsNil)
}

// A limit is in force from the first response that names it until a response to a later
// request names none.
func TestLimitOfResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := queuer.NewAdmission(6)
		early := time.Now()
		time.Sleep(time.Second)
		limit, none := 4.0, 0.0
		qt.Assert(t, admission.SetLimit(&limit, early), qt.IsTrue)
		qt.Assert(t, admission.SetLimit(&limit, early), qt.IsFalse)
		qt.Assert(t, admission.SetLimit(nil, early), qt.IsFalse)
		qt.Assert(t, admission.Limit(), qt.Equals, limit)
		time.Sleep(time.Second)
		qt.Assert(t, admission.SetLimit(nil, time.Now()), qt.IsTrue)
		qt.Assert(t, admission.Limit(), qt.Equals, 0.0)
		// Some requests are still sent, as only their responses can end the limit.
		qt.Assert(t, admission.SetLimit(&none, time.Now()), qt.IsTrue)
		qt.Assert(t, admission.Limit() > 0, qt.IsTrue)
		admission.ClearLimit()
		qt.Assert(t, admission.Limit(), qt.Equals, 0.0)
	})
}

// Jobs that wait for the limit start when it allows them, without another event.
func TestWaitingForTheLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := queuer.NewAdmission(6)
		limit := 2.0
		admission.SetLimit(&limit, time.Now())
		started := time.Now()
		for n := range 3 {
			slot, refusal := admission.Acquire(context.Background(), queuer.Job{Kind: "a", Aim: admission.Now() + 5*time.Second, Deadline: admission.Now() + 5*time.Second})
			qt.Assert(t, refusal, qt.IsNil)
			qt.Assert(t, time.Since(started).Round(ms), qt.Equals, time.Duration(n)*500*ms)
			slot.Release(true)
		}
		done := make(chan time.Duration)
		go func() {
			_, _ = admission.Acquire(context.Background(), queuer.Job{Kind: "a", Aim: admission.Now() + 5*time.Second, Deadline: admission.Now() + 5*time.Second})
			done <- time.Since(started)
		}()
		synctest.Wait()
		// A limit that ends lets waiting jobs start at once.
		admission.ClearLimit()
		qt.Assert(t, (<-done).Round(ms), qt.Equals, time.Second)
	})
}
