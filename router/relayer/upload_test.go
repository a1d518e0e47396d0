package relayer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/mapper"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

// bodyBackend reads the whole body of each request and keeps it.
type bodyBackend struct {
	received atomic.Pointer[[]byte]
	sent     atomic.Int32
	// answer replaces the result of a request that was received.
	answer func() requester.Result
}

func (b *bodyBackend) Send(_ context.Context, _ string, _ *requester.ServerRequest, body io.Reader) requester.Result {
	b.sent.Add(1)
	data, err := io.ReadAll(body)
	if err != nil {
		return requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Sent: true, Err: err}
	}
	b.received.Store(&data)
	if b.answer != nil {
		return b.answer()
	}
	return doneResult(http.StatusOK, strings.NewReader("ok"), 2)
}

// callerBody is the body of a caller's request that counts what was read of it.
type callerBody struct {
	source io.Reader
	read   atomic.Int64
}

func newCallerBody(size int) *callerBody {
	return &callerBody{source: bytes.NewReader(bytes.Repeat([]byte("0123456789"), size/10))}
}

func (b *callerBody) Read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	b.read.Add(int64(n))
	return n, err
}

// remoteFixture is an entry whose only server is beside another router.
type remoteFixture struct {
	routes  *mapper.Mapper
	entry   *relayer.Entry
	owner   *testOwner
	backend *bodyBackend
}

// newRemoteFixture starts both routers. invites is whether the router of the server has the
// capabilities of this version; a router of an earlier version does not have them.
func newRemoteFixture(t *testing.T, invites bool, bodyLimit int64) *remoteFixture {
	backend := &bodyBackend{}
	o := newTestOwnerWith(backend)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r2", Invites: invites, Replies: invites}
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: o.Handle})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r1", Invites: true, Replies: true}})
	t.Cleanup(pool.Close)
	routes := mapper.New()
	qt.Assert(t, routes.Apply(&messenger.TableDelta{
		Full: true, To: 1,
		Configuration: &messenger.Configuration{
			Version: 4,
			Routes: []messenger.PathRoute{{
				Name: "send", Host: "desk", Prefix: "/", Parts: []messenger.RoutePart{{Service: "findings", Weight: 1}},
				Treatment: messenger.Treatment{Timeout: 2 * time.Second, Aim: time.Second, Attempts: 1},
			}},
			Services: []messenger.RoutedService{{Name: "findings"}},
			Limits:   messenger.Limits{BodyBytes: bodyLimit},
		},
		Sessions: []messenger.SessionRow{{Session: 8, Router: "r2", Address: server.Address(), Server: &messenger.ServerRow{Name: "s1", Service: "findings", Slots: 1}}},
	}), qt.IsNil)
	entry := relayer.NewEntry(relayer.EntryOptions{
		Mapper: routes, Owner: o.Owner, Opener: pool, Session: func() uint64 { return ownSession }, RequestUpdate: func() {},
		ConfigurationAge: func() time.Duration { return 0 },
		Budget:           budgeter.New(budgeter.Settings{Ratio: 1, Reserve: 10, Window: 10 * time.Second}),
		Log:              logger.Discard(), Metrics: metrics.NewSet(),
	})
	return &remoteFixture{routes: routes, entry: entry, owner: o, backend: backend}
}

func (f *remoteFixture) serve(t *testing.T, body io.Reader, length int64, timeout time.Duration) relayer.Answer {
	answer := f.entry.Serve(t.Context(), &relayer.Call{
		ID: "1", Method: "POST", Host: "desk", Target: "/x", Body: body, Length: length, Key: messenger.NoKey, TimeLeft: timeout,
	})
	if answer.Body != nil {
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	return answer
}

func TestBodiesArriveWhole(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		chunked bool
		invites bool
	}{
		{name: "empty", invites: true},
		{name: "small", size: 1000, invites: true},
		{name: "kept for a retry", size: 50_000, invites: true},
		{name: "streamed", size: 2_000_000, invites: true},
		{name: "of unknown length", size: 2_000_000, chunked: true, invites: true},
		{name: "short, of unknown length", size: 10, chunked: true, invites: true},
		{name: "kept, to a router that does not invite", size: 50_000},
		{name: "streamed, to a router that does not invite", size: 2_000_000},
		{name: "of unknown length, to a router that does not invite", size: 2_000_000, chunked: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newRemoteFixture(t, test.invites, 0)
			length := int64(test.size)
			if test.chunked {
				length = -1
			}
			answer := f.serve(t, newCallerBody(test.size), length, 2*time.Second)
			qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%s", answer.Reason))
			received := *f.backend.received.Load()
			qt.Assert(t, len(received), qt.Equals, test.size)
			qt.Assert(t, bytes.Equal(received, bytes.Repeat([]byte("0123456789"), test.size/10)), qt.IsTrue)
		})
	}
}

