package supervisor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

// rangedRouter sends heartbeats like a router whose server owns ranges. It frees
// ranges that move away and applies the map.
type rangedRouter struct {
	h         *harness
	heartbeat messenger.Heartbeat
	maps      *mapper.Mapper
}

func newRanged(h *harness, number int) *rangedRouter {
	r := &rangedRouter{h: h, heartbeat: newRouter(h, number, "findings").heartbeat, maps: mapper.New()}
	r.heartbeat.Routed, r.heartbeat.Sole = true, true
	server := *r.heartbeat.Server
	server.Born = int64(number)
	r.heartbeat.Server = &server
	return r
}

func (r *rangedRouter) send() *messenger.HeartbeatResponse {
	r.heartbeat.Sequence++
	heartbeat := r.heartbeat
	heartbeat.Revision = r.maps.Load().Revision
	for _, row := range r.rows() {
		if row.Phase == messenger.PhaseMoving {
			heartbeat.Freed = append(heartbeat.Freed, messenger.RangeRef{Service: "findings", From: row.From, To: row.To, Fence: row.Fence, Handover: "warm"})
		}
	}
	response := r.h.request(&heartbeat).(*messenger.HeartbeatResponse)
	if response.Status == messenger.HeartbeatRenewed {
		r.heartbeat.Session = response.Session
		if response.Delta != nil {
			qt.Assert(r.h.t, r.maps.Apply(response.Delta), qt.IsNil)
		}
	}
	return response
}

func (r *rangedRouter) rows() []messenger.RangeRow {
	return r.maps.Load().OwnedRanges("findings", r.heartbeat.Session)
}

func (r *rangedRouter) keys() int {
	count := 0
	for _, row := range r.rows() {
		count += int(row.To-row.From) + 1
	}
	return count
}

// runRanged advances the time while routers send a heartbeat every 300 ms.
func runRanged(h *harness, length time.Duration, routers ...*rangedRouter) {
	for passed := time.Duration(0); passed < length; passed += step {
		if passed%messenger.HeartbeatInterval == 0 {
			for _, router := range routers {
				router.send()
			}
		}
		h.tick()
	}
	h.commit()
}

func rangedHarness(t *testing.T) *harness {
	h := newHarness(t)
	configureRanges(h)
	return h
}

// configureRanges configures a service that is partitioned by ranges.
func configureRanges(h *harness) {
	h.propose(assigner.Command{Configure: &assigner.Configure{Configuration: messenger.Configuration{
		Version: 1, Services: []messenger.RoutedService{{Name: "findings", Ranged: true}},
	}, Source: []byte("text")}})
}

// rangeGrant returns a grant of all keys to a session.
func rangeGrant(session uint64) assigner.Command {
	return assigner.Command{GrantRanges: &assigner.GrantRanges{
		Service: "findings", Placements: []assigner.RangePlacement{{Session: session, To: messenger.LastKey}},
	}}
}

const allKeys = messenger.LastKey + 1

func TestRangesAreGrantedOnceServersJoined(t *testing.T) {
	h := rangedHarness(t)
	a, b, c := newRanged(h, 1), newRanged(h, 2), newRanged(h, 3)
	runRanged(h, 900*time.Millisecond, a)
	// The others join a moment later. No range may be granted before.
	qt.Assert(t, a.keys(), qt.Equals, 0)
	runRanged(h, 4*time.Second, a, b, c)
	qt.Assert(t, a.keys()+b.keys()+c.keys(), qt.Equals, allKeys)
	for _, router := range []*rangedRouter{a, b, c} {
		qt.Check(t, router.keys() > allKeys/4, qt.IsTrue, qt.Commentf("%d keys", router.keys()))
	}
	response, ok := h.request(supervisor.ConfigurationQuery{}).(*supervisor.ConfigurationResponse)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, string(response.Source), qt.Equals, "text")
}

func TestRangesOfLeavingRouterAreHandedOver(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 4*time.Second, a, b)
	a.heartbeat.Leaving = true
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

// The ranges of a router without heartbeats stay until its lease has certainly
// expired.
func TestRangesOfLostRouterMoveAfterItsLease(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 4*time.Second, a, b)
	before := b.keys()
	runRanged(h, messenger.LeaseDuration, b)
	qt.Assert(t, b.keys(), qt.Equals, before)
	runRanged(h, time.Second, b)
	qt.Assert(t, b.keys(), qt.Equals, allKeys)
}

