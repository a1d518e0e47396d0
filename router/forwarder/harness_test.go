package forwarder_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
	"marigoldhill/router/locator"
	"marigoldhill/router/stopper"
)

const (
	entrySession = 10
	ownerSession = 11
	otherSession = 12
)

// mutableLease is a lease whose session a test changes.
type mutableLease struct{ atomic.Uint64 }

func (l *mutableLease) IsLeaseValid(timer.Instant) bool { return l.Load() != 0 }
func (l *mutableLease) Session() uint64                 { return l.Load() }

// fixedLease is a lease whose session does not change.
type fixedLease uint64

func (l fixedLease) IsLeaseValid(timer.Instant) bool { return l != 0 }
func (l fixedLease) Session() uint64                 { return uint64(l) }

// fakeRunner is a Runner that counts the runs of each request number.
type fakeRunner struct {
	mu      sync.Mutex
	runs    map[string]int
	last    messenger.Request
	execute func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer
	outcome func(query *messenger.OutcomeQuery) messenger.OutcomeResponse
}

func (r *fakeRunner) Execute(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	r.mu.Lock()
	number, _, _ := strings.Cut(request.Number, "~")
	r.runs[number]++
	r.last = *request
	r.mu.Unlock()
	if r.execute == nil {
		return doneAnswer(request, body)
	}
	return r.execute(ctx, request, body)
}

func (r *fakeRunner) Outcome(_ context.Context, query *messenger.OutcomeQuery) messenger.OutcomeResponse {
	return r.outcome(query)
}

func (r *fakeRunner) count(number string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[number]
}

// doneAnswer answers with the key and the body of the request.
func doneAnswer(request *messenger.Request, body io.Reader) executor.Answer {
	received, err := io.ReadAll(body)
	if err != nil {
		return refusedAnswer(request, messenger.ReasonCanceled)
	}
	text := request.Key + ":" + string(received)
	return executor.Answer{
		Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Status: 200, Length: int64(len(text))},
		Body:     io.NopCloser(strings.NewReader(text)),
	}
}

func refusedAnswer(request *messenger.Request, reason messenger.Reason) executor.Answer {
	return executor.Answer{Response: messenger.Response{
		Number: request.Number, Outcome: messenger.OutcomeRefused, Reason: reason}}
}

// routerPair is an entry router and an owner on one simulated network.
type routerPair struct {
	simulatedNetwork *disrupter.SimulatedNetwork
	entry            *forwarder.Forwarder
	owner            *forwarder.Forwarder
	local            *fakeRunner
	remote           *fakeRunner
	entryTable       *locator.Locator
	ownerTable       *locator.Locator
	ownerLease       mutableLease
	entryMetrics     *metrics.Set
	linkMetrics      *metrics.Set
	pool             *linker.Pool
	entryStop        *stopper.Window
}

func newRouterPair(t *testing.T, settings forwarder.Settings) *routerPair {
	r := &routerPair{
		simulatedNetwork: disrupter.New(time.Millisecond),
		local:            &fakeRunner{runs: make(map[string]int)},
		remote:           &fakeRunner{runs: make(map[string]int)},
		entryTable:       locator.New(metrics.NewSet()),
		ownerTable:       locator.New(metrics.NewSet()),
		entryMetrics:     metrics.NewSet(),
		linkMetrics:      metrics.NewSet(),
		entryStop:        stopper.New(5 * time.Second),
	}
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "entry"}
	r.pool = linker.NewPool(r.simulatedNetwork.Node("entry"), linker.Options{Hello: hello, Metrics: r.linkMetrics})
	r.entry = forwarder.New(settings, forwarder.Options{
		Locator: r.entryTable, Runner: r.local, Opener: r.pool, Lease: fixedLease(entrySession), Stop: r.entryStop, Metrics: r.entryMetrics})
	r.owner = forwarder.New(settings, forwarder.Options{
		Locator: r.ownerTable, Runner: r.remote, Opener: r.pool, Lease: &r.ownerLease, Metrics: metrics.NewSet()})
	r.ownerLease.Store(ownerSession)
	server, err := linker.Listen(r.simulatedNetwork.Node("owner"), "owner:1", linker.Options{Hello: hello, Handler: r.owner.Handle, Metrics: r.linkMetrics})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		r.pool.Close()
		_ = server.Close()
	})
	r.place(t, 1, messenger.PhaseOwned, ownerSession)
	return r
}

// place assigns the only shard to an owner in the tables of both routers.
func (r *routerPair) place(t *testing.T, revision uint64, phase messenger.Phase, owner uint64) {
	for _, l := range []*locator.Locator{r.entryTable, r.ownerTable} {
		qt.Assert(t, l.Apply(tableDelta(revision, phase, owner)), qt.IsNil)
	}
}

// tableDelta is a table of one shard with the given phase and owner.
func tableDelta(revision uint64, phase messenger.Phase, owner uint64) *messenger.TableDelta {
	return &messenger.TableDelta{
		Full: true,
		To:   revision,
		Sessions: []messenger.SessionRow{
			{Session: entrySession, Router: "entry", Address: "entry:1"},
			{Session: ownerSession, Router: "owner", Address: "owner:1"},
			{Session: otherSession, Router: "other", Address: "other:1"},
		},
		Services: []messenger.Service{{Name: "findings", Shards: 1, Routes: []messenger.Route{{Profile: "any"}}}},
		Shards:   []messenger.ShardRow{{Service: "findings", Phase: phase, Owner: owner, Fence: revision}},
	}
}

func request(number string) *messenger.Request {
	return &messenger.Request{Number: number, Service: "findings", Key: "door-17", Method: "POST", Length: -1}
}

// result is an answer whose body was read completely.
type result struct {
	response messenger.Response
	body     string
	err      error
}

func (r result) text() string {
	return strings.TrimSuffix(string(r.response.Outcome)+"/"+string(r.response.Reason), "/")
}

// callerTimeout is the deadline of the callers in these tests.
const callerTimeout = 4 * time.Second

func (r *routerPair) forward(ctx context.Context, request *messenger.Request, profile messenger.Profile, body string) result {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	answer := r.entry.Forward(ctx, request, &profile, strings.NewReader(body))
	defer answer.Close()
	got := result{response: answer.Response}
	if answer.Body != nil {
		data, err := io.ReadAll(answer.Body)
		got.body, got.err = string(data), err
	}
	return got
}
