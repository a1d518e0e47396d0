package forwarder_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
	"marigoldhill/router/locator"
)

const (
	entrySession = 10
	ownerSession = 11
	otherSession = 12
)

// pipes is a network of net.Pipe connections. Wrap changes each connection
// that is dialled.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	wrap      func(dial int, conn net.Conn) net.Conn
	dials     int
}

func (p *pipes) Listen(address string) (net.Listener, error) {
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l
	return l, nil
}

func (p *pipes) Dial(_ context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	l, ok := p.listeners[address]
	p.dials++
	dial := p.dials
	p.mu.Unlock()
	if !ok {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	if p.wrap != nil {
		near = p.wrap(dial, near)
	}
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

func (a pipeAddress) Network() string { return "pipe" }
func (a pipeAddress) String() string  { return string(a) }

type fakeLease uint64

func (l fakeLease) Alive(timer.Instant) bool { return l != 0 }
func (l fakeLease) Session() uint64          { return uint64(l) }

// fakeRunner counts the runs of each number.
type fakeRunner struct {
	mu      sync.Mutex
	runs    map[string]int
	execute func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer
	outcome func(query *messenger.OutcomeQuery) messenger.OutcomeAnswer
}

func (r *fakeRunner) Execute(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	r.mu.Lock()
	r.runs[request.Number]++
	r.mu.Unlock()
	if r.execute == nil {
		return done(request, body)
	}
	return r.execute(ctx, request, body)
}

func (r *fakeRunner) Outcome(_ context.Context, query *messenger.OutcomeQuery) messenger.OutcomeAnswer {
	return r.outcome(query)
}

func (r *fakeRunner) count(number string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[number]
}

// done answers with the key and the body.
func done(request *messenger.Request, body io.Reader) executor.Answer {
	sent, err := io.ReadAll(body)
	if err != nil {
		return refused(request, messenger.ReasonCanceled)
	}
	text := request.Key + ":" + string(sent)
	return executor.Answer{
		Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Status: 200, Length: int64(len(text))},
		Body:     io.NopCloser(strings.NewReader(text)),
	}
}

func refused(request *messenger.Request, reason messenger.Reason) executor.Answer {
	return executor.Answer{Response: messenger.Response{
		Number: request.Number, Outcome: messenger.OutcomeRefused, Reason: reason}}
}

// rig is an entry router and an owner on one network.
type rig struct {
	network *pipes
	entry   *forwarder.Forwarder
	owner   *forwarder.Forwarder
	local   *fakeRunner
	remote  *fakeRunner
	table   *locator.Locator // of the entry
	owned   *locator.Locator // of the owner
	metrics *metrics.Set
	links   *metrics.Set
	pool    *linker.Pool
}

func newRig(t *testing.T, settings forwarder.Settings) *rig {
	r := &rig{
		network: &pipes{listeners: make(map[string]*pipeListener)},
		local:   &fakeRunner{runs: make(map[string]int)},
		remote:  &fakeRunner{runs: make(map[string]int)},
		table:   locator.New(metrics.NewSet()),
		owned:   locator.New(metrics.NewSet()),
		metrics: metrics.NewSet(),
		links:   metrics.NewSet(),
	}
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "entry"}
	r.pool = linker.NewPool(r.network, linker.Options{Hello: hello, Metrics: r.links})
	r.entry = forwarder.New(settings, forwarder.Options{
		Locator: r.table, Runner: r.local, Opener: r.pool, Lease: fakeLease(entrySession), Metrics: r.metrics})
	r.owner = forwarder.New(settings, forwarder.Options{
		Locator: r.owned, Runner: r.remote, Opener: r.pool, Lease: fakeLease(ownerSession), Metrics: metrics.NewSet()})
	server, err := linker.Listen(r.network, "owner:1", linker.Options{Hello: hello, Handler: r.owner.Handle})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		r.pool.Close()
		_ = server.Close()
	})
	r.place(t, 1, messenger.PhaseOwned, ownerSession)
	return r
}

// place gives the only shard to an owner, in both tables.
func (r *rig) place(t *testing.T, revision uint64, phase messenger.Phase, owner uint64) {
	for _, l := range []*locator.Locator{r.table, r.owned} {
		qt.Assert(t, l.Apply(delta(revision, phase, owner)), qt.IsNil)
	}
}

func delta(revision uint64, phase messenger.Phase, owner uint64) *messenger.TableDelta {
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

// result is an answer read to its end.
type result struct {
	response messenger.Response
	body     string
	err      error
}

func (r *rig) forward(ctx context.Context, request *messenger.Request, profile messenger.Profile, body string) result {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
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
