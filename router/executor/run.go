package executor

import (
	"bytes"
	"context"
	"errors"
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

// printSize is how many bytes of a body its fingerprint covers.
const printSize = 64 << 10

// run is one request on its way through the executor.
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
	print    string
	record   *recorder.Run
	// endings are done, last first, when the request has ended.
	endings []func()
}

// execute runs the request.
func (r *run) execute(ctx context.Context) Answer {
	if reason := r.locate(); reason != messenger.ReasonNone {
		return refuse(reason, 0)
	}
	ticket := r.options.Tracker.Enter(r.ref, r.request.Key)
	if ticket == nil {
		return refuse(messenger.ReasonMoving, 0)
	}
	if reason := r.begin(); reason != messenger.ReasonNone {
		r.options.Tracker.Leave(ticket)
		return refuse(reason, 0)
	}
	watch := r.watch(ctx, ticket)
	answer := r.serve(watch)
	r.leaveAtEnd(watch, ticket, &answer)
	return r.finish(answer)
}

// locate finds out whether this router may serve the request.
func (r *run) locate() messenger.Reason {
	r.lease = r.options.Leaser.Lease()
	if !r.lease.Alive(timer.Now()) {
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
	r.ref = drainer.Ref(place.Row)
	r.profile = table.Profile(place.Service, r.request.Method, r.request.Route)
	r.deadline = time.Now().Add(r.timeout())
	return messenger.ReasonNone
}

// begin looks at the backend server and notes the number of the request. A
// grant that is given back for the server's sake was refused as moving before,
// so that entry routers hold the request for the next owner.
func (r *run) begin() messenger.Reason {
	r.view = r.options.Server.View()
	if reason := serverReason(r.view); reason != messenger.ReasonNone {
		return reason
	}
	if !r.options.Numbers.Begin(timer.Now(), r.request.Number, r.profile.Idempotent) {
		return messenger.ReasonStale
	}
	return messenger.ReasonNone
}

// timeout is how long the request may take.
func (r *run) timeout() time.Duration {
	if r.request.Timeout <= 0 || r.profile.Deadline < r.request.Timeout {
		return r.profile.Deadline
	}
	return r.request.Timeout
}

// serverReason is the reason for which a backend server takes no work.
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
func (r *run) serve(watch *watch) Answer {
	if err := r.fingerprint(); err != nil {
		return refuse(messenger.ReasonCanceled, 0)
	}
	if r.options.Locator.Load().Quarantined(r.print) {
		return refuse(messenger.ReasonQuarantine, 0)
	}
	if answer, known := r.remember(watch); known {
		return answer
	}
	answer := r.admit(watch)
	r.conclude(&answer)
	return answer
}

// fingerprint reads the start of the body and identifies the request by it.
func (r *run) fingerprint() error {
	prefix := new(bytes.Buffer)
	if r.body != nil && r.request.Length != 0 {
		if _, err := io.CopyN(prefix, r.body, printSize); err != nil && !errors.Is(err, io.EOF) {
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

// remember records a non-idempotent request with an Idempotency-Key, or finds
// what became of an earlier send.
func (r *run) remember(watch *watch) (Answer, bool) {
	if r.profile.Idempotent || r.request.Idempotency == "" {
		return Answer{}, false
	}
	verdict := r.options.Recorder.Begin(watch.run, watch.wait, recorder.Work{
		Service:     r.place.Service,
		Key:         r.request.Key,
		Idempotency: r.request.Idempotency,
		Print:       r.print,
		Row:         r.place.Row,
	})
	if verdict.Run != nil {
		r.record = verdict.Run
		return Answer{}, false
	}
	if verdict.Reason == messenger.ReasonRecorders && watch.wait.Err() != nil {
		return refuse(watch.refusal(), 0), true
	}
	if verdict.Outcome != messenger.OutcomeDone {
		return failed(verdict.Outcome, verdict.Reason), true
	}
	return Answer{Response: *verdict.Response, Body: &wholeBody{Reader: bytes.NewReader(verdict.Body)}}, true
}

// admit waits for a slot, and to be alone when the request is suspect.
func (r *run) admit(watch *watch) Answer {
	slot, refusal := r.options.Admitter.Acquire(watch.wait, r.job())
	if slot == nil {
		if refusal.Reason == messenger.ReasonNone {
			refusal.Reason = watch.refusal()
		}
		return refuse(refusal.Reason, refusal.After)
	}
	row := messenger.QuarantineRow{
		Fingerprint: r.print,
		Service:     r.request.Service,
		Key:         r.request.Key,
		Route:       r.request.Route,
	}
	pass, err := r.options.Gate.Enter(watch.wait, row, r.options.Locator.Load().Suspected(r.print))
	if err != nil {
		slot.Abandon()
		return refuse(watch.refusal(), 0)
	}
	r.atEnd(pass.Leave)
	return r.dispatch(watch, slot)
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

// atEnd adds something to do when the request has ended.
func (r *run) atEnd(ending func()) {
	r.endings = append(r.endings, ending)
}

// end does what was added, last first.
func (r *run) end() {
	for i := len(r.endings) - 1; i >= 0; i-- {
		r.endings[i]()
	}
}

// finish ends the request now, or once its answer was read.
func (r *run) finish(answer Answer) Answer {
	if answer.Body == nil {
		r.end()
		return answer
	}
	answer.Body = newTail(answer.Body, r.end)
	return answer
}
