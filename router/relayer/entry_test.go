package relayer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/courier"
	"marigoldhill/router/mapper"
	"marigoldhill/router/relayer"
)

const ownSession = 7

// newEntry returns an Entry whose own server holds all keys, with routes for
// requests that may run twice and for those that may not.
func newEntry(t *testing.T, o *owner, configured bool) (*relayer.Entry, *mapper.Mapper) {
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
		Mapper: routes, Owner: o.Owner, Session: func() uint64 { return ownSession }, Hasten: func() {},
		Budget: budgeter.New(budgeter.Settings{Ratio: 1, Reserve: 10, Window: 10 * time.Second}),
		Log:    logger.Discard(), Metrics: metrics.NewSet(),
	}), routes
}

func call(path string, key int32) *relayer.Call {
	return &relayer.Call{ID: "1", Method: "POST", Host: "desk", Target: path, Body: strings.NewReader("body"), Length: 4, Key: key, Left: time.Second}
}

func TestEntryRefusesAtOnceWhatItCannotServe(t *testing.T) {
	large := call("/find/x", 7)
	large.Length = 101
	wordy := call("/find/x", 7)
	wordy.Header = []messenger.Header{{Name: "Accept", Values: []string{strings.Repeat("a", 40), strings.Repeat("b", 9)}}}
	tests := []struct {
		name       string
		configured bool
		call       *relayer.Call
		// released says that the owner does not serve the key any more.
		released bool
		reason   messenger.Reason
		// longest is how long the caller is held at most.
		longest time.Duration
	}{
		{name: "no configuration yet", call: call("/find/x", 7), reason: messenger.ReasonUnready},
		{name: "no route", configured: true, call: call("/none/x", 7), reason: messenger.ReasonRoute},
		{name: "body too large", configured: true, call: large, reason: messenger.ReasonOversize},
		{name: "header too large", configured: true, call: wordy, reason: messenger.ReasonOversize},
		{name: "key is missing", configured: true, call: call("/find/x", messenger.NoKey), reason: messenger.ReasonMalformed},
		{name: "key has no owner", configured: true, call: call("/find/x", 150), reason: messenger.ReasonUnowned, longest: 350 * time.Millisecond},
		{name: "key moves", configured: true, call: call("/find/x", 250), released: true, reason: messenger.ReasonMoving, longest: 350 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(func(context.Context) courier.Result { return done(200, strings.NewReader("ok"), 2) })
				if test.released {
					o.keys.set(messenger.ReasonMoving)
				}
				entry, _ := newEntry(t, o, test.configured)
				begun := time.Now()
				answer := entry.Serve(t.Context(), test.call)
				qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeRefused)
				qt.Assert(t, answer.Reason, qt.Equals, test.reason)
				qt.Assert(t, time.Since(begun) <= test.longest, qt.IsTrue, qt.Commentf("held for %s", time.Since(begun)))
				qt.Assert(t, o.backend.sent, qt.Equals, 0)
			})
		})
	}
}

// A request whose answer is lost runs again only when it may, and only as often as
// its route allows; a server's refusal is no run.
func TestEntryRepeatsOnlyWhatItMay(t *testing.T) {
	lost := courier.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Sent: true}
	shed := courier.Result{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Sent: true}
	tests := []struct {
		name    string
		path    string
		results []courier.Result
		want    messenger.Outcome
		sent    int
	}{
		{name: "lost, may run twice", path: "/find/x", results: []courier.Result{lost}, want: messenger.OutcomeDone, sent: 2},
		{name: "lost twice, may run twice", path: "/find/x", results: []courier.Result{lost, lost}, want: messenger.OutcomeUnknown, sent: 2},
		{name: "lost, may run once", path: "/issue/x", results: []courier.Result{lost}, want: messenger.OutcomeUnknown, sent: 1},
		{name: "shed twice, may run once", path: "/issue/x", results: []courier.Result{shed, shed}, want: messenger.OutcomeRefused, sent: 2},
		{name: "lost, then shed", path: "/find/x", results: []courier.Result{lost, shed}, want: messenger.OutcomeUnknown, sent: 2},
		{name: "answered", path: "/issue/x", want: messenger.OutcomeDone, sent: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				results := test.results
				o := newOwner(func(context.Context) courier.Result {
					if len(results) == 0 {
						return done(200, strings.NewReader("ok"), 2)
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

// A key that moves is served by its new owner as soon as that is known.
func TestEntryWaitsForTheNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(func(context.Context) courier.Result { return done(200, strings.NewReader("ok"), 2) })
		o.keys.set(messenger.ReasonMoving)
		entry, routes := newEntry(t, o, true)
		time.AfterFunc(200*time.Millisecond, func() {
			o.keys.set(messenger.ReasonNone)
			qt.Check(t, routes.Apply(&messenger.TableDelta{From: 1, To: 2, Ranges: []messenger.RangeRow{
				{Service: "findings", From: 200, To: 299, Phase: messenger.PhaseOwned, Owner: ownSession, Fence: 3},
			}}), qt.IsNil)
		})
		begun := time.Now()
		answer := entry.Serve(t.Context(), call("/issue/x", 250))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, time.Since(begun), qt.Equals, 200*time.Millisecond)
		qt.Assert(t, answer.Body.Close(), qt.IsNil)
	})
}

// The map of an entry may be newer than that of the new owner of a key. The request
// is served once the owner has the key, though the entry gets no newer map.
func TestEntryWaitsForALateOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(func(context.Context) courier.Result { return done(200, strings.NewReader("ok"), 2) })
		o.keys.set(messenger.ReasonMisrouted)
		time.AfterFunc(150*time.Millisecond, func() { o.keys.set(messenger.ReasonNone) })
		entry, _ := newEntry(t, o, true)
		begun := time.Now()
		answer := entry.Serve(t.Context(), call("/issue/x", 7))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, time.Since(begun) <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("served after %s", time.Since(begun)))
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
		qt.Assert(t, o.hastened > 0, qt.IsTrue, qt.Commentf("the owner asks for no news"))
	})
}

// A key that moves is served by its owner until that has released it.
func TestEntryServesAMovingKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(func(context.Context) courier.Result { return done(200, strings.NewReader("ok"), 2) })
		entry, _ := newEntry(t, o, true)
		begun := time.Now()
		answer := entry.Serve(t.Context(), call("/issue/x", 250))
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, time.Since(begun), qt.Equals, time.Duration(0))
	})
}
