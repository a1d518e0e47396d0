package relayer_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/mapper"
	"marigoldhill/router/monitor"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

const ownSession = 7

// newEntry returns an Entry of the router beside o, with an idempotent route and one
// that is not. Its server owns the keys 0 to 99 and the moving keys 200 to 299.
func newEntry(t *testing.T, o *testOwner, configured bool) (*relayer.Entry, *mapper.Mapper) {
	return newEntryOfAge(t, o, configured, 0)
}

// newEntryOfAge is newEntry with a configuration that was confirmed some time ago.
func newEntryOfAge(t *testing.T, o *testOwner, configured bool, age time.Duration) (*relayer.Entry, *mapper.Mapper) {
	routes := mapper.New()
	if configured {
		part := []messenger.RoutePart{{Service: "findings", Weight: 1}}
		qt.Assert(t, routes.Apply(&messenger.TableDelta{
			Full: true, To: 1,
			Configuration: &messenger.Configuration{
				Version: 4,
				Routes: []messenger.PathRoute{
					{Name: "find", Host: "desk", Prefix: "/find/", Parts: part, Treatment: messenger.Treatment{Idempotent: true, Timeout: time.Second, Aim: 400 * time.Millisecond, Attempts: 2}},
					{Name: "issue", Host: "desk", Prefix: "/issue/", Parts: part, Treatment: messenger.Treatment{Timeout: time.Second, Aim: 400 * time.Millisecond, Attempts: 2}},
				},
				Services: []messenger.RoutedService{{Name: "findings", Ranged: true}},
				Limits:   messenger.Limits{BodyBytes: 100, HeaderBytes: 64},
			},
			Sessions: []messenger.SessionRow{{Session: ownSession, Router: "r1", Server: &messenger.ServerRow{Name: "s1", Service: "findings", Slots: 1}}},
			Ranges: []messenger.RangeRow{
				{Service: "findings", To: 99, Phase: messenger.PhaseOwned, Owner: ownSession, Fence: 2},
				{Service: "findings", From: 200, To: 299, Phase: messenger.PhaseMoving, Owner: ownSession, Next: 8, Fence: 2},
			},
		}), qt.IsNil)
	}
	return relayer.NewEntry(relayer.EntryOptions{
		Mapper: routes, Owner: o.Owner, Session: func() uint64 { return ownSession }, RequestUpdate: func() {},
		ConfigurationAge: func() time.Duration { return age },
		Budget:           budgeter.New(budgeter.Settings{Ratio: 1, Reserve: 10, Window: 10 * time.Second}),
		Log:              logger.Discard(), Metrics: metrics.NewSet(),
	}), routes
}

func call(path string, key int32) *relayer.Call {
	return &relayer.Call{ID: "1", Method: "POST", Host: "desk", Target: path, Body: strings.NewReader("body"), Length: 4, Key: key, TimeLeft: time.Second}
}

func TestEntryRefusals(t *testing.T) {
	largeBody := call("/find/x", 7)
	largeBody.Length = 101
	largeHeader := call("/find/x", 7)
	largeHeader.Header = []messenger.Header{{Name: "Accept", Values: []string{strings.Repeat("a", 40), strings.Repeat("b", 9)}}}
	tests := []struct {
		name       string
		configured bool
		call       *relayer.Call
		// age is how long ago the configuration was confirmed.
		age time.Duration
		// released is set if the owner has released the key.
		released bool
		reason   messenger.Reason
		// maxHeld is how long the caller may be held.
		maxHeld time.Duration
	}{
		{name: "no configuration yet", call: call("/find/x", 7), reason: messenger.ReasonUnready},
		{name: "no route", configured: true, call: call("/none/x", 7), reason: messenger.ReasonRoute},
		{name: "no route, confirmed lately", configured: true, call: call("/none/x", 7), age: time.Second, reason: messenger.ReasonRoute},
		{name: "no route, not confirmed lately", configured: true, call: call("/none/x", 7), age: 1100 * time.Millisecond, reason: messenger.ReasonUnready},
		{name: "body too large", configured: true, call: largeBody, reason: messenger.ReasonOversize},
		{name: "header too large", configured: true, call: largeHeader, reason: messenger.ReasonOversize},
		{name: "key is missing", configured: true, call: call("/find/x", messenger.NoKey), reason: messenger.ReasonMalformed},
		{name: "key has no owner", configured: true, call: call("/find/x", 150), reason: messenger.ReasonUnowned, maxHeld: 350 * time.Millisecond},
		{name: "key moves", configured: true, call: call("/find/x", 250), released: true, reason: messenger.ReasonMoving, maxHeld: 350 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
				if test.released {
					o.keys.set(messenger.ReasonMoving)
				}
				entry, _ := newEntryOfAge(t, o, test.configured, test.age)
				started := time.Now()
				answer := entry.Serve(t.Context(), test.call)
				qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeRefused)
				qt.Assert(t, answer.Reason, qt.Equals, test.reason)
				qt.Assert(t, time.Since(started) <= test.maxHeld, qt.IsTrue, qt.Commentf("held for %s", time.Since(started)))
				qt.Assert(t, o.backend.sent, qt.Equals, 0)
			})
		})
	}
}

