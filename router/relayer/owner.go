package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/attendant"
	"marigoldhill/router/courier"
	"marigoldhill/router/queuer"
	"marigoldhill/router/stripper"
)

const (
	// maxWhole is the largest answer that is read whole before it is passed on,
	// so that one that breaks off is known as such before anything was said. It
	// covers all answers but downloads.
	maxWhole = 64 << 10
	// graceTime is how long after its deadline a request at the backend server
	// is still waited for: a server ends it at the deadline, and its answer has
	// to come back.
	graceTime = 100 * time.Millisecond
)

// Keys says which keys the backend server holds.
type Keys interface {
	Holds(now timer.Instant, key uint32) messenger.Reason
}

// Sampler counts the work on keys.
type Sampler interface {
	Arrived(key uint32)
	Finished(took time.Duration)
	Judged(failed bool)
}

// Backend brings requests to the backend server.
type Backend interface {
	Send(ctx context.Context, address string, order *courier.Order, body io.Reader) courier.Result
}

// OwnerOptions are the parts that an Owner works with.
type OwnerOptions struct {
	Server  *attendant.Attendant
	Keys    Keys
	Gate    *queuer.Gate
	Backend Backend
	Sampler Sampler
	// Hasten asks for news of the control group: others know of a key here of which
	// this router does not know yet.
	Hasten  func()
	Log     *logger.Log
	Metrics *metrics.Set
}

// Owner runs requests at the backend server beside the router.
type Owner struct {
	options OwnerOptions
	took    *metrics.Histogram
}

// NewOwner returns an Owner.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, took: options.Metrics.GetOrCreateHistogram("marigold_backend_seconds")}
}

// Handle serves a stream of KindRelay.
func (o *Owner) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
	var relay messenger.Relay
	if err := stream.Receive(&relay); err != nil {
		return
	}
	answer, body := o.Run(ctx, &relay, stream)
	if body != nil {
		defer func() { _ = body.Close() }()
	}
	if err := stream.Send(answer); err != nil || body == nil {
		if err == nil {
			_ = stream.CloseWrite()
		}
		return
	}
	if _, err := io.Copy(stream, body); err != nil {
		o.log(&relay, answer, "answer broke off", err)
		return // the stream is reset, so nobody takes the part for the whole
	}
	_ = stream.CloseWrite()
}

// Run runs a request, or says why not. The body of the answer must be closed.
func (o *Owner) Run(ctx context.Context, relay *messenger.Relay, body io.Reader) (*messenger.RelayAnswer, io.ReadCloser) {
	begun := timer.Now()
	if relay.Key != messenger.NoKey {
		o.options.Sampler.Arrived(uint32(relay.Key))
	}
	answer, content := o.run(ctx, begun, relay, body)
	answer.ID = relay.ID
	answer.Load = o.options.Gate.Work()
	return answer, content
}

func (o *Owner) run(ctx context.Context, begun timer.Instant, relay *messenger.Relay, body io.Reader) (*messenger.RelayAnswer, io.ReadCloser) {
	if _, reason := o.check(begun, relay); reason != messenger.ReasonNone {
		return refusal(reason, 0), nil
	}
	now := o.options.Gate.Now()
	slot, refused := o.options.Gate.Acquire(ctx, queuer.Job{
		Kind:     relay.Route,
		Rank:     relay.Rank,
		Aim:      now + min(relay.Aim, relay.Left),
		Deadline: now + relay.Left,
	})
	if refused != nil {
		return refusal(refused.Reason, refused.After), nil
	}
	// Much may have changed while the request waited.
	view, reason := o.check(timer.Now(), relay)
	if reason != messenger.ReasonNone {
		slot.Release(false)
		return refusal(reason, 0), nil
	}
	return o.send(ctx, begun, relay, view.Row, slot, body)
}

// check reports whether the server beside this router may run a request now.
func (o *Owner) check(now timer.Instant, relay *messenger.Relay) (*attendant.View, messenger.Reason) {
	view := o.options.Server.View()
	ranged := relay.Key != messenger.NoKey
	switch {
	case view.Row == nil || view.Row.Service != relay.Service:
		return nil, messenger.ReasonMisrouted
	case view.State == messenger.ServerLeaving && !view.Accepts(now, ranged):
		return nil, messenger.ReasonDraining
	case !view.Accepts(now, ranged):
		return nil, messenger.ReasonDown
	}
	if ranged {
		if reason := o.options.Keys.Holds(now, uint32(relay.Key)); reason != messenger.ReasonNone {
			if reason == messenger.ReasonMisrouted {
				o.options.Hasten()
			}
			return nil, reason
		}
	}
	return view, messenger.ReasonNone
}

