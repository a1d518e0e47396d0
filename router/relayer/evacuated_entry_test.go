package relayer_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/mapper"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

// threeDomains is an entry router in failure domain a and routers with servers of one
// service in the domains a, b and c. The server of the entry router owns the keys 0 to 99,
// that of domain b the keys 200 to 299. It must run in a synctest bubble.
type threeDomains struct {
	entry  *relayer.Entry
	routes *mapper.Mapper
	// owners are by failure domain.
	owners map[string]*domainOwner
}

// newThreeDomains starts the routers with an entry that knows of evacuations. run is the
// server in each domain.
func newThreeDomains(t *testing.T, isRanged bool, run func(domain string) requester.Result, evacuated ...string) *threeDomains {
	f := &threeDomains{routes: mapper.New(), owners: make(map[string]*domainOwner)}
	simulatedNetwork := disrupter.New(time.Millisecond)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r", Invites: true, Replies: true}
	delta := &messenger.TableDelta{
		Full: true, To: 1,
		Configuration: &messenger.Configuration{
			Version: 4,
			Routes: []messenger.PathRoute{{
				Name: "find", Host: "desk", Prefix: "/find/", Parts: []messenger.RoutePart{{Service: "findings", Weight: 1}},
				Treatment: messenger.Treatment{Idempotent: true, Timeout: time.Second, Aim: 400 * time.Millisecond, Attempts: 2},
			}},
			Services: []messenger.RoutedService{{Name: "findings", Ranged: isRanged}},
		},
		Ranges: []messenger.RangeRow{
			{Service: "findings", To: 99, Phase: messenger.PhaseOwned, Owner: ownSession, Fence: 2},
			{Service: "findings", From: 200, To: 299, Phase: messenger.PhaseOwned, Owner: ownSession + 1, Fence: 2},
		},
	}
	for n, domain := range []string{"a", "b", "c"} {
		o := newConfirmedOwner(func(context.Context) requester.Result { return run(domain) })
		f.owners[domain] = o
		server, err := linker.Listen(simulatedNetwork.Node(domain), domain+":1", linker.Options{Hello: hello, Handler: func(ctx context.Context, link *linker.Link, stream *linker.Stream) { o.Handle(ctx, link, stream) }})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = server.Close() })
		delta.Sessions = append(delta.Sessions, messenger.SessionRow{
			Session: ownSession + uint64(n), Router: domain, Address: domain + ":1", Domain: domain, Leaving: slices.Contains(evacuated, domain),
			Server: &messenger.ServerRow{Name: domain, Service: "findings", Slots: 1},
		})
	}
	for _, domain := range evacuated {
		delta.Evacuations = append(delta.Evacuations, messenger.EvacuationRow{Domain: domain, Since: 1})
	}
	qt.Assert(t, f.routes.Apply(delta), qt.IsNil)
	pool := linker.NewPool(simulatedNetwork.Node("a"), linker.Options{Hello: hello})
	t.Cleanup(pool.Close)
	f.entry = relayer.NewEntry(relayer.EntryOptions{
		Domain: "a", Mapper: f.routes, Owner: f.owners["a"].Owner, Opener: pool, Session: func() uint64 { return ownSession },
		RequestUpdate: func() {}, ConfigurationAge: func() time.Duration { return 0 },
		Budget: budgeter.New(budgeter.Settings{Ratio: 1, Reserve: 10, Window: 10 * time.Second}),
		Log:    logger.Discard(), Metrics: metrics.NewSet(),
	})
	return f
}

// serve serves a call and reads its answer.
func (f *threeDomains) serve(t *testing.T, call *relayer.Call) relayer.Answer {
	answer := f.entry.Serve(t.Context(), call)
	if answer.Body != nil {
		_, err := io.Copy(io.Discard, answer.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Body.Close(), qt.IsNil)
	}
	return answer
}

// sent returns how many requests the server in a domain got.
func (f *threeDomains) sent(domain string) int {
	backend := f.owners[domain].backend
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.sent
}

// Guards against callers' requests, among them those of servers, that fail because their
// router is in an evacuated domain, and against requests and resends that reach its server.
func TestRouterOfEvacuatedDomainSendsElsewhere(t *testing.T) {
	lost := requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Sent: true}
	tests := []struct {
		name     string
		isRanged bool
		key      int32
		// evacuated are the domains that the entry router knows as evacuated.
		evacuated []string
		// isLost is set if the first attempt has no answer.
		isLost bool
		sent   int
	}{
		{name: "without key", key: messenger.NoKey, evacuated: []string{"a"}, sent: 1},
		{name: "by key", isRanged: true, key: 250, evacuated: []string{"a"}, sent: 1},
		{name: "resent without key", key: messenger.NoKey, evacuated: []string{"a"}, isLost: true, sent: 2},
		{name: "without key, the entry does not know yet", key: messenger.NoKey, sent: 1},
		{name: "resent without key, the entry does not know yet", key: messenger.NoKey, isLost: true, sent: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				isLost := test.isLost
				f := newThreeDomains(t, test.isRanged, func(string) requester.Result {
					if isLost {
						isLost = false
						return lost
					}
					return done(t.Context())
				}, test.evacuated...)
				f.owners["a"].order(true)
				answer := f.serve(t, call("/find/x", test.key))
				qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%s", answer.Reason))
				qt.Assert(t, f.sent("a"), qt.Equals, 0)
				qt.Assert(t, f.sent("b")+f.sent("c"), qt.Equals, test.sent)
				if test.evacuated != nil {
					qt.Assert(t, f.owners["a"].refusals.Get(), qt.Equals, uint64(0), qt.Commentf("the entry knows of the order"))
				}
			})
		})
	}
}

