package estimator_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/pacer"
	"marigoldhill/router/estimator"
	"marigoldhill/router/queuer"
)

const (
	ms = time.Millisecond
	// segmentPayload and segmentHeader are the sizes in bytes of a full TCP segment and of
	// its headers.
	segmentPayload = 1448
	segmentHeader  = 52
)

// load is a load on a backend server and the link of its VM.
type load struct {
	linkRate float64 // bytes per second
	slots    int
	work     time.Duration
	size     float64 // mean size of an answer in bytes
	spread   float64
	rate     float64 // requests per second
	// otherRate is the rate of answers that the entry router of the VM passes to callers.
	otherRate float64
	// urgent is the share of the requests that have a lower rank than the others.
	urgent   float64
	duration time.Duration
	aim      time.Duration
	deadline time.Duration
}

// fullLink is the load of the fast servers described in docs/design/link.md.
var fullLink = load{
	linkRate: 490e3, slots: 6, work: 55 * ms, size: 5e3, spread: 0.6, rate: 120,
	duration: 10 * time.Second, aim: 400 * ms, deadline: 2500 * ms,
}

// with returns a copy of l that change was applied to.
func (l load) with(change func(l *load)) load {
	change(&l)
	return l
}

// result counts the outcomes of a load.
type result struct {
	arrived, inTime, late, refused int
	// lost answers were ready but arrived after the deadline of their request.
	lost int
	// urgent and urgentInTime count the requests of the lower rank.
	urgent, urgentInTime int
	// limited counts the requests refused for the link.
	limited int
	// backlog is the largest backlog of the link.
	backlog time.Duration
}

// request is a request in a replay.
type request struct {
	at    time.Duration
	work  time.Duration
	size  int
	rank  int
	entry *queuer.Entry
}

// link sends what is written to it, first in, first out. It counts the headers of segments,
// which the account of a process does not see.
type link struct {
	rate     float64
	idleAt   time.Duration
	counted  time.Duration
	written  uint64
	paced    uint64
	capacity float64
}

// send returns when the last byte of an answer has been sent.
func (l *link) send(now time.Duration, size int) time.Duration {
	wire := size + (size+segmentPayload-1)/segmentPayload*segmentHeader
	l.idleAt = max(l.idleAt, now) + time.Duration(float64(wire)/l.rate*float64(time.Second))
	l.counted = max(l.counted, now) + time.Duration(float64(size)/l.capacity*float64(time.Second))
	l.written += uint64(size)
	if size > 8<<10 {
		l.paced += uint64(size)
	}
	return l.idleAt
}

func (l *link) load(now time.Duration) pacer.Load {
	return pacer.Load{Backlog: max(l.counted-now, 0), Written: l.written, Paced: l.paced}
}

// replay runs a load through a queue and a link, in steps of a millisecond. With estimates,
// the expected delay of the answers takes part in admission.
func replay(seed uint64, l load, estimated bool) result {
	random := rand.New(rand.NewPCG(seed, 1))
	link := &link{rate: l.linkRate, capacity: pacer.NewBucket(l.linkRate).Rate()}
	estimates := estimator.New(link.capacity)
	queue := queuer.NewQueue(l.slots)
	requests := make(map[*queuer.Entry]*request)
	var running []*request
	var outcome result
	size := func() int {
		return int(l.size * math.Exp(l.spread*random.NormFloat64()-l.spread*l.spread/2))
	}
	jobOf := func(now time.Duration, r *request, queued bool) queuer.Job {
		job := queuer.Job{Kind: "lookup", Rank: r.rank, Aim: r.at + l.aim, Deadline: r.at + l.deadline}
		if estimated {
			estimates.Observe(now, link.load(now))
			job.Delay = estimates.Delay(now, link.load(now), estimator.Answer{Route: job.Kind, Rank: r.rank, Queued: queued, After: queue.Cost(job.Kind)})
		}
		return job
	}
	var start func(now time.Duration, entries []*queuer.Entry)
	start = func(now time.Duration, entries []*queuer.Entry) {
		for _, entry := range entries {
			r := requests[entry]
			estimates.Leave(r.rank, "lookup")
			if jobOf(now, r, false).CheckDelay(now, 0, queue.Cost("lookup")) != nil {
				outcome.refused++
				outcome.limited++
				start(now, queue.Done(now, entry, false))
				continue
			}
			estimates.Start("lookup")
			r.entry, r.work = entry, r.work+now
			running = append(running, r)
		}
	}
	for now := time.Duration(0); now < l.duration+5*time.Second; now += ms {
		slices.SortFunc(running, func(a, b *request) int { return cmp.Compare(a.work, b.work) })
		for len(running) > 0 && running[0].work <= now {
			r := running[0]
			running = running[1:]
			estimates.End("lookup")
			estimates.Record(now, "lookup", int64(r.size))
			switch arrived := link.send(now, r.size) - r.at; {
			case arrived <= l.aim:
				outcome.inTime++
				if r.rank == 1 {
					outcome.urgentInTime++
				}
			case arrived <= l.deadline:
				outcome.late++
			default:
				outcome.lost++
			}
			start(now, queue.Done(now, r.entry, true))
		}
		for _, entry := range queue.RemoveLate(now) {
			estimates.Leave(requests[entry].rank, "lookup")
			outcome.refused++
		}
		if now < l.duration && random.Float64() < l.otherRate/1000 {
			link.send(now, size())
		}
		outcome.backlog = max(outcome.backlog, link.idleAt-now)
		if now >= l.duration || random.Float64() >= l.rate/1000 {
			continue
		}
		outcome.arrived++
		r := &request{at: now, work: time.Duration(float64(l.work) * math.Exp(0.3*random.NormFloat64())), size: size(), rank: 2}
		if random.Float64() < l.urgent {
			r.rank = 1
			outcome.urgent++
		}
		estimates.Arrive(now, r.rank, "lookup")
		job := jobOf(now, r, true)
		before, _, _ := queue.Load()
		entry, refusal := queue.Offer(now, job)
		if refusal != nil {
			outcome.refused++
			if refusal.Link {
				outcome.limited++
			}
			continue
		}
		requests[entry] = r
		estimates.Wait(r.rank, "lookup")
		if after, _, _ := queue.Load(); after > before {
			start(now, []*queuer.Entry{entry})
		}
	}
	return outcome
}

