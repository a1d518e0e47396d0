package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/attendant"
	"marigoldhill/router/courier"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/queuer"
	"marigoldhill/router/stripper"
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
	Send(ctx context.Context, address string, serverRequest *courier.ServerRequest, body io.Reader) courier.Result
}

// Detector determines whether the backend server crashed when a connection to it ended
// while a request ran. [isolator.Detector] implements it.
type Detector interface {
	ConnectionBroken(address string)
}

// OwnerOptions are the dependencies of an Owner.
type OwnerOptions struct {
	Server     *attendant.Attendant
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
	// Inbound is the account of the link that bodies arrive on.
	Inbound *inviter.Link
	// RequestUpdate requests an early update from the control group. It is called when
	// another router has sent a request for a key that this router does not own
	// according to its own state.
	RequestUpdate func()
	Log           *logger.Log
	Metrics       *metrics.Set
}

// Owner runs requests at the backend server beside the router.
type Owner struct {
	options  OwnerOptions
	duration *metrics.Histogram
	// held is how many bytes of bodies are in memory at most.
	held atomic.Int64
}

func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, duration: options.Metrics.GetOrCreateHistogram("marigold_backend_seconds")}
}

// Handle serves a KindRelay or KindInvitedRelay stream of another router. It is a
// [linker.Handler].
func (o *Owner) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
	var relay messenger.Relay
	if err := stream.Receive(&relay); err != nil {
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

// Run runs a request or refuses it. The returned body must be closed unless it is
// nil.
func (o *Owner) Run(ctx context.Context, relay *messenger.Relay, body io.Reader) (*messenger.RelayResponse, io.ReadCloser) {
	started := timer.Now()
	if relay.Key != messenger.NoKey {
		o.options.Sampler.Arrived(uint32(relay.Key))
	}
	response, responseBody := o.run(ctx, started, relay, body)
	response.ID = relay.ID
	response.Load = o.options.Admission.Work()
	response.Leaving = o.options.Server.View().State == messenger.ServerLeaving
	return response, responseBody
}

func (o *Owner) run(ctx context.Context, started timer.Instant, relay *messenger.Relay, body io.Reader) (*messenger.RelayResponse, io.ReadCloser) {
	if _, reason := o.admit(ctx, started, relay); reason != messenger.ReasonNone {
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
	isRead := false
	if isInline(relay.Length) && relay.Fingerprint == "" {
		data, err := readInline(relay, body)
		if err != nil {
			return refusedResponse(messenger.ReasonCanceled, 0), nil
		}
		body, isRead = bytes.NewReader(data), true
		relay.Fingerprint = fingerprint(relay, data)
	} else if relay.Fingerprint == "" {
		relay.Fingerprint = fingerprint(relay, nil)
	}
	if _, reason := o.check(started, relay); reason != messenger.ReasonNone {
		return refusedResponse(reason, 0), nil
	}
	if !isInline(relay.Length) {
		received, response := o.receive(ctx, relay, job, body)
		if response != nil {
			return response, nil
		}
		defer received.release()
		body = received
	}
	slot, refused := o.options.Admission.Acquire(ctx, job)
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
	view, reason := o.admit(ctx, started, relay)
	if reason != messenger.ReasonNone {
		slot.Release(false)
		return refusedResponse(reason, 0), nil
	}
	row := messenger.QuarantineRow{Fingerprint: relay.Fingerprint, Service: relay.Service, Key: keyText(relay.Key), Route: relay.Route}
	pass, err := o.options.Isolator.Enter(ctx, row, false)
	if err != nil {
		slot.Release(false)
		return refusedResponse(contextReason(ctx), 0), nil
	}
	return o.send(ctx, started, relay, view.Row, slot, pass, body)
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

// check returns the state of the server beside this router if the server may run the
// request now, else the reason for refusing it.
func (o *Owner) check(now timer.Instant, relay *messenger.Relay) (*attendant.View, messenger.Reason) {
	view := o.options.Server.View()
	ranged := relay.Key != messenger.NoKey
	switch {
	case view.Row == nil || view.Row.Service != relay.Service:
		return nil, messenger.ReasonMisrouted
	case o.options.IsQuarantined(relay.Fingerprint):
		return nil, messenger.ReasonQuarantine
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

// send sends a request to the backend server.
func (o *Owner) send(ctx context.Context, started timer.Instant, relay *messenger.Relay, row *messenger.ServerRow, slot *queuer.Slot, pass *isolator.Pass, body io.Reader) (*messenger.RelayResponse, io.ReadCloser) {
	left := relay.Left - timer.Now().Since(started)
	ctx, cancel := context.WithTimeout(ctx, left+relay.Grace)
	sentAt := time.Now()
	slot.Sending()
	result := o.options.Backend.Send(ctx, row.URL, &courier.ServerRequest{
		Relay:    relay,
		Deadline: sentAt.Add(left),
		Server:   row.Name,
	}, body)
	o.reportServer(row, result)
	o.updateLimit(row, sentAt, result)
	if result.ResponseInfo.Leaving {
		o.options.Server.Leave(timer.Now(), row)
	}
	if errors.Is(result.Err, courier.ErrExcess) {
		o.options.Log.Emit(logger.ResponseOversized, "id", relay.ID, "service", relay.Service, "server", row.Name, "address", row.URL, "error", result.Err)
	}
	if result.Outcome != messenger.OutcomeDone {
		cancel()
		pass.Leave()
		slot.Release(false)
		if isServerFailure(result) {
			o.options.Sampler.Judged(true)
		}
		if isTimeout(result) {
			// Unanswered requests count too. Otherwise a server that has become too
			// slow to answer would not be measured as slow.
			o.options.Sampler.Finished(time.Since(sentAt))
		}
		response := &messenger.RelayResponse{Outcome: result.Outcome, Reason: result.Reason, Ran: result.Sent}
		o.logFailure(relay, response, "no answer from the backend server", result.Err)
		return response, nil
	}
	finish := func(complete bool, readErr error) {
		left := errors.Is(ctx.Err(), context.Canceled)
		cancel()
		if readErr != nil && !left {
			o.options.Detector.ConnectionBroken(row.URL)
		}
		duration := time.Since(sentAt)
		succeeded := complete && result.Status < http.StatusInternalServerError
		if succeeded {
			pass.Complete()
		}
		pass.Leave()
		slot.Release(succeeded)
		if complete || (readErr != nil && !left) {
			o.options.Sampler.Judged(!succeeded)
		}
		if complete {
			o.options.Sampler.Finished(duration)
			o.duration.Update(duration.Seconds())
		}
	}
	response := &messenger.RelayResponse{
		Outcome: messenger.OutcomeDone,
		Ran:     true,
		Status:  result.Status,
		Header:  stripper.EndToEndFields(result.Header, nil),
		Length:  result.Length,
	}
	if result.Length < 0 || result.Length > maxBufferedBytes {
		return response, &unbufferedBody{ReadCloser: result.Body, finish: finish}
	}
	content, err := io.ReadAll(result.Body)
	_ = result.Body.Close()
	finish(err == nil, err)
	if err != nil {
		response = &messenger.RelayResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonTruncated, Ran: true}
		o.logFailure(relay, response, "answer body of the backend server truncated", err)
		return response, nil
	}
	return response, io.NopCloser(bytes.NewReader(content))
}

// isServerFailure reports whether a result without an answer counts as a failure of
// the server. Refused connections do not count, since the attendant handles a server
// that is gone, nor do canceled requests and deadlines that passed before the request
// was sent.
func isServerFailure(result courier.Result) bool {
	switch result.Reason {
	case messenger.ReasonExpired, messenger.ReasonCrashed, messenger.ReasonTruncated, messenger.ReasonShed:
		return true
	}
	return false
}

// isTimeout reports whether a request that was sent got no answer by its deadline.
func isTimeout(result courier.Result) bool {
	return result.Outcome == messenger.OutcomeUnknown && result.Reason == messenger.ReasonExpired
}

// updateLimit applies the limit that the server named in its response.
func (o *Owner) updateLimit(row *messenger.ServerRow, sentAt time.Time, result courier.Result) {
	if result.ResponseInfo.ID == "" || o.options.Server.View().Row != row {
		return
	}
	if o.options.Admission.SetLimit(result.ResponseInfo.Limit, sentAt) {
		o.options.Log.Emit(logger.ServerLimitChanged, "server", row.Name, "service", row.Service, "limit", o.options.Admission.Limit())
	}
}

// reportServer reports whether the server answered, refused the connection or ended it
// while the request ran.
func (o *Owner) reportServer(row *messenger.ServerRow, result courier.Result) {
	switch {
	case result.Reason == messenger.ReasonCrashed || result.Reason == messenger.ReasonTruncated:
		o.options.Detector.ConnectionBroken(row.URL)
	case result.Outcome == messenger.OutcomeDone || result.ResponseInfo.ID != "":
		o.options.Server.ResponseReceived()
	case !result.Sent && isConnectionRefused(result.Err):
		o.options.Server.DialRefused(timer.Now())
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

// unbufferedBody is the body of a large answer. When it is closed, it calls finish
// once, with the read error of the server's connection, if any.
type unbufferedBody struct {
	io.ReadCloser
	finish  func(complete bool, readErr error)
	readErr error
	eof     bool
	closed  bool
}

// Read implements io.Reader.
func (b *unbufferedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readErr = err
	}
	b.eof = b.eof || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *unbufferedBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	b.finish(b.eof, b.readErr)
	return err
}
