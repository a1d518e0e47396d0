package supervisor_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// loggedHarness returns a harness whose supervisor logs, and a function that ends
// the log and returns its lines with an event number.
func loggedHarness(t *testing.T, set *metrics.Set) (*harness, func(event logger.Event) []map[string]any) {
	var output bytes.Buffer
	log := logger.New(&output, logger.FormatJSON, "control", "c1")
	h := newHarness(t)
	h.machine = supervisor.New(supervisor.Options{Cluster: "test", Log: log, Metrics: set})
	configureRanges(h)
	return h, func(event logger.Event) []map[string]any {
		log.Close()
		var found []map[string]any
		for line := range strings.Lines(output.String()) {
			var fields map[string]any
			qt.Assert(t, json.Unmarshal([]byte(line), &fields), qt.IsNil)
			if fields["event"] == float64(event.Number) {
				found = append(found, fields)
			}
		}
		return found
	}
}

// pieces are how many ranges each of two servers gets at first.
const pieces = 12

// freeAll reports all ranges of a router as free with its next heartbeat.
func (r *rangedRouter) freeAll() {
	for _, row := range r.rows() {
		r.heartbeat.Freed = append(r.heartbeat.Freed, messenger.RangeRef{Service: row.Service, From: row.From, To: row.To, Fence: row.Fence})
	}
	r.send()
	r.heartbeat.Freed = nil
}

// The lines of a decision must tell it from others: which server took keys under
// which fence, with which server in which state keys were reported free, for how
// long a session was silent, and which processes of a router had one session.
func TestRangeDecisionsAreLogged(t *testing.T) {
	type fields = map[string]any
	tests := []struct {
		name  string
		run   func(h *harness, a, b *rangedRouter)
		event logger.Event
		// index is the number of the line, first its first range.
		index int
		first string
		want  fields
	}{
		{
			name:  "first grant",
			run:   func(*harness, *rangedRouter, *rangedRouter) {},
			event: logger.RangeOwnerChanged, index: 1, first: "2731-5460",
			want: fields{
				"service": "findings", "session": 3.0, "router": "r2", "server": "s2", "born": 2.0, "fence": 4.0,
				"count": 1.0 * pieces, "keys": 32768.0, "handovers": 0.0, "why": "placed by slots",
			},
		},
		{
			name: "server restarted before its keys were reported free",
			run: func(h *harness, a, b *rangedRouter) {
				a.heartbeat.Server = &messenger.ServerRow{Name: "s1-again", Service: "findings", Slots: 6, Born: 9}
				a.heartbeat.State = messenger.ServerDown
				a.freeAll()
				a.send()
				runRanged(h, 300*time.Millisecond, a, b)
			},
			event: logger.RangesReportedFree, first: "0-2730 fence 4 born 1",
			want: fields{
				"service": "findings", "session": 2.0, "router": "r1", "server": "s1-again", "born": 9.0, "state": "down",
				"count": 1.0 * pieces, "keys": 32768.0,
			},
		},
		{
			name: "freed keys of a lost server",
			run: func(h *harness, a, b *rangedRouter) {
				a.heartbeat.State = messenger.ServerDown
				a.freeAll()
				runRanged(h, 300*time.Millisecond, a, b)
			},
			event: logger.RangeOwnerChanged, index: 2, first: "0-2730",
			want: fields{
				"service": "findings", "session": 3.0, "router": "r2", "server": "s2", "born": 2.0, "why": "free",
			},
		},
		{
			name: "handover of a leaving server",
			run: func(h *harness, a, b *rangedRouter) {
				a.heartbeat.Leaving = true
				runRanged(h, 1500*time.Millisecond, a, b)
			},
			event: logger.RangeOwnerChanged, index: 2, first: "0-2730",
			want: fields{"router": "r2", "handovers": 1.0 * pieces, "why": "released by session 2"},
		},
		{
			name: "silent session on a wall clock that stands still",
			run: func(h *harness, a, b *rangedRouter) {
				for range 80 {
					h.now.Wall -= step
					runRanged(h, step, b)
				}
			},
			event: logger.ExpiredSessionClosing,
			want: fields{
				"session": 2.0, "router": "r1", "server": "s1", "born": 1.0,
				"silent_monotonic": "1.65s", "silent_wall": "100ms", "grace_monotonic": "5.25s", "grace_wall": "3.7s",
			},
		},
		{
			name: "restarted router",
			run: func(h *harness, a, b *rangedRouter) {
				restarted := newRanged(h, 1)
				restarted.heartbeat.Instance = 77
				runRanged(h, 600*time.Millisecond, b, restarted)
			},
			event: logger.SessionTakeover,
			want:  fields{"session": 2.0, "router": "r1", "address": "10.0.0.1:1", "instance": 77.0, "previous": 1001.0},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, lines := loggedHarness(t, nil)
			a, b := newRanged(h, 1), newRanged(h, 2)
			runRanged(h, 3700*time.Millisecond, a, b)
			qt.Assert(t, a.keys()+b.keys(), qt.Equals, allKeys)
			test.run(h, a, b)
			found := lines(test.event)
			qt.Assert(t, len(found) > test.index, qt.IsTrue, qt.Commentf("lines: %v", found))
			if test.first != "" {
				qt.Check(t, found[test.index]["ranges"].([]any)[0], qt.Equals, test.first)
			}
			for name, value := range test.want {
				qt.Check(t, found[test.index][name], qt.DeepEquals, value, qt.Commentf(name))
			}
		})
	}
}