func TestRestartedRouterKeepsItsRanges(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	session, keys := a.heartbeat.Session, a.keys()
	restarted := newRanged(h, 1)
	restarted.heartbeat.Instance = 77
	restarted.heartbeat.Server, restarted.heartbeat.State = nil, messenger.ServerAbsent
	runRanged(h, 300*time.Millisecond, b, restarted)
	restarted.heartbeat.Server, restarted.heartbeat.State = a.heartbeat.Server, messenger.ServerReady
	runRanged(h, 900*time.Millisecond, b, restarted)
	qt.Assert(t, restarted.heartbeat.Session, qt.Equals, session)
	qt.Assert(t, restarted.keys(), qt.Equals, keys)
	qt.Assert(t, a.send().Status, qt.Equals, messenger.HeartbeatExpired)
	// Heartbeats of the new process are used although their sequence starts again.
	restarted.heartbeat.Leaving = true
	runRanged(h, 1500*time.Millisecond, b, restarted)
	qt.Assert(t, restarted.keys(), qt.Equals, 0)
	// A process that does not listen at the address does not replace the earlier
	// one.
	other := newRanged(h, 2)
	other.heartbeat.Instance, other.heartbeat.Sole = 78, false
	qt.Assert(t, other.send().Status, qt.Equals, messenger.HeartbeatWait)
}

// restart returns the next process of a router, whose backend server went on running.
func (r *rangedRouter) restart() *rangedRouter {
	next := &rangedRouter{h: r.h, heartbeat: r.heartbeat, maps: mapper.New()}
	next.heartbeat.Instance++
	next.heartbeat.Session, next.heartbeat.Sequence = 0, 0
	next.heartbeat.Leaving, next.heartbeat.Close = false, false
	return next
}

// A heartbeat of a process that is being replaced may arrive late. The keys that it
// reports as free may be granted to the backend server again by the next process.
func TestReplacedProcessFreesNoKeys(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	rows := fmt.Sprint(a.rows())
	restarted := a.restart()
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatWait)
	for _, row := range a.rows() {
		a.heartbeat.Freed = append(a.heartbeat.Freed, messenger.RangeRef{Service: "findings", From: row.From, To: row.To, Fence: row.Fence})
	}
	qt.Check(t, a.send().Status, qt.Equals, messenger.HeartbeatExpired)
	// The session is adopted, and the next process works by its table before what the
	// late heartbeat caused is committed.
	h.apply(h.pending[0])
	h.pending = h.pending[1:]
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, fmt.Sprint(restarted.rows()), qt.Equals, rows)
	h.commit()
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, fmt.Sprint(restarted.rows()), qt.Equals, rows)
}

// A late heartbeat with which a replaced process opened its session must not take the
// session from the process that runs.
func TestReplacedProcessTakesNoSession(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	restarted := a.restart()
	runRanged(h, 900*time.Millisecond, b, restarted)
	session := restarted.heartbeat.Session
	qt.Assert(t, session, qt.Equals, a.heartbeat.Session)
	a.heartbeat.Session = 0
	a.send()
	h.commit()
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, restarted.heartbeat.Session, qt.Equals, session)
}

// A router whose session ended locally no longer knows which keys it reported as free.
// When it resumes the session, its table must not contain them any more.
func TestResumedSessionOwnsNoFreedKeys(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	session, freed := a.heartbeat.Session, a.rows()[0]
	a.heartbeat.Freed = []messenger.RangeRef{{Service: "findings", From: freed.From, To: freed.To, Fence: freed.Fence}}
	a.send()
	a.heartbeat.Session, a.heartbeat.Freed = 0, nil
	qt.Assert(t, a.send().Status, qt.Equals, messenger.HeartbeatWait)
	h.commit()
	qt.Assert(t, a.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, a.heartbeat.Session, qt.Equals, session)
	for _, row := range a.rows() {
		qt.Check(t, row.From > freed.To || row.To < freed.From, qt.IsTrue, qt.Commentf("%+v", row))
	}
}

// A process that stops before the backend server has announced itself does not know the
// keys that the server holds under the session it resumed. Its session must not be
// closed while it owns keys: they become free when its lease has expired.
// TestResumingHeartbeatOwnsNoneOfTheKeysItFrees resumes a session with a heartbeat that
// reports keys as free. The answer must not contain them: the router would grant them
// again, under the fence that it gives up.
func TestResumingHeartbeatOwnsNoneOfTheKeysItFrees(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	freed := a.rows()[0]
	session := a.heartbeat.Session
	a.heartbeat.Session = 0
	a.heartbeat.Freed = []messenger.RangeRef{{Service: "findings", From: freed.From, To: freed.To, Fence: freed.Fence}}
	qt.Check(t, a.send().Status, qt.Equals, messenger.HeartbeatWait)
	a.heartbeat.Freed = nil
	h.commit()
	qt.Check(t, a.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	qt.Check(t, a.heartbeat.Session, qt.Equals, session)
	for _, row := range a.rows() {
		qt.Check(t, row.From > freed.To || row.To < freed.From || row.Fence > freed.Fence, qt.IsTrue, qt.Commentf("%+v", row))
	}
}

func TestClosingProcessFreesNoHeldKeys(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	keys := b.keys()
	restarted := a.restart()
	restarted.heartbeat.Server, restarted.heartbeat.State = nil, messenger.ServerAbsent
	runRanged(h, 600*time.Millisecond, b, restarted)
	restarted.heartbeat.Close, restarted.heartbeat.Leaving = true, true
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	runRanged(h, messenger.LeaseDuration, b)
	qt.Assert(t, b.keys(), qt.Equals, keys)
	runRanged(h, time.Second, b)
	qt.Assert(t, b.keys(), qt.Equals, allKeys)
}

// A process whose keys have all moved away closes its session at once.
func TestClosingProcessWithoutKeysEndsItsSession(t *testing.T) {
	h := rangedHarness(t)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 9*time.Second, a, b)
	a.heartbeat.Leaving = true
	runRanged(h, 1500*time.Millisecond, a, b)
	qt.Assert(t, a.keys(), qt.Equals, 0)
	a.heartbeat.Close = true
	qt.Assert(t, a.send().Status, qt.Equals, messenger.HeartbeatExpired)
	h.commit()
	restarted := a.restart()
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatWait)
	h.commit()
	qt.Assert(t, restarted.send().Status, qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, restarted.heartbeat.Session, qt.Not(qt.Equals), a.heartbeat.Session)
}

