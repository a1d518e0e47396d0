package relayer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	"marigoldhill/router/attendant"
	"marigoldhill/router/courier"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
)

// fakeBackend answers as act says.
type fakeBackend struct {
	act  func(ctx context.Context) courier.Result
	mu   sync.Mutex
	sent int
}

func (f *fakeBackend) Send(ctx context.Context, _ string, _ *courier.Order, _ io.Reader) courier.Result {
	f.mu.Lock()
	f.sent++
	f.mu.Unlock()
	return f.act(ctx)
}

type fakeKeys struct{ reason atomic.Value }

func (f *fakeKeys) set(reason messenger.Reason) { f.reason.Store(reason) }

func (f *fakeKeys) Holds(timer.Instant, uint32) messenger.Reason {
	reason, _ := f.reason.Load().(messenger.Reason)
	return reason
}

type fakeSampler struct {
	arrived  int
	finished []time.Duration
	judged   []bool
}

func (f *fakeSampler) Arrived(uint32)              { f.arrived++ }
func (f *fakeSampler) Finished(took time.Duration) { f.finished = append(f.finished, took) }
func (f *fakeSampler) Judged(failed bool)          { f.judged = append(f.judged, failed) }

// owner is an Owner with fakes around it.
type owner struct {
	*relayer.Owner
	backend *fakeBackend
	keys    *fakeKeys
	sampler *fakeSampler
	server  *attendant.Attendant
	gate    *queuer.Gate
	// hastened counts how often the owner asked for news.
	hastened int
}

const serverAddress = "10.0.0.1:8080"

func newOwner(act func(ctx context.Context) courier.Result) *owner {
	o := &owner{backend: &fakeBackend{act: act}, keys: &fakeKeys{}, sampler: &fakeSampler{}, gate: queuer.NewGate(1)}
	o.server = attendant.New(attendant.Options{Address: serverAddress, Changed: func(*attendant.View) {}, Gone: func() {}, Log: logger.Discard()})
	o.server.Announce(timer.Now(), attendant.Announcement{Row: messenger.ServerRow{Name: "s1", Service: "findings", URL: serverAddress, Slots: 1, Born: 1}})
	o.Owner = relayer.NewOwner(relayer.OwnerOptions{
		Server: o.server, Keys: o.keys, Gate: o.gate, Backend: o.backend, Sampler: o.sampler,
		Hasten: func() { o.hastened++ },
		Log:    logger.Discard(), Metrics: metrics.NewSet(),
	})
	return o
}

func relay(key int32) *messenger.Relay {
	return &messenger.Relay{ID: "1", Service: "findings", Route: "find", Key: key, Aim: 400 * time.Millisecond, Left: time.Second}
}

func done(status int, body io.Reader, length int64) courier.Result {
	return courier.Result{Outcome: messenger.OutcomeDone, Sent: true, Status: status, Header: http.Header{}, Length: length, Body: io.NopCloser(body)}
}

// broken ends in the middle of an answer.
type broken struct{ from io.Reader }

func (b broken) Read(data []byte) (int, error) {
	n, err := b.from.Read(data)
	if err != nil {
		err = errors.New("connection was reset")
	}
	return n, err
}

