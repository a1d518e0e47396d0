package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/pacer"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/classifier"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/requester"
	"marigoldhill/router/stopper"
)

const (
	// maxBufferedBytes is the size of the largest answer that is read completely
	// before it is forwarded, so that a truncated one is detected before its
	// header is sent. It covers all answers but downloads.
	maxBufferedBytes = 64 << 10
	// answerGrace is how long after the deadline of a request the answer of the
	// backend server is still awaited: a server ends a request at its deadline, and
	// the answer takes time to arrive.
	answerGrace = 100 * time.Millisecond
)

// KeyChecker reports which keys the backend server holds.
type KeyChecker interface {
	// CheckHeld returns ReasonNone if the server holds the key, else why it does not.
	CheckHeld(now timer.Instant, key uint32) messenger.Reason
	// Enter is like CheckHeld, and keeps the key with the server until Leave if it returns
	// ReasonNone: a server ends work with an error when it no longer holds the key.
	Enter(now timer.Instant, key uint32) messenger.Reason
	Leave(key uint32)
}

// Sampler collects the load on keys and the results of requests.
type Sampler interface {
	// Arrived counts a request for a key.
	Arrived(key uint32)
	// Finished records the time that the server took for a request.
	Finished(took time.Duration)
	// Judged records whether the server failed a request.
	Judged(failed bool)
}

// Backend sends requests to the backend server.
type Backend interface {
	Send(ctx context.Context, address string, serverRequest *requester.ServerRequest, body io.Reader) requester.Result
}

// Detector determines whether the backend server crashed when a connection to it ended
// while a request ran. [isolator.Detector] implements it.
type Detector interface {
	ConnectionBroken(address string)
}

// OwnerOptions are the dependencies of an Owner.
type OwnerOptions struct {
	Server     *monitor.Monitor
	KeyChecker KeyChecker
	Admission  *queuer.Admission
	Backend    Backend
	Sampler    Sampler
	// Isolator keeps the requests in flight, the suspects if the server crashes.
	Isolator *isolator.Isolator
	Detector Detector
	// Evacuation refuses and holds requests while the failure domain is, or may be,
	// evacuated; nil never does.
	Evacuation *evacuator.Guard
	// IsQuarantined reports whether requests with a fingerprint must not run.
	IsQuarantined func(fingerprint string) bool
	// Heads bounds the memory for the heads of requests from other routers; nil means no
	// bound.
	Heads *limiter.Pool
	// Inbound is the account of the link that bodies arrive on.
	Inbound *inviter.Link
	// Outbound is the account of the link that answers are sent on; nil or without a rate
	// if its capacity is not known.
	Outbound *pacer.Bucket
	// RequestUpdate requests an early update from the control group. It is called when
	// another router has sent a request for a key that this router does not own
	// according to its own state.
	RequestUpdate func()
	// Stop is the time in which requests may run; nil if the process never stops.
	Stop    *stopper.Window
	Log     *logger.Log
	Metrics *metrics.Set
}

// Owner runs requests at the backend server beside the router.
type Owner struct {
	options  OwnerOptions
	duration *metrics.Histogram
	link     *ownerLink
	// origins tells which routes are calls of backend servers.
	origins *classifier.Classifier
	// held is how many bytes of bodies are in memory at most.
	held atomic.Int64
}

func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, origins: classifier.New(), link: newOwnerLink(options), duration: options.Metrics.GetOrCreateHistogram("marigold_backend_seconds")}
}

// Handle serves a KindRelay or KindInvitedRelay stream of another router. It is a
// [linker.Handler].
func (o *Owner) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
	var relay messenger.Relay
	reservation := limiter.Reservation{Pool: o.options.Heads}
	defer reservation.Release()
	id, err := stream.ReceiveWithin(&relay, reservation.TakeMessage)
	if errors.Is(err, linker.ErrNoRoom) {
		o.refuseHead(stream, id, reservation.Asked)
		return
	}
	if err != nil {
		return
	}
	body := &remoteBody{stream: stream, withheld: stream.Kind() == messenger.KindInvitedRelay}
	response, responseBody := o.Run(ctx, &relay, body)
	if responseBody != nil {
		defer func() { _ = responseBody.Close() }()
	}
	if err := body.decline(); err != nil {
		return
	}
	if err := sendReply(stream, response); err != nil || responseBody == nil {
		if err == nil {
			_ = stream.CloseWrite()
		}
		return
	}
	if _, err := io.Copy(stream, responseBody); err != nil {
		o.logFailure(&relay, response, "answer body truncated while it was sent to the entry router", err)
		return // the stream is reset, so the entry router detects the truncation
	}
	_ = stream.CloseWrite()
}