// Guards against requests for a key that are refused while the key moves out of the domain.
func TestKeyMovesOutOfEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newThreeDomains(t, true, func(string) requester.Result { return done(t.Context()) }, "a")
		a := f.owners["a"]
		a.order(false)
		answer := f.serve(t, call("/find/x", 7))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, f.sent("a"), qt.Equals, 1, qt.Commentf("the key has not moved yet"))
		a.confirmFor(time.Second)
		a.keys.set(messenger.ReasonMoving)
		time.AfterFunc(200*time.Millisecond, func() {
			_ = f.routes.Apply(&messenger.TableDelta{From: 1, To: 2, Ranges: []messenger.RangeRow{
				{Service: "findings", To: 99, Phase: messenger.PhaseOwned, Owner: ownSession + 1, Fence: 3}}})
		})
		answer = f.serve(t, call("/find/x", 7))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%s", answer.Reason))
		qt.Assert(t, f.sent("a"), qt.Equals, 1)
		qt.Assert(t, f.sent("b"), qt.Equals, 1)
	})
}

// Guards against callers that wait for another owner of their key, or another server, while
// there is none: all failure domains are evacuated.
func TestEntryRefusesAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	all := []string{"a", "b", "c"}
	tests := []struct {
		name      string
		isRanged  bool
		evacuated []string
		key       int32
		reason    messenger.Reason
		after     time.Duration
		maxHeld   time.Duration
	}{
		{name: "key of its own server", isRanged: true, evacuated: all, key: 7, reason: messenger.ReasonDraining, after: time.Second},
		{name: "key of another server", isRanged: true, evacuated: all, key: 250, reason: messenger.ReasonDraining, after: time.Second, maxHeld: 10 * time.Millisecond},
		{name: "free key", isRanged: true, evacuated: all, key: 150, reason: messenger.ReasonDraining, after: time.Second},
		{name: "without key", evacuated: all, key: messenger.NoKey, reason: messenger.ReasonDraining, after: time.Second},
		{name: "key is missing", isRanged: true, evacuated: all, key: messenger.NoKey, reason: messenger.ReasonMalformed},
		// As in a drain, a key that still has its old owner is waited for.
		{name: "other domains left", isRanged: true, evacuated: []string{"a"}, key: 7, reason: messenger.ReasonDraining, maxHeld: 350 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newThreeDomains(t, test.isRanged, func(string) requester.Result { return done(t.Context()) }, test.evacuated...)
				for _, domain := range test.evacuated {
					f.owners[domain].order(true)
				}
				started := time.Now()
				answer := f.serve(t, call("/find/x", test.key))
				qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeRefused)
				qt.Assert(t, answer.Reason, qt.Equals, test.reason)
				if test.after > 0 {
					qt.Assert(t, answer.RetryAfter, qt.Equals, test.after)
				}
				qt.Assert(t, time.Since(started) <= test.maxHeld, qt.IsTrue, qt.Commentf("held for %s", time.Since(started)))
				qt.Assert(t, f.sent("a")+f.sent("b")+f.sent("c"), qt.Equals, 0)
			})
		})
	}
}

// Guards against a part of a body that reaches a server as if it were whole: a body that was
// received by the owner of an evacuated domain is not there for another one, unless it is
// small enough to be kept.
func TestReceivedBodyIsNotSentInPart(t *testing.T) {
	tests := []struct {
		name      string
		size      int
		isChunked bool
		outcome   messenger.Outcome
		received  int
	}{
		{name: "kept for a retry", size: 50_000, outcome: messenger.OutcomeDone, received: 50_000},
		{name: "streamed", size: 300_000, outcome: messenger.OutcomeRefused},
		{name: "of unknown length", size: 50_000, isChunked: true, outcome: messenger.OutcomeRefused},
		{name: "long, of unknown length", size: 300_000, isChunked: true, outcome: messenger.OutcomeRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newThreeDomains(t, false, func(string) requester.Result { return done(t.Context()) }, "a")
				backends := make(map[string]*bodyBackend)
				slots := make(map[string]*queuer.Slot)
				for _, domain := range []string{"b", "c"} {
					backends[domain] = &bodyBackend{}
					f.owners[domain].setBackend(backends[domain])
					slot, refused := f.owners[domain].admission.Acquire(t.Context(), queuer.Job{Kind: "other", Aim: time.Hour, Deadline: time.Hour})
					qt.Assert(t, refused, qt.IsNil)
					slots[domain] = slot
				}
				upload := call("/find/x", messenger.NoKey)
				upload.Body, upload.Length = newCallerBody(test.size), int64(test.size)
				if test.isChunked {
					upload.Length = -1
				}
				answers := make(chan relayer.Answer, 1)
				go func() { answers <- f.serve(t, upload) }()
				time.Sleep(100 * time.Millisecond)
				first, second := "b", "c"
				if f.owners["c"].admission.Work().Waiting > 0 {
					first, second = second, first
				}
				qt.Assert(t, f.owners[first].admission.Work().Waiting, qt.Equals, 1)
				f.owners[first].order(true)
				slots[second].Release(true)
				slots[first].Release(true)
				answer := <-answers
				qt.Assert(t, answer.Outcome, qt.Equals, test.outcome, qt.Commentf("%s", answer.Reason))
				qt.Assert(t, backends[first].sent.Load(), qt.Equals, int32(0))
				if test.outcome == messenger.OutcomeRefused {
					qt.Assert(t, answer.Reason, qt.Equals, messenger.ReasonDraining)
					qt.Assert(t, backends[second].sent.Load(), qt.Equals, int32(0))
					return
				}
				qt.Assert(t, len(*backends[second].received.Load()), qt.Equals, test.received)
			})
		})
	}
}