func TestOwnerAnswers(t *testing.T) {
	tests := []struct {
		name    string
		key     int32
		prepare func(o *owner)
		result  courier.Result
		want    messenger.Outcome
		reason  messenger.Reason
		body    string
		sent    int
		judged  []bool
	}{
		{name: "answered", key: 7, result: done(200, strings.NewReader("body"), 4), want: messenger.OutcomeDone, body: "body", sent: 1, judged: []bool{false}},
		{name: "server failed it", key: 7, result: done(500, strings.NewReader("no"), 2), want: messenger.OutcomeDone, body: "no", sent: 1, judged: []bool{true}},
		{name: "cut short", key: 7, result: done(200, broken{strings.NewReader("bo")}, 4), want: messenger.OutcomeUnknown, reason: messenger.ReasonTruncated, sent: 1, judged: []bool{true}},
		{name: "shed", key: 7, result: courier.Result{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Sent: true}, want: messenger.OutcomeRefused, reason: messenger.ReasonShed, sent: 1, judged: []bool{true}},
		{name: "key is not held", key: 7, prepare: func(o *owner) { o.keys.set(messenger.ReasonMoving) }, want: messenger.OutcomeRefused, reason: messenger.ReasonMoving},
		{name: "other service", key: messenger.NoKey, prepare: func(o *owner) { o.server.Withdraw(timer.Now(), "s1") }, result: done(200, strings.NewReader("body"), 4), want: messenger.OutcomeDone, body: "body", sent: 1, judged: []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(func(context.Context) courier.Result { return test.result })
			if test.prepare != nil {
				test.prepare(o)
			}
			answer, body := o.Run(t.Context(), relay(test.key), nil)
			qt.Assert(t, answer.Outcome, qt.Equals, test.want)
			qt.Assert(t, answer.Reason, qt.Equals, test.reason)
			qt.Assert(t, answer.ID, qt.Equals, "1")
			qt.Assert(t, o.backend.sent, qt.Equals, test.sent)
			if test.body != "" {
				data, err := io.ReadAll(body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(data), qt.Equals, test.body)
				qt.Assert(t, body.Close(), qt.IsNil)
			}
			qt.Assert(t, o.gate.Work().Running, qt.Equals, 0)
			qt.Assert(t, o.sampler.judged, qt.DeepEquals, test.judged)
		})
	}
}

// A leaving server gets no new work soon, also when it waited meanwhile.
func TestOwnerStopsSendingToALeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(func(context.Context) courier.Result { return done(200, strings.NewReader("body"), 4) })
		o.server.Withdraw(timer.Now(), "s1")
		time.Sleep(1300 * time.Millisecond)
		answer, _ := o.Run(t.Context(), relay(7), nil)
		qt.Assert(t, answer.Reason, qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, o.backend.sent, qt.Equals, 0)
	})
}

// What a slow server does not answer counts for its pace.
func TestOwnerMeasuresUnansweredWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(func(ctx context.Context) courier.Result {
			<-ctx.Done()
			return courier.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonExpired, Sent: true}
		})
		answer, _ := o.Run(t.Context(), relay(7), nil)
		qt.Assert(t, answer.Outcome, qt.Equals, messenger.OutcomeUnknown)
		qt.Assert(t, o.sampler.finished, qt.DeepEquals, []time.Duration{time.Second})
		qt.Assert(t, answer.Load.Pace >= time.Second, qt.IsTrue, qt.Commentf("%s", answer.Load.Pace))
	})
}

// A caller that leaves while its request waits never reaches the server.
func TestOwnerForgetsCallersThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		free := make(chan struct{})
		o := newOwner(func(context.Context) courier.Result {
			<-free
			return done(200, strings.NewReader("body"), 4)
		})
		go func() { _, _ = o.Run(t.Context(), relay(7), nil) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan *messenger.RelayAnswer)
		go func() {
			answer, _ := o.Run(ctx, relay(7), nil)
			ended <- answer
		}()
		synctest.Wait()
		cancel()
		qt.Assert(t, (<-ended).Reason, qt.Equals, messenger.ReasonCanceled)
		close(free)
		synctest.Wait()
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
	})
}

// A caller that leaves in the middle of a large answer says nothing of the server; an
// answer that the server breaks off does.
func TestOnlyTheServerIsJudgedByItsAnswers(t *testing.T) {
	tests := []struct {
		name   string
		body   io.Reader
		read   bool
		judged []bool
	}{
		{name: "whole", body: strings.NewReader("body"), read: true, judged: []bool{false}},
		{name: "caller leaves", body: strings.NewReader("body")},
		{name: "server breaks off", body: broken{strings.NewReader("bo")}, read: true, judged: []bool{true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(func(context.Context) courier.Result { return done(200, test.body, -1) })
			_, body := o.Run(t.Context(), relay(7), nil)
			if test.read {
				_, _ = io.ReadAll(body)
			}
			qt.Assert(t, body.Close(), qt.IsNil)
			qt.Assert(t, o.sampler.judged, qt.DeepEquals, test.judged)
			qt.Assert(t, o.gate.Work().Running, qt.Equals, 0)
		})
	}
}
