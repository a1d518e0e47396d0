package assembler

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/mapper"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
	"marigoldhill/router/warmer"
)

const (
	coldTime  = 3 * time.Second
	coldRate  = 15
	coldMost  = 22 // floor(15 x 1.5)
	coldBound = 30 // rounded down from 15 x 1.5 + 8
	coldOwn   = 7
	coldHost  = "10.0.0.1:8080"
)

// coldBackend is a backend server that takes twice as long while it is cold. It counts the
// requests that it gets meanwhile.
type coldBackend struct {
	mu        sync.Mutex
	coldUntil time.Time
	// silent is set if health checks get no answer.
	silent   bool
	requests []time.Time
	cold     []time.Time
	checks   []time.Time
	// broken is closed when the server crashes.
	broken chan struct{}
}

// Send implements [relayer.Backend].
func (b *coldBackend) Send(ctx context.Context, _ string, serverRequest *requester.ServerRequest, _ io.Reader) requester.Result {
	b.mu.Lock()
	now, broken := time.Now(), b.broken
	work := 160 * time.Millisecond
	b.requests = append(b.requests, now)
	if now.Before(b.coldUntil) {
		b.cold = append(b.cold, now)
		work *= 2
	}
	b.mu.Unlock()
	select {
	case <-time.After(work):
		body := io.NopCloser(http.NoBody)
		return requester.Result{Outcome: messenger.OutcomeDone, Sent: true, Status: http.StatusOK, Header: http.Header{}, Body: body, ResponseInfo: requester.ResponseInfo{ID: serverRequest.Relay.ID}}
	case <-broken:
		return requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Sent: true, Err: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonExpired, Sent: true, Err: ctx.Err()}
	}
}

// check answers a health check.
func (b *coldBackend) check(ctx context.Context, _, _, _ string) (*time.Duration, error) {
	b.mu.Lock()
	b.checks = append(b.checks, time.Now())
	left, silent := max(time.Until(b.coldUntil), 0), b.silent
	b.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	return &left, nil
}

// becomeCold makes the server cold for a while.
func (b *coldBackend) becomeCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(coldTime)
}

// setSilent sets whether health checks get no answer, and forgets earlier ones.
func (b *coldBackend) setSilent(silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent, b.checks = silent, nil
}

// checkCount returns the number of health checks.
func (b *coldBackend) checkCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.checks)
}

// restart breaks all connections; the server starts again, cold, at once.
func (b *coldBackend) restart() {
	b.becomeCold()
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.broken)
	b.broken = make(chan struct{})
}