// add adds the counts of another result.
func (r *result) add(other result) {
	r.arrived += other.arrived
	r.inTime += other.inTime
	r.late += other.late
	r.lost += other.lost
	r.urgent += other.urgent
	r.urgentInTime += other.urgentInTime
	r.refused += other.refused
	r.limited += other.limited
	r.backlog = max(r.backlog, other.backlog)
}

// replaySeeds returns the sum of ten runs of a load.
func replaySeeds(l load, estimated bool) result {
	var sum result
	for seed := range uint64(10) {
		sum.add(replay(seed, l, estimated))
	}
	return sum
}

// inTimeShare returns the share of the requests whose answers arrived within the aim.
func (r result) inTimeShare() float64 {
	return float64(r.inTime) / float64(r.arrived)
}

func (r result) log(t *testing.T, name string) {
	share := func(count int) float64 { return 100 * float64(count) / float64(r.arrived) }
	t.Logf("%s: within the aim %.1f%%, late %.1f%%, lost after they ran %.1f%%, refused %.1f%% (for the link %.1f%%), largest backlog %s",
		name, share(r.inTime), share(r.late), share(r.lost), share(r.refused), share(r.limited), r.backlog.Round(ms))
}

// Guards against servers that run requests whose answers the link of their VM can't deliver
// in time: by slots alone most answers miss the aim, and those of a longer load, or beside
// the answers that the VM's entry router passes on, arrive after their callers have left.
func TestFullLink(t *testing.T) {
	tests := []struct {
		name string
		load load
		// atLeast is the least share within the aim, lost whether answers are lost by
		// slots alone.
		atLeast float64
		lost    bool
	}{
		{name: "10 s", load: fullLink, atLeast: 0.75},
		{name: "30 s", load: fullLink.with(func(l *load) { l.duration = 30 * time.Second }), atLeast: 0.75, lost: true},
		// 40 of 93 answers per second that fit the link belong to other servers.
		{name: "10 s beside 40 answers per second", load: fullLink.with(func(l *load) { l.otherRate = 40 }), atLeast: 0.38, lost: true},
	}
	for _, test := range tests {
		bySlots, byLink := replaySeeds(test.load, false), replaySeeds(test.load, true)
		bySlots.log(t, test.name+", by slots")
		byLink.log(t, test.name+", by slots and link")
		qt.Check(t, bySlots.inTimeShare() < 0.2, qt.IsTrue, qt.Commentf("%s: %+v", test.name, bySlots))
		qt.Check(t, bySlots.lost > 0, qt.Equals, test.lost, qt.Commentf(test.name))
		qt.Check(t, byLink.inTimeShare() >= test.atLeast, qt.IsTrue, qt.Commentf("%s: %+v", test.name, byLink))
		qt.Check(t, byLink.lost, qt.Equals, 0, qt.Commentf(test.name))
		qt.Check(t, byLink.backlog < 2*test.load.aim, qt.IsTrue, qt.Commentf("%s: %s", test.name, byLink.backlog))
	}
}

// Guards against refusals for a link that has room: the outcome is the same as by slots
// alone.
func TestLinkWithRoom(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{name: "60% of the link", load: fullLink.with(func(l *load) { l.rate = 57 })},
		{name: "75% of the link", load: fullLink.with(func(l *load) { l.rate = 70 })},
		{name: "1,000 Mbit/s", load: fullLink.with(func(l *load) { l.linkRate = 125e6 })},
		{name: "slots are the bottleneck", load: fullLink.with(func(l *load) { l.work, l.rate = 150*ms, 60 })},
	}
	for _, test := range tests {
		bySlots, byLink := replaySeeds(test.load, false), replaySeeds(test.load, true)
		byLink.log(t, test.name)
		qt.Check(t, byLink, qt.Equals, bySlots, qt.Commentf(test.name))
	}
}

// Guards against a full link that is shared by all ranks alike: the more urgent requests
// keep most of their answers, the others give way.
func TestUrgentRequestsOfAFullLink(t *testing.T) {
	byLink := replaySeeds(fullLink.with(func(l *load) { l.urgent = 0.3 }), true)
	byLink.log(t, "30% urgent")
	urgent := float64(byLink.urgentInTime) / float64(byLink.urgent)
	others := float64(byLink.inTime-byLink.urgentInTime) / float64(byLink.arrived-byLink.urgent)
	t.Logf("within the aim: urgent %.1f%%, others %.1f%%", 100*urgent, 100*others)
	qt.Check(t, urgent >= 0.95, qt.IsTrue)
	qt.Check(t, urgent > others, qt.IsTrue)
}