// Guards against bodies that fill the link to a server that will refuse them, and against
// callers that send a body for nothing: they wait with it until a 100 Continue, which is
// sent when the body is first read.
func TestRefusalCostsNoBody(t *testing.T) {
	for _, size := range []int{50_000, 2_000_000} {
		f := newRemoteFixture(t, true, 0)
		// The only slot is taken by work that lasts longer than the caller waits.
		slot, refusal := f.owner.admission.Acquire(t.Context(), queuer.Job{Kind: "other", Aim: time.Hour, Deadline: time.Hour})
		qt.Assert(t, refusal, qt.IsNil)
		body := newCallerBody(size)
		answer := f.serve(t, body, int64(size), 20*time.Millisecond)
		slot.Release(false)
		qt.Check(t, answer.Outcome, qt.Equals, messenger.OutcomeRefused)
		qt.Check(t, body.read.Load(), qt.Equals, int64(0))
		qt.Check(t, f.backend.sent.Load(), qt.Equals, int32(0))
	}
}

// pausedBody blocks until it is released.
type pausedBody struct{ released chan struct{} }

func (b pausedBody) Read([]byte) (int, error) {
	<-b.released
	return 0, errors.New("caller left")
}

// Guards against a caller that sends slowly and holds a slot of the server meanwhile.
func TestSlowCallerHoldsNoSlot(t *testing.T) {
	for _, length := range []int64{10, 50_000, 200_000, -1} {
		f := newRemoteFixture(t, true, 0)
		paused := pausedBody{released: make(chan struct{})}
		ended := make(chan relayer.Answer, 1)
		go func() { ended <- f.serve(t, paused, length, 300*time.Millisecond) }()
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, f.owner.admission.Work().Running, qt.Equals, 0, qt.Commentf("length %d", length))
		select {
		case answer := <-ended:
			qt.Check(t, answer.Outcome, qt.Equals, messenger.OutcomeRefused, qt.Commentf("length %d", length))
		case <-time.After(time.Second):
			t.Errorf("length %d: the caller was held past its deadline", length)
		}
		close(paused.released)
		qt.Check(t, f.backend.sent.Load(), qt.Equals, int32(0))
	}
}

// A body that ends before its length, or whose caller leaves, never reaches the server as
// a complete one. A length of -1 is that of a body in chunks.
func TestShortBodyIsNotComplete(t *testing.T) {
	for _, test := range []struct{ sent, length int }{{100, 200}, {100, 50_000}, {20_000, 50_000}, {100, 300_000}, {300_000, 600_000}, {100, -1}, {300_000, -1}} {
		f := newRemoteFixture(t, true, 0)
		body := io.MultiReader(newCallerBody(test.sent), errorReader{})
		answer := f.serve(t, body, int64(test.length), time.Second)
		qt.Check(t, answer.Outcome, qt.Not(qt.Equals), messenger.OutcomeDone, qt.Commentf("%+v", test))
		qt.Check(t, f.backend.received.Load(), qt.IsNil, qt.Commentf("%+v", test))
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against an upload that runs with a part of its body, because the entry router ended
// while the body was sent.
func TestBodyCutByEndOfLinkIsNotComplete(t *testing.T) {
	const uploads = 40
	for _, length := range []int64{-1, 400_000} {
		var complete atomic.Int32
		var ended sync.WaitGroup
		ended.Add(uploads)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			defer ended.Done()
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				complete.Add(1)
			}
		}))
		backend := requester.New(requester.Options{Network: networker.TCP{}, HeaderCodec: dispatcher.HeaderCodec{}})
		o := newTestOwnerWith(redirect{backend, server.Listener.Addr().String()})
		o.admission.SetSlots(uploads)
		hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r2"}
		router, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: o.Handle})
		qt.Assert(t, err, qt.IsNil)
		pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
		for range uploads {
			stream, err := pool.Open(t.Context(), router.Address(), messenger.KindRelay)
			qt.Assert(t, err, qt.IsNil)
			request := relay(messenger.NoKey)
			request.Method, request.Target, request.Host, request.Length, request.Left = http.MethodPost, "/x", "desk", length, 5*time.Second
			qt.Assert(t, stream.Send(request), qt.IsNil)
			_, err = stream.Write(make([]byte, 300_000))
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(200 * time.Millisecond)
		pool.Close()
		ended.Wait()
		qt.Check(t, complete.Load(), qt.Equals, int32(0), qt.Commentf("length %d", length))
		_ = router.Close()
		server.Close()
	}
}