// A request whose answer was lost is sent again only if it is idempotent, and only as
// often as its route allows. A request that the server shed did not run.
func TestEntryRetries(t *testing.T) {
	lost := requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Sent: true}
	shed := requester.Result{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Sent: true}
	tests := []struct {
		name    string
		path    string
		results []requester.Result
		want    messenger.Outcome
		sent    int
	}{
		{name: "lost, idempotent", path: "/find/x", results: []requester.Result{lost}, want: messenger.OutcomeDone, sent: 2},
		{name: "lost twice, idempotent", path: "/find/x", results: []requester.Result{lost, lost}, want: messenger.OutcomeUnknown, sent: 2},
		{name: "lost, not idempotent", path: "/issue/x", results: []requester.Result{lost}, want: messenger.OutcomeUnknown, sent: 1},
		{name: "shed twice, not idempotent", path: "/issue/x", results: []requester.Result{shed, shed}, want: messenger.OutcomeRefused, sent: 2},
		{name: "lost, then shed", path: "/find/x", results: []requester.Result{lost, shed}, want: messenger.OutcomeUnknown, sent: 2},
		{name: "answered", path: "/issue/x", want: messenger.OutcomeDone, sent: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				results := test.results
				o := newTestOwner(func(context.Context) requester.Result {
					if len(results) == 0 {
						return doneResult(200, strings.NewReader("ok"), 2)
					}
					next := results[0]
					results = results[1:]
					return next
				})
				entry, _ := newEntry(t, o, true)
				answer := entry.Serve(t.Context(), call(test.path, 7))
				qt.Assert(t, answer.Outcome, qt.Equals, test.want)
				qt.Assert(t, o.backend.sent, qt.Equals, test.sent)
				if answer.Body != nil {
					data, err := io.ReadAll(answer.Body)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, string(data), qt.Equals, "ok")
					qt.Assert(t, answer.Body.Close(), qt.IsNil)
				}
			})
		})
	}
}

// A request for a moving key is sent to the new owner as soon as the map has it.
func TestEntryWaitsForNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
		o.keys.set(messenger.ReasonMoving)
		entry, routes := newEntry(t, o, true)
		time.AfterFunc(200*time.Millisecond, func() {
			o.keys.set(messenger.ReasonNone)
			qt.Check(t, routes.Apply(&messenger.TableDelta{From: 1, To: 2, Ranges: []messenger.RangeRow{
				{Service: "findings", From: 200, To: 299, Phase: messenger.PhaseOwned, Owner: ownSession, Fence: 3},
			}}), qt.IsNil)
		})
		started := time.Now()
		answer := entry.Serve(t.Context(), call("/issue/x", 250))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, time.Since(started), qt.Equals, 200*time.Millisecond)
		qt.Assert(t, answer.Body.Close(), qt.IsNil)
	})
}

// The entry may receive the grant of a key to its new owner before that owner does.
// The request is served once the owner holds the key, although the entry receives no
// newer map.
func TestEntryWaitsForDelayedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
		o.keys.set(messenger.ReasonMisrouted)
		time.AfterFunc(150*time.Millisecond, func() { o.keys.set(messenger.ReasonNone) })
		entry, _ := newEntry(t, o, true)
		started := time.Now()
		answer := entry.Serve(t.Context(), call("/issue/x", 7))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, time.Since(started) <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("served after %s", time.Since(started)))
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
		qt.Assert(t, o.updatesRequested > 0, qt.IsTrue, qt.Commentf("the owner requested no update"))
	})
}

// A moving key is served by its owner until the owner has released it.
func TestEntryServesMovingKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
		entry, _ := newEntry(t, o, true)
		started := time.Now()
		answer := entry.Serve(t.Context(), call("/issue/x", 250))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, time.Since(started), qt.Equals, time.Duration(0))
	})
}