// within returns the number of requests in a span of time.
func (b *coldBackend) within(from, to time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, at := range b.requests {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// busiestColdSecond returns the most requests within a second while the server was cold.
func (b *coldBackend) busiestColdSecond() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, first := 0, 0
	for n, at := range b.cold {
		for at.Sub(b.cold[first]) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

type anyKey struct{}

func (anyKey) CheckHeld(timer.Instant, uint32) messenger.Reason { return messenger.ReasonNone }
func (anyKey) Enter(timer.Instant, uint32) messenger.Reason     { return messenger.ReasonNone }
func (anyKey) Leave(uint32)                                     {}

type noSampler struct{}

func (noSampler) Arrived(uint32)         {}
func (noSampler) Finished(time.Duration) {}
func (noSampler) Judged(bool)            {}

type noDetector struct{}

func (noDetector) ConnectionBroken(string) {}

// coldHarness is an owner with its real parts in front of a coldBackend.
type coldHarness struct {
	t        *testing.T
	backend  *coldBackend
	watch    *coldWatch
	server   *monitor.Monitor
	owner    *relayer.Owner
	routes   *mapper.Mapper
	revision uint64
	sequence uint64
	started  time.Time
}

// newColdHarness starts a router beside a server that is cold if cold is set. The server
// announces itself when the router starts.
func newColdHarness(t *testing.T, rate float64, cold bool) *coldHarness {
	h := &coldHarness{t: t, backend: &coldBackend{broken: make(chan struct{})}, routes: mapper.New(), started: time.Now()}
	if cold {
		h.backend.becomeCold()
	}
	admission, set := queuer.NewAdmission(13), metrics.NewSet()
	h.watch = newColdWatch(coldOptions{
		Settings: ColdSettings{Overage: 1.5, Slack: 8}, Admission: admission,
		View: func() *monitor.View { return h.server.View() },
		Service: func() *messenger.RoutedService {
			return &messenger.RoutedService{Name: "findings", Health: "/health", Cold: coldTime, ColdRate: rate}
		},
		Check: h.backend.check, OnChange: func() {}, Log: logger.Discard(), Metrics: set,
	})
	born := int64(0)
	h.server = monitor.New(monitor.Options{
		Address: coldHost,
		OnChange: func(view *monitor.View) {
			if view.Row.Born != born {
				born = view.Row.Born
				h.watch.happened(warmer.ServerStarted)
			}
		},
		OnAnnounced: h.watch.announced,
		OnRefused:   func() { h.watch.happened(warmer.ConnectionRefused) },
		IsConnected: func() bool { return true },
		Log:         logger.Discard(),
	})
	h.owner = relayer.NewOwner(relayer.OwnerOptions{
		Server: h.server, KeyChecker: anyKey{}, Admission: admission, Backend: h.backend, Sampler: noSampler{}, Isolator: isolator.New(),
		Detector:      coldDetector{Detector: noDetector{}, cold: h.watch},
		IsQuarantined: func(string) bool { return false },
		Inbound:       inviter.New(0), RequestUpdate: func() {}, Log: logger.Discard(), Metrics: set,
	})
	h.announce(max(time.Until(h.backend.coldUntil), 0))
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { h.watch.run(ctx) })
	t.Cleanup(func() {
		cancel()
		loop.Wait()
	})
	return h
}

// announce sends an announcement with the time left.
func (h *coldHarness) announce(left time.Duration) {
	h.sequence++
	h.server.Announce(timer.Now(), monitor.Announcement{
		Row: messenger.ServerRow{Name: "s1", Service: "findings", URL: coldHost, Slots: 13, Born: 1}, Sequence: h.sequence, ColdLeft: &left,
	})
}

// setLeaving passes on a map that has the own session as leaving, or not.
func (h *coldHarness) setLeaving(leaving bool) {
	h.revision++
	row := messenger.ServerRow{Name: "s1", Service: "findings"}
	qt.Assert(h.t, h.routes.Apply(&messenger.TableDelta{From: h.revision - 1, To: h.revision, Sessions: []messenger.SessionRow{{Session: coldOwn, Server: &row, Leaving: leaving}}}), qt.IsNil)
	h.watch.mapChanged(h.routes.Load(), "findings", coldOwn)
}

// load sends 100 requests per second for a while, and waits until they have ended.
func (h *coldHarness) load(length time.Duration) {
	var requests sync.WaitGroup
	for sent := time.Duration(0); sent < length; sent += 10 * time.Millisecond {
		requests.Go(func() {
			relay := &messenger.Relay{ID: "1", Service: "findings", Route: "find", Key: messenger.NoKey, Aim: 400 * time.Millisecond, Left: 2 * time.Second}
			if _, body := h.owner.Run(h.t.Context(), relay, http.NoBody); body != nil {
				_ = body.Close()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
}

// warmRate is a number of requests per second that only a warm server gets.
const warmRate = 50

// Guards against a burst to a server that starts together with its router, and against one
// that is limited for longer than it is cold.
func TestServerThatStartsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, coldRate, true)
		h.load(6 * time.Second)
		// The predecessor of the router may have sent requests within the last second.
		qt.Check(t, h.backend.within(h.started, h.started.Add(time.Second)), qt.Equals, 0)
		qt.Check(t, h.backend.busiestColdSecond() > coldRate, qt.IsTrue)
		qt.Check(t, h.backend.busiestColdSecond() <= coldMost, qt.IsTrue)
		qt.Check(t, h.backend.within(h.started.Add(4*time.Second), h.started.Add(5*time.Second)) > warmRate, qt.IsTrue)
		qt.Check(t, h.backend.checks, qt.HasLen, 1)
	})
}

// Guards against a server that is restarted so quickly that no connection is refused: its
// announcement may arrive seconds later.
func TestServerThatIsColdAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, coldRate, false)
		h.load(3 * time.Second)
		qt.Assert(t, h.watch.isCold(), qt.IsFalse)
		qt.Assert(t, h.backend.within(h.started.Add(2*time.Second), h.started.Add(3*time.Second)) > warmRate, qt.IsTrue)
		restarted := time.Now().Add(500 * time.Millisecond)
		time.AfterFunc(500*time.Millisecond, h.backend.restart)
		h.load(6 * time.Second)
		qt.Check(t, len(h.backend.cold) > 0, qt.IsTrue)
		qt.Check(t, h.backend.busiestColdSecond() <= coldMost, qt.IsTrue, qt.Commentf("%d requests", h.backend.busiestColdSecond()))
		qt.Check(t, h.backend.within(restarted.Add(4*time.Second), restarted.Add(5*time.Second)) > warmRate, qt.IsTrue)
		qt.Check(t, len(h.backend.checks) <= 3, qt.IsTrue, qt.Commentf("%d checks", len(h.backend.checks)))
	})
}

