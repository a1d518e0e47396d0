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

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/requester"
)

// fakeBackend counts the requests and calls run for each.
type fakeBackend struct {
	run  func(ctx context.Context) requester.Result
	mu   sync.Mutex
	sent int
	// lastFingerprint is that of the last request.
	lastFingerprint string
}

func (f *fakeBackend) Send(ctx context.Context, _ string, request *requester.ServerRequest, _ io.Reader) requester.Result {
	f.mu.Lock()
	f.sent++
	f.lastFingerprint = request.Relay.Fingerprint
	f.mu.Unlock()
	return f.run(ctx)
}

type fakeKeys struct{ reason atomic.Value }

func (f *fakeKeys) set(reason messenger.Reason) { f.reason.Store(reason) }

func (f *fakeKeys) CheckHeld(timer.Instant, uint32) messenger.Reason {
	reason, _ := f.reason.Load().(messenger.Reason)
	return reason
}

func (f *fakeKeys) Enter(now timer.Instant, key uint32) messenger.Reason {
	return f.CheckHeld(now, key)
}

func (f *fakeKeys) Leave(uint32) {}

// fakeSampler counts what it is told. Its fields may be read when all requests have ended.
type fakeSampler struct {
	mu       sync.Mutex
	arrived  int
	finished []time.Duration
	judged   []bool
}

func (f *fakeSampler) Arrived(uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrived++
}

func (f *fakeSampler) Finished(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished = append(f.finished, took)
}

func (f *fakeSampler) Judged(failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judged = append(f.judged, failed)
}

// fakeDetector is a Detector of a server that does not crash.
type fakeDetector struct{}

func (fakeDetector) ConnectionBroken(string) {}

// testOwner is an Owner with fakes around it.
type testOwner struct {
	*relayer.Owner
	backend   *fakeBackend
	keys      *fakeKeys
	sampler   *fakeSampler
	server    *monitor.Monitor
	admission *queuer.Admission
	isolation *isolator.Isolator
	heads     *limiter.Pool
	// quarantined is OwnerOptions.IsQuarantined, if it is set.
	quarantined func(fingerprint string) bool
	// updatesRequested counts the calls of OwnerOptions.RequestUpdate.
	updatesRequested int
}

const serverAddress = "10.0.0.1:8080"

// maxTestHeads is the memory for heads from other routers.
const maxTestHeads = 1 << 20

func newTestOwner(run func(ctx context.Context) requester.Result) *testOwner {
	backend := &fakeBackend{run: run}
	o := newTestOwnerWith(backend)
	o.backend = backend
	return o
}

// newTestOwnerWith returns a testOwner with a backend of another kind.
func newTestOwnerWith(backend relayer.Backend) *testOwner {
	o := &testOwner{keys: &fakeKeys{}, sampler: &fakeSampler{}, admission: queuer.NewAdmission(1), isolation: isolator.New(), heads: limiter.NewPool(maxTestHeads)}
	o.server = monitor.New(monitor.Options{Address: serverAddress, OnChange: func(*monitor.View) {}, IsConnected: func() bool { return false }, Log: logger.Discard()})
	o.server.Announce(timer.Now(), monitor.Announcement{Row: messenger.ServerRow{Name: "s1", Service: "findings", URL: serverAddress, Slots: 1, Born: 1}})
	o.Owner = relayer.NewOwner(relayer.OwnerOptions{
		Server: o.server, KeyChecker: o.keys, Admission: o.admission, Backend: backend, Sampler: o.sampler,
		Isolator: o.isolation, Detector: fakeDetector{},
		IsQuarantined: func(fingerprint string) bool { return o.quarantined != nil && o.quarantined(fingerprint) },
		Inbound:       inviter.New(0),
		Heads:         o.heads,
		RequestUpdate: func() { o.updatesRequested++ },
		Log:           logger.Discard(), Metrics: metrics.NewSet(),
	})
	return o
}

func relay(key int32) *messenger.Relay {
	return &messenger.Relay{ID: "1", Service: "findings", Route: "find", Key: key, Aim: 400 * time.Millisecond, Left: time.Second}
}

func doneResult(status int, body io.Reader, length int64) requester.Result {
	return requester.Result{Outcome: messenger.OutcomeDone, Sent: true, Status: status, Header: http.Header{}, Length: length, Body: io.NopCloser(body)}
}

// brokenReader fails where its source ends.
type brokenReader struct{ source io.Reader }

func (b brokenReader) Read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if err != nil {
		err = errors.New("connection reset")
	}
	return n, err
}

