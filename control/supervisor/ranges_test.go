package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

// rangedRouter sends heartbeats as a router does whose server holds ranges. It
// frees what moves away and follows the map.
type rangedRouter struct {
	h    *harness
	beat messenger.Heartbeat
	maps *mapper.Mapper
}

func newRanged(h *harness, number int) *rangedRouter {
	r := &rangedRouter{h: h, beat: newRouter(h, number, "findings").beat, maps: mapper.New()}
	r.beat.Routed, r.beat.Sole = true, true
	server := *r.beat.Server
	server.Born = int64(number)
	r.beat.Server = &server
	return r
}

func (r *rangedRouter) send() *messenger.HeartbeatAnswer {
	r.beat.Sequence++
	beat := r.beat
	beat.Revision = r.maps.Load().Revision
	for _, row := range r.rows() {
		if row.Phase == messenger.PhaseMoving {
			beat.Freed = append(beat.Freed, messenger.RangeRef{Service: "findings", From: row.From, To: row.To, Fence: row.Fence, Handover: "warm"})
		}
	}
	answer := r.h.ask(&beat).(*messenger.HeartbeatAnswer)
	if answer.Status == messenger.HeartbeatAlive {
		r.beat.Session = answer.Session
		if answer.Delta != nil {
			qt.Assert(r.h.t, r.maps.Apply(answer.Delta), qt.IsNil)
		}
	}
	return answer
}

func (r *rangedRouter) rows() []messenger.RangeRow {
	return r.maps.Load().Owned("findings", r.beat.Session)
}

func (r *rangedRouter) keys() int {
	count := 0
	for _, row := range r.rows() {
		count += int(row.To-row.From) + 1
	}
	return count
}

// runRanged lets time pass while routers send a heartbeat each 300 ms.
func runRanged(h *harness, length time.Duration, routers ...*rangedRouter) {
	for passed := time.Duration(0); passed < length; passed += step {
		if passed%messenger.HeartbeatInterval == 0 {
			for _, router := range routers {
				router.send()
			}
		}
		h.pass()
	}
	h.commit()
}

func rangedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.propose(assigner.Command{Configure: &assigner.Configure{Configuration: messenger.Configuration{
		Version: 1, Services: []messenger.RoutedService{{Name: "findings", Ranged: true}},
	}, Source: []byte("text")}})
	return h
}

const allKeys = messenger.LastKey + 1

func TestRangesAreSharedOutOnce(t *testing.T) {
	h := rangedHarness(t)
	a, b, c := newRanged(h, 1), newRanged(h, 2), newRanged(h, 3)
	runRanged(h, 900*time.Millisecond, a)
	// The others come a moment later; nobody has got anything yet.
	qt.Assert(t, a.keys(), qt.Equals, 0)
	runRanged(h, 4*time.Second, a, b, c)
	qt.Assert(t, a.keys()+b.keys()+c.keys(), qt.Equals, allKeys)
	for _, router := range []*rangedRouter{a, b, c} {
		qt.Check(t, router.keys() > allKeys/4, qt.IsTrue, qt.Commentf("%d keys", router.keys()))
	}
	answer, ok := h.ask(supervisor.ConfigurationQuestion{}).(*supervisor.ConfigurationAnswer)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, string(answer.Source), qt.Equals, "text")
}

func TestRangesOfALeavingRouterAreHandedOver(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 4*time.Second, a, b)
	a.beat.Leaving = true
	runRanged(h, 1500*time.Millisecond, a, b)
	qt.Assert(t, a.keys(), qt.Equals, 0)
	qt.Assert(t, b.keys(), qt.Equals, allKeys)
	handed := 0
	for _, row := range b.rows() {
		if row.Handover == "warm" {
			handed += int(row.To-row.From) + 1
		}
	}
	qt.Assert(t, handed > allKeys/3, qt.IsTrue, qt.Commentf("%d keys came with a handover", handed))
}

// A router that is silent keeps its keys until its lease is over for certain.
func TestRangesOfALostRouterWaitForItsLease(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 4*time.Second, a, b)
	before := b.keys()
	runRanged(h, messenger.LeaseTime, b)
	qt.Assert(t, b.keys(), qt.Equals, before)
	runRanged(h, time.Second, b)
	qt.Assert(t, b.keys(), qt.Equals, allKeys)
}

func TestRestartedRouterKeepsItsRanges(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	session, keys := a.beat.Session, a.keys()
	again := newRanged(h, 1)
	again.beat.Instance = 77
	again.beat.Server, again.beat.State = nil, messenger.ServerAbsent
	runRanged(h, 300*time.Millisecond, b, again)
	again.beat.Server, again.beat.State = a.beat.Server, messenger.ServerReady
	runRanged(h, 900*time.Millisecond, b, again)
	qt.Assert(t, again.beat.Session, qt.Equals, session)
	qt.Assert(t, again.keys(), qt.Equals, keys)
	qt.Assert(t, a.send().Status, qt.Equals, messenger.HeartbeatExpired)
	// What the new process says counts, though its heartbeats are numbered anew.
	again.beat.Leaving = true
	runRanged(h, 1500*time.Millisecond, b, again)
	qt.Assert(t, again.keys(), qt.Equals, 0)
	// One that does not listen at the address proves nothing.
	other := newRanged(h, 2)
	other.beat.Instance, other.beat.Sole = 78, false
	qt.Assert(t, other.send().Status, qt.Equals, messenger.HeartbeatWait)
}

