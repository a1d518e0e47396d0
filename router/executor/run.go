package executor

import (
	"bytes"
	"context"
	"io"
	"time"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
	"marigoldhill/router/drainer"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
)

// fingerprintBytes is how many bytes of a body the fingerprint of a request covers.
const fingerprintBytes = 64 << 10

// run is the execution of one request.
type run struct {
	executor *Executor
	options  *Options
	request  *messenger.Request
	body     io.Reader

	lease    *keeper.Lease
	place    locator.Place
	profile  *messenger.Profile
	view     *prober.View
	ref      messenger.ShardRef
	deadline time.Time
	// print is the fingerprint of the request.
	print  string
	record *recorder.Run
	// cleanups are called in reverse order when the request has ended.
	cleanups []func()
}

func (r *run) execute(ctx context.Context) Answer {
	if reason := r.locate(); reason != messenger.ReasonNone {
		return refusedAnswer(reason, 0)
	}
	ticket := r.options.Tracker.Begin(r.ref, r.request.Key)
	if ticket == nil {
		return refusedAnswer(messenger.ReasonMoving, 0)
	}
	if reason := r.begin(); reason != messenger.ReasonNone {
		r.options.Tracker.End(ticket)
		return refusedAnswer(reason, 0)
	}
	lifetime := r.lifetime(ctx, ticket)
	answer := r.serve(lifetime)
	r.addFinalCleanups(lifetime, ticket, &answer)
	return r.finish(answer)
}

// locate checks that this router holds its lease and owns the key of the request.
func (r *run) locate() messenger.Reason {
	r.lease = r.options.LeaseSource.Lease()
	if !r.lease.IsLeaseValid(timer.Now()) {
		return messenger.ReasonLease
	}
	table := r.options.Locator.Load()
	place, reason := table.Locate(r.request.Service, r.request.Key)
	if reason != messenger.ReasonNone {
		return reason
	}
	if place.Row.Owner != r.lease.Session {
		return messenger.ReasonMisrouted
	}
	r.place = place
	r.ref = drainer.RefOf(place.Row)
	r.profile = table.Profile(place.Service, r.request.Method, r.request.Route)
	r.deadline = time.Now().Add(r.timeout())
	if !r.fitsStop() {
		return messenger.ReasonStopping
	}
	return messenger.ReasonNone
}

// fitsStop reports whether the request can end before the process does.
func (r *run) fitsStop() bool {
	return r.options.Stop.Fits(time.Until(r.deadline))
}

// begin checks the state of the backend server and registers the number of the
// request. It must follow Tracker.Begin: a shard that is being released because of
// the server is refused there as moving, so that entry routers hold the request for
// the next owner.
func (r *run) begin() messenger.Reason {
	r.view = r.options.Server.View()
	if reason := serverReason(r.view); reason != messenger.ReasonNone {
		return reason
	}
	if reason := r.options.Evacuation.Check(timer.Now()); reason != messenger.ReasonNone {
		return reason
	}
	if !r.options.OutcomeStore.Begin(timer.Now(), r.request.Number, r.profile.Idempotent) {
		return messenger.ReasonStale
	}
	return messenger.ReasonNone
}

// timeout returns how long the request may take.
func (r *run) timeout() time.Duration {
	if r.request.Timeout <= 0 || r.profile.Deadline < r.request.Timeout {
		return r.profile.Deadline
	}
	return r.request.Timeout
}

// serverReason returns why the backend server accepts no requests, or ReasonNone.
func serverReason(view *prober.View) messenger.Reason {
	switch view.State {
	case messenger.ServerReady:
		return messenger.ReasonNone
	case messenger.ServerLeaving:
		return messenger.ReasonDraining
	}
	return messenger.ReasonDown
}

// serve records, admits and dispatches the request.
func (r *run) serve(lifetime *lifetime) Answer {
	if err := r.computeFingerprint(); err != nil {
		return refusedAnswer(messenger.ReasonCanceled, 0)
	}
	if r.options.Locator.Load().IsQuarantined(r.print) {
		return refusedAnswer(messenger.ReasonQuarantine, 0)
	}
	if answer, done := r.deduplicate(lifetime); done {
		return answer
	}
	answer := r.admit(lifetime)
	r.finishRecord(&answer)
	return answer
}