func TestOwnerAnswers(t *testing.T) {
	tests := []struct {
		name    string
		key     int32
		prepare func(o *testOwner)
		result  requester.Result
		want    messenger.Outcome
		reason  messenger.Reason
		body    string
		sent    int
		judged  []bool
	}{
		{name: "answered", key: 7, result: doneResult(200, strings.NewReader("body"), 4), want: messenger.OutcomeDone, body: "body", sent: 1, judged: []bool{false}},
		{name: "server error", key: 7, result: doneResult(500, strings.NewReader("no"), 2), want: messenger.OutcomeDone, body: "no", sent: 1, judged: []bool{true}},
		{name: "answer truncated", key: 7, result: doneResult(200, brokenReader{strings.NewReader("bo")}, 4), want: messenger.OutcomeUnknown, reason: messenger.ReasonTruncated, sent: 1, judged: []bool{true}},
		{name: "shed", key: 7, result: requester.Result{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed, Sent: true}, want: messenger.OutcomeRefused, reason: messenger.ReasonShed, sent: 1, judged: []bool{true}},
		{name: "key is not held", key: 7, prepare: func(o *testOwner) { o.keys.set(messenger.ReasonMoving) }, want: messenger.OutcomeRefused, reason: messenger.ReasonMoving},
		{name: "withdrawn server, no key", key: messenger.NoKey, prepare: func(o *testOwner) { o.server.Withdraw(timer.Now(), "s1") }, result: doneResult(200, strings.NewReader("body"), 4), want: messenger.OutcomeDone, body: "body", sent: 1, judged: []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newTestOwner(func(context.Context) requester.Result { return test.result })
			if test.prepare != nil {
				test.prepare(o)
			}
			response, body := o.Run(t.Context(), relay(test.key), nil)
			qt.Assert(t, response.Outcome, qt.Equals, test.want)
			qt.Assert(t, response.Reason, qt.Equals, test.reason)
			qt.Assert(t, response.ID, qt.Equals, "1")
			qt.Assert(t, o.backend.sent, qt.Equals, test.sent)
			if test.body != "" {
				data, err := io.ReadAll(body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(data), qt.Equals, test.body)
				qt.Assert(t, body.Close(), qt.IsNil)
			}
			qt.Assert(t, o.admission.Work().Running, qt.Equals, 0)
			qt.Assert(t, o.sampler.judged, qt.DeepEquals, test.judged)
		})
	}
}

// A leaving server is sent no new requests after a short time.
func TestOwnerRefusesForLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, strings.NewReader("body"), 4) })
		o.server.Withdraw(timer.Now(), "s1")
		time.Sleep(1300 * time.Millisecond)
		response, _ := o.Run(t.Context(), relay(7), nil)
		qt.Assert(t, response.Reason, qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, o.backend.sent, qt.Equals, 0)
	})
}

// Requests that a slow server does not answer count in its reported pace.
func TestOwnerMeasuresUnansweredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(func(ctx context.Context) requester.Result {
			<-ctx.Done()
			return requester.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonExpired, Sent: true}
		})
		response, _ := o.Run(t.Context(), relay(7), nil)
		qt.Assert(t, response.Outcome, qt.Equals, messenger.OutcomeUnknown)
		qt.Assert(t, o.sampler.finished, qt.DeepEquals, []time.Duration{time.Second})
		qt.Assert(t, response.Load.Pace >= time.Second, qt.IsTrue, qt.Commentf("%s", response.Load.Pace))
	})
}

// A request that is canceled while it waits is not sent to the server.
func TestOwnerDropsCanceledRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		o := newTestOwner(func(context.Context) requester.Result {
			<-proceed
			return doneResult(200, strings.NewReader("body"), 4)
		})
		go func() { _, _ = o.Run(t.Context(), relay(7), nil) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		responses := make(chan *messenger.RelayResponse)
		go func() {
			response, _ := o.Run(ctx, relay(7), nil)
			responses <- response
		}()
		synctest.Wait()
		cancel()
		qt.Assert(t, (<-responses).Reason, qt.Equals, messenger.ReasonCanceled)
		close(proceed)
		synctest.Wait()
		qt.Assert(t, o.backend.sent, qt.Equals, 1)
	})
}

// A caller that closes a large answer early does not count as a result of the server.
// An answer that the server truncates counts as a failure.
func TestOwnerJudgesLargeAnswers(t *testing.T) {
	tests := []struct {
		name   string
		body   io.Reader
		read   bool
		judged []bool
	}{
		{name: "whole", body: strings.NewReader("body"), read: true, judged: []bool{false}},
		{name: "caller closes early", body: strings.NewReader("body")},
		{name: "server truncates", body: brokenReader{strings.NewReader("bo")}, read: true, judged: []bool{true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newTestOwner(func(context.Context) requester.Result { return doneResult(200, test.body, -1) })
			_, body := o.Run(t.Context(), relay(7), nil)
			if test.read {
				_, _ = io.ReadAll(body)
			}
			qt.Assert(t, body.Close(), qt.IsNil)
			qt.Assert(t, o.sampler.judged, qt.DeepEquals, test.judged)
			qt.Assert(t, o.admission.Work().Running, qt.Equals, 0)
		})
	}
}