// redirect is a Backend that sends all requests to one address.
type redirect struct {
	relayer.Backend
	address string
}

// Send implements [relayer.Backend].
func (r redirect) Send(ctx context.Context, _ string, request *requester.ServerRequest, body io.Reader) requester.Result {
	return r.Backend.Send(ctx, r.address, request, body)
}

// Guards against an upload that runs without its start: a router that invites the body and
// refuses the request at once must not leave a part of it read and the rest for another one.
func TestBodyOfRefusedInvitationIsNotSentInPart(t *testing.T) {
	// On one processor the answer is received before the body is first read.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var refused atomic.Int32
	f := newRemoteFixture(t, true, 0)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r3", Invites: true, Replies: true}
	refusing, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
		var relay messenger.Relay
		if stream.Receive(&relay) != nil {
			return
		}
		refused.Add(1)
		_ = stream.Send(&messenger.RelayInvitation{Invited: true})
		_ = stream.Send(messenger.NewRelayReply(&messenger.RelayResponse{ID: relay.ID, Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonQueue}))
		_ = stream.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = refusing.Close() })
	qt.Assert(t, f.routes.Apply(&messenger.TableDelta{From: 1, To: 2, Sessions: []messenger.SessionRow{
		{Session: 9, Router: "r3", Address: refusing.Address(), Server: &messenger.ServerRow{Name: "s2", Service: "findings", Slots: 1}},
	}}), qt.IsNil)
	const size = 300_000
	for range 40 {
		f.serve(t, newCallerBody(size), -1, time.Second)
		if received := f.backend.received.Swap(nil); received != nil {
			qt.Check(t, len(*received), qt.Equals, size)
		}
	}
	qt.Check(t, refused.Load() > 0, qt.IsTrue)
}

// The limit of the configuration also binds a body without a length.
func TestBodyOfUnknownLengthIsLimited(t *testing.T) {
	for _, size := range []int{200_000, 1_000_000} {
		f := newRemoteFixture(t, true, 150_000)
		answer := f.serve(t, newCallerBody(size), -1, time.Second)
		qt.Check(t, answer.Reason, qt.Equals, messenger.ReasonOversize, qt.Commentf("%d bytes: %s", size, answer.Outcome))
		qt.Check(t, f.backend.received.Load(), qt.IsNil)
	}
}

// Guards against callers that start large bodies and do not go on: those of one router
// take bounded memory, and the excess is refused at once.
func TestHeldBodiesAreBounded(t *testing.T) {
	const (
		callers = 120
		// maxHeld is how many bodies of 256 KiB are held in 16 MiB.
		maxHeld = 64
	)
	f := newRemoteFixture(t, true, 0)
	released := make(chan struct{})
	var begun, refused atomic.Int32
	ended := make(chan struct{}, callers)
	for range callers {
		body := newCallerBody(100_000)
		go func() {
			defer func() { ended <- struct{}{} }()
			answer := f.serve(t, io.MultiReader(body, pausedBody{released: released}), 1_000_000, time.Second)
			if body.read.Load() > 0 {
				begun.Add(1)
			} else if answer.Reason == messenger.ReasonQueue {
				refused.Add(1)
			}
		}()
	}
	for range callers {
		<-ended
	}
	close(released)
	qt.Check(t, begun.Load(), qt.Equals, int32(maxHeld))
	qt.Check(t, refused.Load(), qt.Equals, int32(callers-maxHeld))
}