// reportWork reports requests spread over the keys of a router, and how many
// failed.
func (r *rangedRouter) reportWork(requests, failed uint64) {
	report := &messenger.RangeLoadReport{Span: messenger.HeartbeatInterval, Judged: requests, Failed: failed}
	report.Finished, report.Busy = requests, time.Duration(requests)*5*time.Millisecond
	for _, row := range r.rows() {
		report.Loads = append(report.Loads, messenger.RangeLoad{
			From: row.From, To: row.To, Arrivals: requests * uint64(row.To-row.From+1) / uint64(max(r.keys(), 1)),
		})
	}
	r.heartbeat.Work = report
	if len(report.Loads) == 0 {
		r.heartbeat.Work = nil
	}
}

// A server that passes its health check but fails its requests loses its keys, and
// gets some again after a while.
func TestRangesOfFailingServerMove(t *testing.T) {
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
				router.reportWork(600, failed)
			}
			runRanged(h, messenger.HeartbeatInterval, routers...)
			if first < 0 && (routers[0].keys() == 0) == (until > 0) {
				first = passed
			}
		}
		return first
	}
	gone := serve(2*time.Second, time.Hour)
	qt.Assert(t, gone >= 0 && gone <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("keys moved away after %v", gone))
	back := serve(12*time.Second, 0)
	qt.Assert(t, back >= 2*time.Second && back <= 8*time.Second, qt.IsTrue, qt.Commentf("keys returned after %v", back))
}

// reportRates reports the load on the keys of a router, for a given number of
// requests per second for each key.
func (r *rangedRouter) reportRates(rate func(key uint32) float64) float64 {
	// A router reports with every second heartbeat.
	span := 2 * messenger.HeartbeatInterval
	report := &messenger.RangeLoadReport{Span: span}
	sum := 0.0
	const keysPerLoad = 64
	for _, row := range r.rows() {
		for from := row.From; from <= row.To; from += keysPerLoad {
			to := min(from+keysPerLoad-1, row.To)
			arrivals := 0.0
			for key := from; key <= to; key++ {
				arrivals += rate(key)
			}
			sum += arrivals
			report.Loads = append(report.Loads, messenger.RangeLoad{From: from, To: to, Arrivals: uint64(arrivals * span.Seconds())})
		}
	}
	report.Finished = uint64(sum * span.Seconds())
	report.Busy = time.Duration(float64(report.Finished) * float64(150*time.Millisecond))
	r.heartbeat.Work = report
	return sum
}

// A third of all requests moves to keys that lie close together, and a moment after
// these were redistributed, to other such keys for four seconds. The load must be
// even again within half of that time.
func TestHotKeysAreRebalancedInTime(t *testing.T) {
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
	runRates := func(length time.Duration, rate func(key uint32) float64) (evenAfter time.Duration) {
		evenAfter = -1
		for passed := time.Duration(0); passed < length; passed += 2 * messenger.HeartbeatInterval {
			most, sum := 0.0, 0.0
			for _, router := range routers {
				load := router.reportRates(rate)
				most, sum = max(most, load), sum+load
			}
			switch mean := sum / float64(len(routers)); {
			case most > 1.25*mean:
				evenAfter = -1
			case evenAfter < 0:
				evenAfter = passed
			}
			runRanged(h, messenger.HeartbeatInterval, routers...)
			for _, router := range routers {
				router.heartbeat.Work = nil
			}
			runRanged(h, messenger.HeartbeatInterval, routers...)
		}
		return evenAfter
	}
	runRates(4*time.Second, func(uint32) float64 { return total / allKeys })
	runRates(1200*time.Millisecond, hotFrom(30_000))
	evenAfter := runRates(4*time.Second, hotFrom(10_000))
	qt.Assert(t, evenAfter >= 0 && evenAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("load is even after %v", evenAfter))
}