// refuseHead refuses a request for whose head there is no memory.
func (o *Owner) refuseHead(stream *linker.Stream, id string, cost int64) {
	o.options.Metrics.GetOrCreateCounter(`marigold_head_refusals_total`).Inc()
	o.options.Log.Emit(logger.RequestFailed, "id", id, "outcome", messenger.OutcomeRefused, "reason", messenger.ReasonQueue,
		"cause", "no memory for the head of a request from another router", "bytes", cost)
	response := refusedResponse(messenger.ReasonQueue, defaultRetryAfter)
	response.ID = id
	response.Load = o.options.Admission.Work()
	if stream.Kind() == messenger.KindInvitedRelay {
		if err := stream.Send(&messenger.RelayInvitation{}); err != nil {
			return
		}
	}
	if err := sendReply(stream, response); err == nil {
		_ = stream.CloseWrite()
	}
}

// Run runs a request or refuses it. The returned body must be closed unless it is
// nil.
func (o *Owner) Run(ctx context.Context, relay *messenger.Relay, body io.Reader) (*messenger.RelayResponse, io.ReadCloser) {
	return o.serve(ctx, relay, body, o.link)
}

// RunLocal runs a request of the entry router on the same VM, whose answer does not cross
// the VM's link.
func (o *Owner) RunLocal(ctx context.Context, relay *messenger.Relay, body io.Reader) (*messenger.RelayResponse, io.ReadCloser) {
	return o.serve(ctx, relay, body, nil)
}

// serve runs a request or refuses it. link is nil if the answer does not cross the VM's link.
func (o *Owner) serve(ctx context.Context, relay *messenger.Relay, body io.Reader, link *ownerLink) (*messenger.RelayResponse, io.ReadCloser) {
	started := timer.Now()
	if relay.Key != messenger.NoKey {
		o.options.Sampler.Arrived(uint32(relay.Key))
	}
	response, responseBody := o.runInWindow(ctx, started, relay, body, link)
	response.ID = relay.ID
	response.Load = o.options.Admission.Work()
	link.tighten(&response.Load)
	response.Load.Fraction = link.fraction(relay.Rank)
	response.Leaving = o.options.Server.View().State == messenger.ServerLeaving
	return response, responseBody
}

// runInWindow runs a request or refuses it, at once if the process stops before it can end.
func (o *Owner) runInWindow(ctx context.Context, started timer.Instant, relay *messenger.Relay, body io.Reader, link *ownerLink) (*messenger.RelayResponse, io.ReadCloser) {
	if !o.options.Stop.Enter() {
		return refusedResponse(messenger.ReasonStopping, 0), nil
	}
	waiting, cancel := o.options.Stop.Context(ctx, relay.Left+relay.Grace)
	defer cancel()
	response, responseBody := o.run(ctx, waiting, started, relay, body, link)
	if !response.Ran && errors.Is(context.Cause(waiting), stopper.ErrStopping) {
		response = refusedResponse(messenger.ReasonStopping, 0)
	}
	if responseBody == nil {
		o.options.Stop.Leave()
		return response, nil
	}
	return response, &leavingBody{ReadCloser: responseBody, leave: sync.OnceFunc(o.options.Stop.Leave)}
}

// leavingBody is the body of an answer whose request runs until it is closed.
type leavingBody struct {
	io.ReadCloser
	leave func()
}

// Close implements io.Closer.
func (b *leavingBody) Close() error {
	defer b.leave()
	return b.ReadCloser.Close()
}