// Guards against a server that is treated as warm, or is checked again and again, since it
// does not answer health checks.
func TestHealthCheckWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, coldRate, false)
		h.load(3 * time.Second)
		h.backend.setSilent(true)
		broken := time.Now()
		h.backend.restart()
		h.watch.happened(warmer.ConnectionBroken)
		h.load(6 * time.Second)
		qt.Check(t, h.backend.busiestColdSecond() <= coldMost, qt.IsTrue)
		qt.Check(t, h.backend.within(broken.Add(4*time.Second), broken.Add(5*time.Second)) > warmRate, qt.IsTrue)
		qt.Check(t, h.backend.checks, qt.HasLen, 1)
	})
}

// Guards against an announcement that was sent before a withdrawal and arrives after it: it
// says that the server is warm.
func TestAnnouncementFromBeforeWithdrawal(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newColdHarness(t, coldRate, false)
			h.load(2 * time.Second)
			h.setLeaving(true)
			row := &messenger.ServerRow{Name: "s1", Service: "findings"}
			qt.Check(t, h.watch.row(row).Cold, qt.IsTrue, qt.Commentf("entry routers must know the state before the withdrawal reaches them"))
			time.Sleep(5 * time.Second)
			h.backend.becomeCold()
			h.backend.setSilent(silent)
			withdrawn := time.Now()
			h.setLeaving(false)
			time.AfterFunc(600*time.Millisecond, func() { h.announce(0) })
			time.AfterFunc(1100*time.Millisecond, func() { h.announce(0) })
			h.load(6 * time.Second)
			qt.Check(t, len(h.backend.cold) > coldMost, qt.IsTrue)
			qt.Check(t, h.backend.busiestColdSecond() <= coldMost, qt.IsTrue, qt.Commentf("silent %t: %d requests", silent, h.backend.busiestColdSecond()))
			qt.Check(t, h.backend.within(withdrawn.Add(4*time.Second), withdrawn.Add(5*time.Second)) > warmRate, qt.IsTrue)
			qt.Check(t, h.watch.row(row).Cold, qt.IsFalse)
		})
	}
}

// Guards against health checks of a server whose failure domain is evacuated: nothing new
// may reach it before the withdrawal.
func TestNoHealthCheckDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, coldRate, false)
		time.Sleep(2 * time.Second)
		h.setLeaving(true)
		h.backend.setSilent(false)
		h.watch.happened(warmer.ConnectionBroken)
		time.Sleep(5 * time.Second)
		qt.Check(t, h.backend.checkCount(), qt.Equals, 0)
		h.setLeaving(false)
		time.Sleep(time.Second)
		qt.Check(t, h.backend.checkCount(), qt.Equals, 1)
	})
}

// A service without a rate must be served as before: no check, no bound, the row as it was
// announced.
func TestNoRateNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, 0, true)
		h.load(time.Second)
		qt.Check(t, h.backend.busiestColdSecond() > coldBound, qt.IsTrue)
		h.watch.happened(warmer.ConnectionBroken)
		time.Sleep(time.Second)
		qt.Check(t, h.backend.checks, qt.HasLen, 0)
		row := &messenger.ServerRow{Name: "s1", Service: "findings", Cold: true}
		qt.Check(t, h.watch.row(row), qt.Equals, row)
	})
}