// Heartbeats repeat their reports until these are committed. One report must not
// fill the log, however many ranges it has and however often it is repeated.
func TestRepeatedReportOfManyRangesIsOneShortLine(t *testing.T) {
	h, lines := loggedHarness(t, nil)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 4*time.Second, a, b)
	row := a.rows()[0]
	for key := row.From; key < row.From+2000; key++ {
		a.heartbeat.Freed = append(a.heartbeat.Freed, messenger.RangeRef{Service: "findings", From: key, To: key, Fence: row.Fence})
	}
	for range 5 {
		a.send()
	}
	runRanged(h, 900*time.Millisecond, a, b)
	found := lines(logger.RangesReportedFree)
	qt.Assert(t, found, qt.HasLen, 1)
	qt.Check(t, found[0]["ranges"], qt.HasLen, 128)
	qt.Check(t, found[0]["count"], qt.Equals, 2000.0)
	qt.Check(t, found[0]["keys"], qt.Equals, 2000.0)
}

// A replica that does not lead applies the same commands and must not log them as
// decisions.
func TestFollowerLogsNoDecisions(t *testing.T) {
	h, lines := loggedHarness(t, nil)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 900*time.Millisecond, a, b)
	grant := rangeGrant(a.heartbeat.Session)
	h.raftStatus.Leading = false
	h.tick()
	result := h.propose(grant)
	qt.Assert(t, result.Count, qt.Equals, allKeys)
	qt.Check(t, lines(logger.RangeOwnerChanged), qt.HasLen, 0)
}

func TestRangeDecisionsAreCounted(t *testing.T) {
	set := metrics.NewSet()
	h, _ := loggedHarness(t, set)
	a, b := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, 4*time.Second, a, b)
	a.heartbeat.State = messenger.ServerDown
	a.freeAll()
	runRanged(h, 600*time.Millisecond, a, b)
	runRanged(h, 2500*time.Millisecond, b)
	tests := []struct {
		metric string
		want   uint64
	}{
		{metric: "marigold_control_ranges_granted_total", want: 3 * pieces},
		{metric: `marigold_control_ranges_freed_total{state="down"}`, want: pieces},
		{metric: `marigold_control_ranges_freed_total{state="ready"}`, want: 0},
		{metric: "marigold_control_lapses_total", want: 1},
	}
	for _, test := range tests {
		qt.Check(t, set.GetOrCreateCounter(test.metric).Get(), qt.Equals, test.want, qt.Commentf(test.metric))
	}
}

// A decision can concern every router of a large cluster. The lines must be limited,
// and say how many are left out.
func TestLinesOfOneDecisionAreLimited(t *testing.T) {
	h, lines := loggedHarness(t, nil)
	var routers []*rangedRouter
	for n := range 131 {
		routers = append(routers, newRanged(h, n+1))
	}
	runRanged(h, 3*time.Second, routers...)
	runRanged(h, messenger.LeaseDuration+messenger.LeaseMargin+messenger.HeartbeatInterval)
	for _, event := range []logger.Event{logger.RangeOwnerChanged, logger.ExpiredSessionClosing} {
		found := lines(event)
		qt.Assert(t, found, qt.HasLen, 129, qt.Commentf(event.Message))
		qt.Check(t, found[127]["router"], qt.IsNotNil)
		qt.Check(t, found[128]["more"], qt.Equals, 3.0)
	}
}

// Guards against the row of a server that cannot be one, which its router passes on: it must
// reach no other process, and cost no other server anything.
func TestInvalidServerReachesNoOtherRouter(t *testing.T) {
	h, lines := loggedHarness(t, metrics.NewSet())
	odd, sound := newRouter(h, 1, "findings"), newRouter(h, 2, "findings")
	odd.heartbeat.Server.Slots = math.MaxInt
	for range 20 {
		odd.send()
		sound.send()
		h.tick()
	}
	servers := 0
	for _, row := range sound.sessions {
		if row.Server != nil {
			servers++
			qt.Check(t, row.Server.Name, qt.Equals, "s2")
		}
	}
	qt.Check(t, servers, qt.Equals, 1)
	ignored := lines(logger.AnnouncementIgnored)
	qt.Assert(t, len(ignored) > 0, qt.IsTrue)
	qt.Check(t, ignored[0]["server"], qt.Equals, "s1")
}