// run runs a request or refuses it. waiting is the context until the request is sent.
func (o *Owner) run(ctx, waiting context.Context, started timer.Instant, relay *messenger.Relay, body io.Reader, link *ownerLink) (*messenger.RelayResponse, io.ReadCloser) {
	if _, reason := o.admit(waiting, started, relay); reason != messenger.ReasonNone {
		return refusedResponse(reason, 0), nil
	}
	// A request that was held has less time left.
	now := o.options.Admission.Now() - timer.Now().Since(started)
	job := queuer.Job{
		Kind:     relay.Route,
		Rank:     relay.Rank,
		Aim:      now + min(relay.Aim, relay.Left),
		Deadline: now + relay.Left,
	}
	o.origins.Observe(now, relay.Route, relay.Caller)
	job.Call = o.origins.IsCall(relay.Route)
	job.Delay = link.arrive(job)
	job.Final = relay.Left < finalTimeLeft && link.isBusy()
	isRead := false
	if callerKey := takeCallerKey(relay); relay.Fingerprint == "" {
		relay.Fingerprint = headFingerprint(relay.Method, relay.Host, relay.Target, callerKey)
		if isInline(relay.Length) {
			data, err := readInline(relay, body)
			if err != nil {
				return refusedResponse(messenger.ReasonCanceled, 0), nil
			}
			body, isRead = bytes.NewReader(data), true
			relay.Fingerprint = extendFingerprint(relay.Fingerprint, data)
		}
	}
	if _, reason := o.check(started, started, relay); reason != messenger.ReasonNone {
		return refusedResponse(reason, 0), nil
	}
	if !isInline(relay.Length) {
		received, response := o.receive(waiting, relay, job, body)
		if response != nil {
			return response, nil
		}
		defer received.release()
		body = received
	}
	slot, refused := link.acquire(waiting, o.options.Admission, job)
	if refused != nil {
		return refusedResponse(refused.Reason, refused.RetryAfter), nil
	}
	if isInline(relay.Length) && !isRead {
		// The body may arrive late. The checks and the count of requests to a cold server
		// must be those of the time at which the request is sent.
		data, err := readInline(relay, body)
		if err != nil {
			slot.Release(false)
			return refusedResponse(messenger.ReasonCanceled, 0), nil
		}
		body = bytes.NewReader(data)
	}
	// The state of the server and its keys may have changed while the request waited.
	view, reason := o.admit(waiting, started, relay)
	if reason != messenger.ReasonNone {
		slot.Release(false)
		return refusedResponse(reason, 0), nil
	}
	row := messenger.QuarantineRow{Fingerprint: relay.Fingerprint, Service: relay.Service, Key: keyText(relay.Key), Route: relay.Route}
	pass, err := o.options.Isolator.Enter(waiting, row, false)
	if err != nil {
		slot.Release(false)
		return refusedResponse(contextReason(waiting), 0), nil
	}
	if reason := o.enterKey(relay); reason != messenger.ReasonNone {
		pass.Leave()
		slot.Release(false)
		return refusedResponse(reason, 0), nil
	}
	ready := link.start(relay)
	response, responseBody := o.send(ctx, started, relay, view.Row, slot, pass, body)
	return response, ready(response, responseBody)
}

// readInline reads the whole body of a request whose body is inline.
func readInline(relay *messenger.Relay, body io.Reader) ([]byte, error) {
	if relay.Length == 0 {
		return nil, nil
	}
	data := make([]byte, relay.Length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, Error.New("reading the body of the caller's request: %w", err)
	}
	return data, nil
}

// check returns the state of the server beside this router if the server may run a
// request now that arrived at started, else the reason for refusing it.
func (o *Owner) check(now, started timer.Instant, relay *messenger.Relay) (*monitor.View, messenger.Reason) {
	view := o.options.Server.View()
	ranged := relay.Key != messenger.NoKey
	switch {
	case view.Row == nil || view.Row.Service != relay.Service:
		return nil, messenger.ReasonMisrouted
	case o.options.IsQuarantined(relay.Fingerprint):
		return nil, messenger.ReasonQuarantine
	case !o.options.Stop.Fits(relay.Left + relay.Grace - now.Since(started)):
		return nil, messenger.ReasonStopping
	case view.State == messenger.ServerLeaving && !view.Accepts(now, ranged):
		return nil, messenger.ReasonDraining
	case !view.Accepts(now, ranged):
		return nil, messenger.ReasonDown
	}
	if ranged {
		if reason := o.options.KeyChecker.CheckHeld(now, uint32(relay.Key)); reason != messenger.ReasonNone {
			if reason == messenger.ReasonMisrouted {
				o.options.RequestUpdate()
			}
			return nil, reason
		}
	}
	return view, messenger.ReasonNone
}

// enterKey keeps the key of a request with the server until leaveKey, or returns why the
// server does not hold it.
func (o *Owner) enterKey(relay *messenger.Relay) messenger.Reason {
	if relay.Key == messenger.NoKey {
		return messenger.ReasonNone
	}
	return o.options.KeyChecker.Enter(timer.Now(), uint32(relay.Key))
}

func (o *Owner) leaveKey(relay *messenger.Relay) {
	if relay.Key != messenger.NoKey {
		o.options.KeyChecker.Leave(uint32(relay.Key))
	}
}

// keyText returns a numeric key as text, or nothing for messenger.NoKey.
func keyText(key int32) string {
	if key == messenger.NoKey {
		return ""
	}
	return strconv.Itoa(int(key))
}

func (o *Owner) logFailure(relay *messenger.Relay, response *messenger.RelayResponse, cause string, err error) {
	o.options.Log.Emit(logger.RequestFailed, "id", relay.ID, "service", relay.Service, "key", relay.Key,
		"version", relay.Version, "fingerprint", relay.Fingerprint, "outcome", response.Outcome, "reason", response.Reason, "cause", cause, "error", err)
}

func refusedResponse(reason messenger.Reason, retryAfter time.Duration) *messenger.RelayResponse {
	return &messenger.RelayResponse{Outcome: messenger.OutcomeRefused, Reason: reason, RetryAfter: retryAfter}
}
