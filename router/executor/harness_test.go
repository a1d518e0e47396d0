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
	"marigoldhill/router/aggregator"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
)

const (
	session = 5
	service = "findings"
)

// setup is an executor with fakes around it. It must run in a synctest bubble.
type setup struct {
	*Executor
	locator      *locator.Locator
	tracker      *drainer.Tracker
	shardDrainer *drainer.Drainer
	isolation    *isolator.Isolator
	leaseSource  leaseSource
	server       server
	backend      backend
	revision     uint64
	row          messenger.ShardRow
	delta        messenger.TableDelta
}

// leaseSource is a LeaseSource that returns the lease that the test sets.
type leaseSource struct {
	current atomic.Pointer[keeper.Lease]
}

func (l *leaseSource) Lease() *keeper.Lease { return l.current.Load() }

// renew renews the lease as if the renewal had been sent at an instant.
func (l *leaseSource) renew(sent timer.Instant) { l.current.Store(keeper.NewTestLease(session, sent)) }

// server is a ServerMonitor and Detector that reports the state that the test sets.
type server struct {
	view   atomic.Pointer[prober.View]
	broken atomic.Int64
}

func (s *server) View() *prober.View { return s.view.Load() }

func (s *server) Observe(prober.Evidence) {}

func (s *server) ConnectionBroken(string) { s.broken.Add(1) }

func (s *server) set(state messenger.ServerState, fences bool) {
	s.view.Store(&prober.View{State: state, Row: &messenger.ServerRow{Name: "d1", Slots: 2, Fences: fences}})
}

// backend is a Backend that runs requests with a function of the test and keeps
// them.
type backend struct {
	run      func(ctx context.Context, serverRequest *dispatcher.ServerRequest) dispatcher.Result
	mu       sync.Mutex
	requests []*dispatcher.ServerRequest
	// discardRequests is set when the requests are not kept.
	discardRequests bool
}

func (b *backend) Send(ctx context.Context, serverRequest *dispatcher.ServerRequest) dispatcher.Result {
	b.mu.Lock()
	if !b.discardRequests {
		b.requests = append(b.requests, serverRequest)
	}
	b.mu.Unlock()
	return b.run(ctx, serverRequest)
}

func (b *backend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// doneResult is a complete answer.
func doneResult(body string) dispatcher.Result {
	return dispatcher.Result{
		Outcome:  messenger.OutcomeDone,
		Response: messenger.Response{Outcome: messenger.OutcomeDone, Status: 200, Length: int64(len(body))},
		Body:     io.NopCloser(strings.NewReader(body)),
	}
}

// answerAfter answers after a time, or returns when the context of the request ends.
func answerAfter(d time.Duration) func(context.Context, *dispatcher.ServerRequest) dispatcher.Result {
	return func(ctx context.Context, _ *dispatcher.ServerRequest) dispatcher.Result {
		select {
		case <-time.After(d):
			return doneResult("answer")
		case <-ctx.Done():
			return dispatcher.Result{
				Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonExpired, Cause: dispatcher.CauseCanceled,
			}
		}
	}
}

// withSetup runs a test in a synctest bubble of its own, with a lease, a grant of all
// keys and a ready server with two slots.
func withSetup(t *testing.T, test func(t *testing.T, s *setup)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup()
		s.publish(t)
		// Lets all goroutines of the test end before the bubble does.
		defer time.Sleep(time.Hour)
		test(t, s)
	})
}

// newSetup returns a setup with a lease, a ready server and a table to publish.
func newSetup() *setup {
	s := &setup{tracker: drainer.NewTracker(), isolation: isolator.New()}
	set := metrics.NewSet()
	s.locator = locator.New(set)
	s.shardDrainer = drainer.New(s.tracker)
	s.leaseSource.renew(timer.Now())
	s.server.set(messenger.ServerReady, true)
	s.backend.run = answerAfter(10 * time.Millisecond)
	admission := admitter.New(set)
	admission.SetServer(*s.server.View().Row)
	records := recorder.New(recorder.Options{Locator: s.locator, LeaseSource: &s.leaseSource, Log: logger.Discard(), Metrics: set})
	s.Executor = New(Options{
		Locator: s.locator, LeaseSource: &s.leaseSource, Server: &s.server, Backend: &s.backend, Tracker: s.tracker,
		Recorder: records, OutcomeStore: recorder.NewOutcomeStore(), Admitter: admission, Isolator: s.isolation,
		Detector: &s.server, Tally: aggregator.New(), Metrics: set,
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

// publish applies the row and the delta of the setup as the newest table.
func (s *setup) publish(t *testing.T) {
	s.revision++
	s.delta.To = s.revision
	s.delta.Shards = []messenger.ShardRow{s.row}
	delta := s.delta
	qt.Assert(t, s.locator.Apply(&delta), qt.IsNil)
	if s.row.Owner == session {
		s.shardDrainer.SetRows([]messenger.ShardRow{s.row})
	}
}

// release returns the shards that a heartbeat would report as released.
func (s *setup) release() []messenger.ShardRef {
	return s.shardDrainer.Release(s.server.View().State, s.locator.Load().ShardOf)
}

// send runs a request and reads its answer.
func (s *setup) send(request messenger.Request) (messenger.Response, string) {
	return s.sendWith(context.Background(), request)
}

func (s *setup) sendWith(ctx context.Context, request messenger.Request) (messenger.Response, string) {
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

// start sends a request and returns a channel that receives its response.
func (s *setup) start(request messenger.Request) <-chan messenger.Response {
	responses := make(chan messenger.Response, 1)
	go func() {
		response, _ := s.send(request)
		responses <- response
	}()
	synctest.Wait()
	return responses
}