// A quarantined request is refused at its entry, and by the owner if it was waiting there
// or its entry does not know of the quarantine yet.
func TestQuarantinedRequestDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := make(chan struct{})
		o := newTestOwner(func(context.Context) requester.Result {
			<-run
			return doneResult(200, strings.NewReader("ok"), 2)
		})
		entry, routes := newEntry(t, o, true)
		o.quarantined = func(print string) bool { return routes.Load().IsQuarantined(print) }
		running, waiting := make(chan relayer.Answer, 1), make(chan relayer.Answer, 1)
		serve := func(answer chan relayer.Answer) {
			answer <- entry.Serve(t.Context(), call("/find/x", 7))
		}
		go serve(running)
		synctest.Wait()
		print := o.isolation.InFlight()[0].Fingerprint
		go serve(waiting)
		synctest.Wait()
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
		qt.Assert(t, routes.Apply(&messenger.TableDelta{From: 1, To: 2, Quarantines: []messenger.QuarantineRow{{Fingerprint: print}}}), qt.IsNil)
		close(run)
		qt.Assert(t, (<-running).Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, (<-waiting).Reason, qt.Equals, messenger.ReasonQuarantine)
		answer := entry.Serve(t.Context(), call("/find/x", 7))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeRefused)
		qt.Assert(t, answer.Reason, qt.Equals, messenger.ReasonQuarantine)
		qt.Assert(t, answer.RetryAfter > 10*time.Second, qt.IsTrue)
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
		other := relay(7)
		other.Fingerprint = print
		response, _ := o.Run(t.Context(), other, nil)
		qt.Assert(t, response.Reason, qt.Equals, messenger.ReasonQuarantine)
	})
}

// Guards against a request that is quarantined and runs again after an update of the routers.
func TestQuarantineOfThePreviousVersionHolds(t *testing.T) {
	o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
	entry, routes := newEntry(t, o, true)
	previous := hasher.Fingerprint("findings", "7", "POST desk/find/x", hasher.Sum([]byte("body")))
	qt.Assert(t, routes.Apply(&messenger.TableDelta{From: 1, To: 2, Quarantines: []messenger.QuarantineRow{{Fingerprint: previous}}}), qt.IsNil)
	qt.Check(t, entry.Serve(t.Context(), call("/find/x", 7)).Reason, qt.Equals, messenger.ReasonQuarantine)
	qt.Check(t, entry.Serve(t.Context(), call("/find/x", 8)).Outcome, qt.Equals, messenger.OutcomeDone)
}

// Guards against a quarantine that does not hold for bodies that the entry router does not know.
func TestQuarantinedUploadIsNotSent(t *testing.T) {
	for _, length := range []int64{-1, 20_000} {
		o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
		request := func(body string) messenger.Reason {
			relay := relay(messenger.NoKey)
			relay.Length = length
			response, _ := o.Run(t.Context(), relay, strings.NewReader(strings.Repeat(body, 20_000)))
			return response.Reason
		}
		qt.Assert(t, request("a"), qt.Equals, messenger.ReasonNone)
		quarantined := o.backend.lastFingerprint
		o.quarantined = func(print string) bool { return print == quarantined }
		qt.Check(t, request("a"), qt.Equals, messenger.ReasonQuarantine)
		qt.Check(t, request("b"), qt.Equals, messenger.ReasonNone)
		qt.Check(t, o.backend.sent, qt.Equals, 2)
	}
}

// Copies of a request have one fingerprint whoever sends them, and other requests do not.
func TestFingerprintsOfRequests(t *testing.T) {
	o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
	entry, _ := newEntry(t, o, true)
	fingerprint := func(change func(call *relayer.Call)) string {
		c := call("/find/x", 7)
		change(c)
		answer := entry.Serve(t.Context(), c)
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		return o.backend.lastFingerprint
	}
	original := fingerprint(func(*relayer.Call) {})
	tests := []struct {
		name   string
		change func(call *relayer.Call)
		same   bool
	}{
		{name: "identifier, host in capitals, header", same: true, change: func(c *relayer.Call) {
			c.ID, c.Host, c.Header = "2", "DESK", []messenger.Header{{Name: "A", Values: []string{"b"}}}
		}},
		{name: "method", change: func(c *relayer.Call) { c.Method = "PUT" }},
		{name: "path", change: func(c *relayer.Call) { c.Target = "/find/y" }},
		{name: "query", change: func(c *relayer.Call) { c.Target = "/find/x?page=2" }},
		{name: "body", change: func(c *relayer.Call) { c.Body = strings.NewReader("BODY") }},
		{name: "key", change: func(c *relayer.Call) { c.Key = 8 }},
		{name: "body in chunks", same: true, change: func(c *relayer.Call) { c.Length = -1 }},
		{name: "other body in chunks", change: func(c *relayer.Call) { c.Body, c.Length = strings.NewReader("BODY"), -1 }},
		{name: "no body", change: func(c *relayer.Call) { c.Body, c.Length = strings.NewReader(""), 0 }},
	}
	for _, test := range tests {
		qt.Check(t, fingerprint(test.change) == original, qt.Equals, test.same, qt.Commentf(test.name))
	}
}

