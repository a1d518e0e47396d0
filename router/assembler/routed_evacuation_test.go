package assembler

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/monitor"
)

// fakeGroup is a control group of one replica that knows one session and evacuations.
type fakeGroup struct {
	mu sync.Mutex
	// isCut is set while the group does not answer.
	isCut    bool
	revision uint64
	session  uint64
	changes  map[uint64]messenger.EvacuationRow
}

func (g *fakeGroup) handle(_ context.Context, _ *linker.Link, stream *linker.Stream) {
	g.mu.Lock()
	isCut := g.isCut
	g.mu.Unlock()
	if !isCut {
		_ = linker.Respond(stream, g.respond)
	}
}

func (g *fakeGroup) respond(heartbeat *messenger.Heartbeat) (*messenger.HeartbeatResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if heartbeat.Session == 0 {
		g.session++
	}
	response := &messenger.HeartbeatResponse{Status: messenger.HeartbeatRenewed, Session: g.session, Sequence: heartbeat.Sequence}
	if heartbeat.Revision == g.revision {
		return response, nil
	}
	response.Delta = &messenger.TableDelta{
		Full: heartbeat.Revision == 0, From: heartbeat.Revision, To: g.revision,
		Configuration: &messenger.Configuration{Version: 1, Services: []messenger.RoutedService{{Name: "findings"}}},
	}
	for revision := heartbeat.Revision + 1; revision <= g.revision; revision++ {
		if row, ok := g.changes[revision]; ok {
			response.Delta.Evacuations = append(response.Delta.Evacuations, row)
		}
	}
	return response, nil
}

// change commits an order or its withdrawal.
func (g *fakeGroup) change(isGone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision++
	g.changes[g.revision] = messenger.EvacuationRow{Domain: "a", Since: int64(g.revision), Gone: isGone}
}

func (g *fakeGroup) cut(isCut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = isCut
}

// evacuatedRouter is a whole router process in failure domain a with its backend server.
type evacuatedRouter struct {
	*Routed
	group *fakeGroup
	// received counts the requests at the backend server.
	received atomic.Int64
}

func newEvacuatedRouter(t *testing.T, change func(settings *RoutedSettings)) *evacuatedRouter {
	r := &evacuatedRouter{group: &fakeGroup{revision: 1, changes: make(map[uint64]messenger.EvacuationRow)}}
	simulatedNetwork := disrupter.New(time.Millisecond)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleControl, Name: "c1"}
	control, err := linker.Listen(simulatedNetwork.Node("c1"), "c1:1", linker.Options{Hello: hello, Handler: r.group.handle})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = control.Close() })
	socket, err := simulatedNetwork.Node("r1").Listen("r1:9000")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.received.Add(1)
		w.Header().Set(messenger.HeaderRequestNumber, request.Header.Get(messenger.HeaderRequestNumber))
	})}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	settings := RoutedSettings{
		Version: 1, Cluster: "test", Name: "r1", Domain: "a", Region: "one", Service: "findings", Server: "r1:9000",
		Callers: "r1:8000", Peer: "r1:8001", Backend: "r1:8002", Ready: "r1:8003", ControlPeers: []string{"c1:1"},
		Grace: 6 * time.Second, Budget: budgeter.Settings{Ratio: 0.2, Reserve: 50, Window: 10 * time.Second},
		Evacuation: 5 * time.Second,
	}
	change(&settings)
	r.Routed, err = NewRouted(settings, RoutedOptions{Network: simulatedNetwork.Node("r1"), Log: logger.Discard(), Metrics: metrics.NewSet()})
	qt.Assert(t, err, qt.IsNil)
	announce := func(sequence uint64) {
		r.server.Announce(timer.Now(), monitor.Announcement{
			Row: messenger.ServerRow{Name: "s1", Service: "findings", URL: "r1:9000", Slots: 1, Born: 1}, Sequence: sequence})
	}
	announce(1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for sequence := uint64(2); ctx.Err() == nil; sequence++ {
			time.Sleep(500 * time.Millisecond)
			announce(sequence)
		}
	}()
	qt.Assert(t, r.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, r.Stop(context.Background()), qt.IsNil)
		time.Sleep(time.Second)
	})
	return r
}