// work reports requests spread over the keys of a router, and how many failed.
func (r *rangedRouter) work(requests, failed uint64) {
	report := &messenger.RangeReport{Span: messenger.HeartbeatInterval, Judged: requests, Failed: failed}
	report.Finished, report.Busy = requests, time.Duration(requests)*5*time.Millisecond
	for _, row := range r.rows() {
		report.Loads = append(report.Loads, messenger.RangeLoad{
			From: row.From, To: row.To, Arrivals: requests * uint64(row.To-row.From+1) / uint64(max(r.keys(), 1)),
		})
	}
	r.beat.Work = report
	if len(report.Loads) == 0 {
		r.beat.Work = nil
	}
}

// A server whose health is good and that fails what it runs loses its keys, and
// gets some again after a while.
func TestRangesOfAFailingServerMove(t *testing.T) {
	h := rangedHarness(t)
	routers := []*rangedRouter{newRanged(h, 1), newRanged(h, 2), newRanged(h, 3), newRanged(h, 4)}
	runRanged(h, 4*time.Second, routers...)
	serve := func(length, until time.Duration) (first time.Duration) {
		first = -1
		for passed := time.Duration(0); passed < length; passed += messenger.HeartbeatInterval {
			for n, router := range routers {
				failed := uint64(0)
				if n == 0 && passed < until {
					failed = 600
				}
				router.work(600, failed)
			}
			runRanged(h, messenger.HeartbeatInterval, routers...)
			if first < 0 && (routers[0].keys() == 0) == (until > 0) {
				first = passed
			}
		}
		return first
	}
	gone := serve(2*time.Second, time.Hour)
	qt.Assert(t, gone >= 0 && gone <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("keys are gone after %v", gone))
	back := serve(12*time.Second, 0)
	qt.Assert(t, back >= 2*time.Second && back <= 8*time.Second, qt.IsTrue, qt.Commentf("keys are back after %v", back))
}

// carry reports the work that callers ask of the keys of a router, with so many
// requests a second for each key.
func (r *rangedRouter) carry(rate func(key uint32) float64) float64 {
	// A router reports with every second heartbeat.
	span := 2 * messenger.HeartbeatInterval
	report := &messenger.RangeReport{Span: span}
	sum := 0.0
	const part = 64
	for _, row := range r.rows() {
		for from := row.From; from <= row.To; from += part {
			to := min(from+part-1, row.To)
			asked := 0.0
			for key := from; key <= to; key++ {
				asked += rate(key)
			}
			sum += asked
			report.Loads = append(report.Loads, messenger.RangeLoad{From: from, To: to, Arrivals: uint64(asked * span.Seconds())})
		}
	}
	report.Finished = uint64(sum * span.Seconds())
	report.Busy = time.Duration(float64(report.Finished) * float64(150*time.Millisecond))
	r.beat.Work = report
	return sum
}

// A third of all requests turns to keys that lie close together, and a moment after
// these were spread to others, for four seconds. The load is even again within half
// of that time.
func TestHotKeysAreLevelledInTime(t *testing.T) {
	h := rangedHarness(t)
	routers := []*rangedRouter{newRanged(h, 1), newRanged(h, 2), newRanged(h, 3), newRanged(h, 4)}
	runRanged(h, 4*time.Second, routers...)
	const (
		total = 40_000 // requests a second, so that rounding is small
		hot   = 256    // keys
	)
	hotFrom := func(first uint32) func(key uint32) float64 {
		return func(key uint32) float64 {
			if key >= first && key < first+hot {
				return total*2.0/3/allKeys + total/3.0/hot
			}
			return total * 2.0 / 3 / allKeys
		}
	}
	play := func(length time.Duration, rate func(key uint32) float64) (level time.Duration) {
		level = -1
		for passed := time.Duration(0); passed < length; passed += 2 * messenger.HeartbeatInterval {
			most, sum := 0.0, 0.0
			for _, router := range routers {
				load := router.carry(rate)
				most, sum = max(most, load), sum+load
			}
			switch mean := sum / float64(len(routers)); {
			case most > 1.25*mean:
				level = -1
			case level < 0:
				level = passed
			}
			runRanged(h, messenger.HeartbeatInterval, routers...)
			for _, router := range routers {
				router.beat.Work = nil
			}
			runRanged(h, messenger.HeartbeatInterval, routers...)
		}
		return level
	}
	play(4*time.Second, func(uint32) float64 { return total / allKeys })
	play(1200*time.Millisecond, hotFrom(30_000))
	level := play(4*time.Second, hotFrom(10_000))
	qt.Assert(t, level >= 0 && level <= 2*time.Second, qt.IsTrue, qt.Commentf("level after %v", level))
}
