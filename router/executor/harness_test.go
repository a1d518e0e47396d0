package executor

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/tallier"
)

const (
	session = 5
	service = "findings"
)

// stage is an executor between fakes. It must run in a synctest bubble.
type stage struct {
	*Executor
	locator  *locator.Locator
	tracker  *drainer.Tracker
	drain    *drainer.Drainer
	gate     *isolator.Gate
	leaser   leaser
	server   server
	backend  backend
	revision uint64
	row      messenger.ShardRow
	delta    messenger.TableDelta
}

// leaser is a lease that the test sets.
type leaser struct {
	lease atomic.Pointer[keeper.Lease]
}

func (l *leaser) Lease() *keeper.Lease { return l.lease.Load() }

// renew renews the lease as of an instant.
func (l *leaser) renew(sent timer.Instant) { l.lease.Store(keeper.Granted(session, sent)) }

// server is a backend server whose state the test sets.
type server struct {
	view   atomic.Pointer[prober.View]
	broken atomic.Int64
}

func (s *server) View() *prober.View { return s.view.Load() }

func (s *server) See(prober.Evidence) {}

func (s *server) Broken(*messenger.ServerRow) { s.broken.Add(1) }

func (s *server) set(state messenger.ServerState, fences bool) {
	s.view.Store(&prober.View{State: state, Row: &messenger.ServerRow{Name: "d1", Slots: 2, Fences: fences}})
}

// backend runs requests as the test says, and notes their orders.
type backend struct {
	run    func(ctx context.Context, order *dispatcher.Order) dispatcher.Result
	mu     sync.Mutex
	orders []*dispatcher.Order
	// silent notes no orders.
	silent bool
}

func (b *backend) Send(ctx context.Context, order *dispatcher.Order) dispatcher.Result {
	b.mu.Lock()
	if !b.silent {
		b.orders = append(b.orders, order)
	}
	b.mu.Unlock()
	return b.run(ctx, order)
}

func (b *backend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders)
}

// done is a whole answer.
func done(body string) dispatcher.Result {
	return dispatcher.Result{
		Outcome:  messenger.OutcomeDone,
		Response: messenger.Response{Outcome: messenger.OutcomeDone, Status: 200, Length: int64(len(body))},
		Body:     io.NopCloser(strings.NewReader(body)),
	}
}

// takes answers after a time, or ends with the context of the request.
func takes(d time.Duration) func(context.Context, *dispatcher.Order) dispatcher.Result {
	return func(ctx context.Context, _ *dispatcher.Order) dispatcher.Result {
		select {
		case <-time.After(d):
			return done("answer")
		case <-ctx.Done():
			return dispatcher.Result{
				Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonExpired, Cause: dispatcher.CauseCanceled,
			}
		}
	}
}

// onStage runs a test in a bubble of its own, with a lease, a grant of all keys
// and a ready server of two slots.
func onStage(t *testing.T, test func(t *testing.T, s *stage)) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage()
		s.publish(t)
		// Lets everything that still runs end.
		defer time.Sleep(time.Hour)
		test(t, s)
	})
}

// newStage makes a stage with a lease, a ready server and a table to publish.
func newStage() *stage {
	s := &stage{tracker: drainer.NewTracker(), gate: isolator.New()}
	set := metrics.NewSet()
	s.locator = locator.New(set)
	s.drain = drainer.New(s.tracker)
	s.leaser.renew(timer.Now())
	s.server.set(messenger.ServerReady, true)
	s.backend.run = takes(10 * time.Millisecond)
	admission := admitter.New(set)
	admission.Serve(*s.server.View().Row)
	records := recorder.New(recorder.Options{Locator: s.locator, Leaser: &s.leaser, Log: logger.Discard(), Metrics: set})
	s.Executor = New(Options{
		Locator: s.locator, Leaser: &s.leaser, Server: &s.server, Backend: &s.backend, Tracker: s.tracker,
		Recorder: records, Numbers: recorder.NewNumbers(), Admitter: admission, Gate: s.gate,
		Detector: &s.server, Tally: tallier.New(), Metrics: set,
	})
	s.row = messenger.ShardRow{Service: service, Phase: messenger.PhaseOwned, Owner: session, Fence: 9}
	s.delta = messenger.TableDelta{
		Full:     true,
		Sessions: []messenger.SessionRow{{Session: session}},
		Services: []messenger.Service{{
			Name: service, Shards: 1, Retention: time.Minute,
			Routes: []messenger.Route{{Profile: "read"}, {Prefix: "issue", Profile: "issue"}},
		}},
		Profiles: []messenger.Profile{
			{Name: "read", Class: messenger.ClassInteractive, Idempotent: true, Deadline: 3 * time.Second, Queue: 10, Share: 1, Weight: 1},
			{Name: "issue", Class: messenger.ClassInteractive, Deadline: 3 * time.Second, Queue: 10, Share: 1, Weight: 1},
		},
	}
	return s
}

// publish makes the row and the delta of the stage the newest table.
func (s *stage) publish(t *testing.T) {
	s.revision++
	s.delta.To = s.revision
	s.delta.Shards = []messenger.ShardRow{s.row}
	delta := s.delta
	qt.Assert(t, s.locator.Apply(&delta), qt.IsNil)
	if s.row.Owner == session {
		s.drain.Follow([]messenger.ShardRow{s.row})
	}
}

// release is what a heartbeat would report as released.
func (s *stage) release() []messenger.ShardRef {
	return s.drain.Release(s.server.View().State, s.locator.Load().ShardOf)
}

// send runs a request and reads its answer.
func (s *stage) send(request messenger.Request) (messenger.Response, string) {
	return s.sendWith(context.Background(), request)
}

func (s *stage) sendWith(ctx context.Context, request messenger.Request) (messenger.Response, string) {
	request.Service = service
	request.Method = "POST"
	if request.Key == "" {
		request.Key = "door"
	}
	answer := s.Execute(ctx, &request, strings.NewReader(request.Query))
	defer answer.Close()
	if answer.Body == nil {
		return answer.Response, ""
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return answer.Response, err.Error()
	}
	return answer.Response, string(body)
}

// start sends a request and returns a channel for its answer.
func (s *stage) start(request messenger.Request) <-chan messenger.Response {
	answers := make(chan messenger.Response, 1)
	go func() {
		response, _ := s.send(request)
		answers <- response
	}()
	synctest.Wait()
	return answers
}