// run runs a request without a key at the owner. It returns the reason why it was refused
// and how long that took.
func (r *evacuatedRouter) run(t *testing.T) (messenger.Reason, time.Duration) {
	started := time.Now()
	response, body := r.owner.Run(t.Context(), &messenger.Relay{
		ID: "1", Service: "findings", Route: "find", Method: "GET", Target: "/find/x", Host: "desk", Key: messenger.NoKey, Aim: time.Second, Left: 2 * time.Second,
	}, nil)
	if body != nil {
		_ = body.Close()
	}
	return response.Reason, time.Since(started)
}

// Guards against a router that stops serving, or delays every request, when it is cut off
// from the control group for long, and that misses the order given meanwhile.
func TestCutOffRouterLearnsOfTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuatedRouter(t, func(*RoutedSettings) {})
		time.Sleep(2 * time.Second)
		reason, took := r.run(t)
		qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
		qt.Assert(t, took < 20*time.Millisecond, qt.IsTrue)
		r.group.cut(true)
		held := time.Duration(0)
		for range 100 {
			reason, took := r.run(t)
			qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
			if took > 20*time.Millisecond {
				held += took
			}
			time.Sleep(100 * time.Millisecond)
		}
		qt.Assert(t, held > 0 && held <= evacuator.MaxHold+50*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", held))
		r.group.change(false)
		r.group.cut(false)
		time.Sleep(2 * time.Second)
		received := r.received.Load()
		reason, _ = r.run(t)
		qt.Assert(t, reason, qt.Equals, messenger.ReasonDraining)
		r.group.change(true)
		time.Sleep(time.Second)
		reason, _ = r.run(t)
		qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
		qt.Assert(t, r.received.Load(), qt.Equals, received+1)
	})
}

// A lapse is noticed without requests: the first one after it is not held.
func TestLapseIsNoticedWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuatedRouter(t, func(*RoutedSettings) {})
		time.Sleep(2 * time.Second)
		r.group.cut(true)
		time.Sleep(10 * time.Second)
		reason, took := r.run(t)
		qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
		qt.Assert(t, took < 20*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", took))
		r.group.cut(false)
		time.Sleep(time.Second)
	})
}

// Guards against a router whose VM was suspended and that sends the requests which arrive
// then before it knows of the order. Its keeper opens a session anew.
func TestSuspendedRouterSendsNothingBeforeItsFirstDelta(t *testing.T) {
	for _, isOrdered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newEvacuatedRouter(t, func(*RoutedSettings) {})
			time.Sleep(2 * time.Second)
			r.group.mu.Lock()
			session := r.group.session
			r.group.mu.Unlock()
			want := messenger.ReasonNone
			if isOrdered {
				r.group.change(false)
				want = messenger.ReasonDraining
			}
			timer.StepWallClock(20 * time.Second)
			defer timer.StepWallClock(-20 * time.Second)
			reason, took := r.run(t)
			qt.Assert(t, reason, qt.Equals, want)
			qt.Assert(t, took > 0 && took < evacuator.MaxHold, qt.IsTrue, qt.Commentf("took %s", took))
			qt.Assert(t, r.received.Load() == 0, qt.Equals, isOrdered)
			r.group.mu.Lock()
			qt.Assert(t, r.group.session > session, qt.IsTrue)
			r.group.mu.Unlock()
		})
	}
}

// Without the setting, orders are obeyed but no request is held, as before.
func TestNoHoldWithoutTheSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuatedRouter(t, func(settings *RoutedSettings) { settings.Evacuation = 0 })
		time.Sleep(2 * time.Second)
		r.group.cut(true)
		for range 50 {
			reason, took := r.run(t)
			qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
			qt.Assert(t, took < 20*time.Millisecond, qt.IsTrue, qt.Commentf("held for %s", took))
			time.Sleep(100 * time.Millisecond)
		}
		r.group.change(false)
		r.group.cut(false)
		time.Sleep(2 * time.Second)
		reason, _ := r.run(t)
		qt.Assert(t, reason, qt.Equals, messenger.ReasonDraining)
	})
}
