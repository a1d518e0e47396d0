package relayer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

// readingBackend reads the body of a request before it sends it, as [requester.Client] does with
// small bodies, and records when it sends.
type readingBackend struct {
	mu   sync.Mutex
	sent []time.Time
}

// Send implements [relayer.Backend].
func (b *readingBackend) Send(_ context.Context, _ string, request *requester.ServerRequest, body io.Reader) requester.Result {
	if _, err := io.CopyN(io.Discard, body, request.Relay.Length); err != nil {
		return requester.Result{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonDown, Err: err}
	}
	b.mu.Lock()
	b.sent = append(b.sent, time.Now())
	b.mu.Unlock()
	return requester.Result{Outcome: messenger.OutcomeDone, Sent: true, Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, ResponseInfo: requester.ResponseInfo{ID: request.Relay.ID}}
}

// lateBody is a body that arrives after some time.
type lateBody struct {
	delay  time.Duration
	source io.Reader
}

func (b *lateBody) Read(data []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.source.Read(data)
}

// The body of a request may arrive long after the request has got its slot, if the link is
// slow. Guards against counting such a request for a cold server before it is sent: others
// would be sent within the same second.
func TestLateBodyCountsWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := new(readingBackend)
		o := newTestOwnerWith(backend)
		o.admission.SetSlots(4)
		o.admission.SetCold(1)
		time.Sleep(2 * time.Second)
		send := func(delay time.Duration) {
			request := relay(messenger.NoKey)
			request.Fingerprint, request.Method, request.Length = "f", http.MethodPost, 4
			request.Aim, request.Left = 5*time.Second, 5*time.Second
			response, body := o.Run(t.Context(), request, &lateBody{delay, strings.NewReader("body")})
			qt.Check(t, response.Outcome, qt.Equals, messenger.OutcomeDone)
			if body != nil {
				_ = body.Close()
			}
		}
		var requests sync.WaitGroup
		requests.Go(func() { send(1200 * time.Millisecond) })
		time.Sleep(1100 * time.Millisecond)
		requests.Go(func() { send(0) })
		requests.Wait()
		qt.Assert(t, backend.sent, qt.HasLen, 2)
		gap := backend.sent[1].Sub(backend.sent[0]).Abs()
		qt.Check(t, gap >= time.Second, qt.IsTrue, qt.Commentf("sent %v apart, at a bound of one per second", gap))
	})
}

// Guards against sending a request whose body arrives long after it was admitted, when the
// failure domain is evacuated.
func TestLateBodyIsNotSentToEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := new(readingBackend)
		o := newConfirmedOwner(done)
		o.setBackend(backend)
		o.order(false)
		request := relay(messenger.NoKey)
		request.Fingerprint, request.Method, request.Length = "f", http.MethodPost, 4
		request.Aim, request.Left = 10*time.Second, 10*time.Second
		go o.confirmFor(6 * time.Second)
		response, _ := o.Run(t.Context(), request, &lateBody{6 * time.Second, strings.NewReader("body")})
		qt.Check(t, response.Reason, qt.Equals, messenger.ReasonDraining)
		qt.Check(t, backend.sent, qt.HasLen, 0)
	})
}