// computeFingerprint computes the fingerprint of the request, which covers the start
// of its body.
func (r *run) computeFingerprint() error {
	prefix := new(bytes.Buffer)
	if r.body != nil && r.request.Length != 0 {
		if _, err := io.CopyN(prefix, r.body, fingerprintBytes); err != nil && err != io.EOF {
			return Error.New("reading the body: %w", err)
		}
	}
	route := r.request.Method + " " + r.request.Route + "?" + r.request.Query
	r.print = hasher.Fingerprint(r.request.Service, r.request.Key, route, hasher.Sum(prefix.Bytes()))
	if r.body != nil {
		r.body = io.MultiReader(prefix, r.body)
	}
	return nil
}

// deduplicate records a non-idempotent request with an Idempotency-Key. If the
// request must not run now, it returns true and the answer: the answer of an earlier
// run under the same key, or a failure.
func (r *run) deduplicate(lifetime *lifetime) (Answer, bool) {
	if r.profile.Idempotent || r.request.Idempotency == "" {
		return Answer{}, false
	}
	decision := r.options.Recorder.Begin(lifetime.run, lifetime.wait, recorder.Request{
		Service:     r.place.Service,
		Key:         r.request.Key,
		Idempotency: r.request.Idempotency,
		Fingerprint: r.print,
		Row:         r.place.Row,
	})
	if decision.Run != nil {
		r.record = decision.Run
		return Answer{}, false
	}
	if decision.Reason == messenger.ReasonRecorders && lifetime.wait.Err() != nil {
		return refusedAnswer(lifetime.refusal(), 0), true
	}
	if decision.Outcome != messenger.OutcomeDone {
		return failedAnswer(decision.Outcome, decision.Reason), true
	}
	return Answer{Response: *decision.Response, Body: &bufferedBody{Reader: bytes.NewReader(decision.Body)}}, true
}

// admit waits for a slot of the backend server, and until no other request runs if
// this one is suspected of crashing servers.
func (r *run) admit(lifetime *lifetime) Answer {
	slot, refusal := r.options.Admitter.Acquire(lifetime.wait, r.job())
	if slot == nil {
		if refusal.Reason == messenger.ReasonNone {
			refusal.Reason = lifetime.refusal()
		}
		return refusedAnswer(refusal.Reason, refusal.RetryAfter)
	}
	if !r.fitsStop() {
		// The stop has begun while the request waited.
		slot.Abandon()
		return refusedAnswer(messenger.ReasonStopping, 0)
	}
	row := messenger.QuarantineRow{
		Fingerprint: r.print,
		Service:     r.request.Service,
		Key:         r.request.Key,
		Route:       r.request.Route,
	}
	pass, err := r.options.Isolator.Enter(lifetime.wait, row, r.options.Locator.Load().IsSuspect(r.print))
	if err != nil {
		slot.Abandon()
		return refusedAnswer(lifetime.refusal(), 0)
	}
	r.onEnd(pass.Leave)
	return r.dispatch(lifetime, slot)
}

func (r *run) job() admitter.Job {
	return admitter.Job{
		Profile: r.profile.Name,
		Class:   r.profile.Class,
		Queue:   r.profile.Queue,
		Share:   r.profile.Share,
		Weight:  r.profile.Weight,
		Service: r.request.Service,
		Key:     r.request.Key,
		Caller:  r.request.Caller,
		Timeout: time.Until(r.deadline),
	}
}

// onEnd adds a function to call when the request has ended.
func (r *run) onEnd(cleanup func()) {
	r.cleanups = append(r.cleanups, cleanup)
}

// end calls the cleanups in reverse order.
func (r *run) end() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
}

// finish ends the request now, or when the body of its answer has ended.
func (r *run) finish(answer Answer) Answer {
	if answer.Body == nil {
		r.end()
		return answer
	}
	answer.Body = newTrackedBody(answer.Body, r.end)
	return answer
}