// Guards against a request that crashes servers and is counted anew for each service of its route,
// or again after its route has moved: its fingerprint must not depend on what a router chose.
func TestFingerprintIsIndependentOfTheRoute(t *testing.T) {
	for _, remote := range []bool{false, true} {
		for _, size := range []int{0, 4, 20_000, 100_000, 400_000} {
			t.Run(fmt.Sprintf("remote=%t/%d", remote, size), func(t *testing.T) {
				body := strings.Repeat("b", size)
				want := claim{service: "findings", ranged: true, body: body, length: size}.fingerprint(t, remote)
				tests := []struct {
					name  string
					claim claim
					other bool
				}{
					{name: "other service", claim: claim{service: "archive", ranged: true, body: body, length: size}},
					{name: "service without keys", claim: claim{service: "vault", body: body, length: size}},
					{name: "in chunks", claim: claim{service: "vault", body: body, length: -1}},
					{name: "other key", claim: claim{service: "vault", key: 8, body: body, length: size}, other: true},
					{name: "other body", claim: claim{service: "vault", body: "B" + body, length: size + 1}, other: true},
				}
				for _, test := range tests {
					qt.Check(t, test.claim.fingerprint(t, remote) != want, qt.Equals, test.other, qt.Commentf(test.name))
				}
			})
		}
	}
}

// claim is a request for a route to one service.
type claim struct {
	service string
	ranged  bool
	// key is 7 if it is not set.
	key    int32
	body   string
	length int
}

// fingerprint returns the fingerprint with which the server gets a claim, beside the entry router
// or another one.
func (c claim) fingerprint(t *testing.T, remote bool) string {
	o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("ok"), 2) })
	o.server.Announce(timer.Now(), monitor.Announcement{Row: messenger.ServerRow{Name: "s1", Service: c.service, URL: serverAddress, Slots: 1, Born: 2}})
	route := messenger.PathRoute{Name: "claim" + c.service, Host: "desk", Prefix: "/find/", Treatment: messenger.Treatment{Timeout: time.Second, Aim: 400 * time.Millisecond, Attempts: 2}}
	entry := newLinkedEntry(t, o, remote, route, messenger.RoutedService{Name: c.service, Ranged: c.ranged})
	request := call("/find/x", cmp.Or(c.key, 7))
	request.Body, request.Length = strings.NewReader(c.body), int64(c.length)
	answer := entry.Serve(t.Context(), request)
	qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%s", answer.Reason))
	_ = answer.Body.Close()
	return o.backend.lastFingerprint
}

// The router beside a server that had said that it leaves forgot it when it was restarted,
// and entries sent it requests again.
func TestEntryRemembersServersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(func(context.Context) requester.Result {
			result := doneResult(200, strings.NewReader("ok"), 2)
			result.ResponseInfo = requester.ResponseInfo{ID: "1", Leaving: true}
			return result
		})
		entry, routes := newEntry(t, o, true)
		serve := func() messenger.Reason { return entry.Serve(t.Context(), call("/find/x", 7)).Reason }
		qt.Assert(t, serve(), qt.Equals, messenger.ReasonNone)
		// The announcement of a server that has just started stands for a router that has.
		announce := func(born int64) {
			row := messenger.ServerRow{Name: "s1", Service: "findings", URL: serverAddress, Slots: 1, Born: born}
			o.server.Announce(timer.Now(), monitor.Announcement{Row: row, Sequence: 1})
		}
		announce(2)
		time.Sleep(time.Second)
		qt.Assert(t, serve(), qt.Equals, messenger.ReasonNone, qt.Commentf("its keys have no other owner yet"))
		announce(3)
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, serve(), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, o.backend.sent, qt.Equals, 2)
		// A later start of the server has not said that it leaves.
		qt.Assert(t, routes.Apply(&messenger.TableDelta{From: 1, To: 2, Sessions: []messenger.SessionRow{
			{Session: ownSession, Router: "r1", Server: &messenger.ServerRow{Name: "s1", Service: "findings", Slots: 1, Born: 4}},
		}}), qt.IsNil)
		qt.Assert(t, serve(), qt.Equals, messenger.ReasonNone)
	})
}