// send sends a request to the backend server.
func (o *Owner) send(ctx context.Context, begun timer.Instant, relay *messenger.Relay, row *messenger.ServerRow, slot *queuer.Slot, body io.Reader) (*messenger.RelayAnswer, io.ReadCloser) {
	left := relay.Left - timer.Now().Since(begun)
	ctx, cancel := context.WithTimeout(ctx, left+relay.Grace)
	sent := time.Now()
	result := o.options.Backend.Send(ctx, row.URL, &courier.Order{
		Relay:    relay,
		Deadline: sent.Add(left),
		Server:   row.Name,
	}, body)
	o.note(result)
	if result.Outcome != messenger.OutcomeDone {
		cancel()
		slot.Release(false)
		if isVerdict(result) {
			o.options.Sampler.Judged(true)
		}
		if isSlow(result) {
			// A server that turned slow is known by what it does not answer.
			o.options.Sampler.Finished(time.Since(sent))
		}
		answer := &messenger.RelayAnswer{Outcome: result.Outcome, Reason: result.Reason, Ran: result.Sent}
		o.log(relay, answer, "no answer of the server", result.Err)
		return answer, nil
	}
	finish := func(served bool, failure error) {
		left := errors.Is(ctx.Err(), context.Canceled)
		cancel()
		took := time.Since(sent)
		well := served && result.Status < http.StatusInternalServerError
		slot.Release(well)
		if served || (failure != nil && !left) {
			o.options.Sampler.Judged(!well)
		}
		if served {
			o.options.Sampler.Finished(took)
			o.took.Update(took.Seconds())
		}
	}
	answer := &messenger.RelayAnswer{
		Outcome: messenger.OutcomeDone,
		Ran:     true,
		Status:  result.Status,
		Header:  stripper.EndToEnd(result.Header, nil),
		Length:  result.Length,
	}
	if result.Length < 0 || result.Length > maxWhole {
		return answer, &tail{ReadCloser: result.Body, finish: finish}
	}
	content, err := io.ReadAll(result.Body)
	_ = result.Body.Close()
	finish(err == nil, err)
	if err != nil {
		answer = &messenger.RelayAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonTruncated, Ran: true}
		o.log(relay, answer, "answer broke off", err)
		return answer, nil
	}
	return answer, io.NopCloser(bytes.NewReader(content))
}

// isVerdict reports whether a result without an answer speaks against the server.
// One that refuses connections is gone, which the attendant tells, and it is not
// to blame for callers that left or for times that were over before.
func isVerdict(result courier.Result) bool {
	switch result.Reason {
	case messenger.ReasonExpired, messenger.ReasonCrashed, messenger.ReasonTruncated, messenger.ReasonShed:
		return true
	}
	return false
}

// isSlow reports whether a request ran until its time was over.
func isSlow(result courier.Result) bool {
	return result.Outcome == messenger.OutcomeUnknown && result.Reason == messenger.ReasonExpired
}

// note tells the attendant what a send says of the server.
func (o *Owner) note(result courier.Result) {
	switch {
	case result.Outcome == messenger.OutcomeDone || result.Told.ID != "":
		o.options.Server.Answered()
	case !result.Sent && isRefused(result.Err):
		o.options.Server.Refused(timer.Now())
	}
}

func (o *Owner) log(relay *messenger.Relay, answer *messenger.RelayAnswer, what string, err error) {
	o.options.Log.Emit(logger.RequestFailed, "id", relay.ID, "service", relay.Service, "key", relay.Key,
		"version", relay.Version, "outcome", answer.Outcome, "reason", answer.Reason, "cause", what, "error", err)
}

func refusal(reason messenger.Reason, after time.Duration) *messenger.RelayAnswer {
	return &messenger.RelayAnswer{Outcome: messenger.OutcomeRefused, Reason: reason, RetryAfter: after}
}

// tail is a large body; finish is called once at its end, with the error of the server's
// connection that ended it, if any.
type tail struct {
	io.ReadCloser
	finish  func(served bool, failure error)
	failure error
	whole   bool
	closed  bool
}

// Read implements io.Reader.
func (t *tail) Read(data []byte) (int, error) {
	n, err := t.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		t.failure = err
	}
	t.whole = t.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (t *tail) Close() error {
	if t.closed {
		return nil
	}
	t.closed = true
	err := t.ReadCloser.Close()
	t.finish(t.whole, t.failure)
	return err
}
