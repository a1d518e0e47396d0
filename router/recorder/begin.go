package recorder

import (
	"context"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// scarceAccept is the value of Service.Scarce that permits requests with fewer
// recorders than the service configures.
const scarceAccept = "accept"

// Request is a non-idempotent request to be run.
type Request struct {
	Service     *messenger.Service
	Key         string
	Idempotency string
	// Fingerprint is the fingerprint of the request. Two requests with the same
	// Idempotency-Key but different fingerprints do not match.
	Fingerprint string
	// Row is the grant under which the request would run. It belongs to the session
	// Row.Owner.
	Row messenger.ShardRow
}

// Decision is the decision on a request. If Run is set, the request must be run;
// otherwise the other fields hold the response.
type Decision struct {
	Run     *Run
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Response and Body are set if Outcome is done.
	Response *messenger.Response
	Body     []byte
}

// Run is one execution in progress. Finish must be called exactly once.
type Run struct {
	recorder *Recorder
	entry    *entry
	done     chan struct{}
}

// RunResult is the result of a run. State is RecordDone, RecordRefused, or RecordStarted
// if the outcome is unknown for the given Reason.
type RunResult struct {
	State  messenger.RecordState
	Reason messenger.Reason
	// Status, Header and Body are the response if State is RecordDone. Large is set if
	// it is too large to be stored.
	Status int
	Header []messenger.Header
	Body   []byte
	Large  bool
}

// Begin records a request and replicates the record, or returns the result of an
// earlier attempt with the same Idempotency-Key. It waits for a run in progress until
// ctx ends, and for the recorders until waitCtx ends, which must end no later than ctx.
func (r *Recorder) Begin(ctx, waitCtx context.Context, request Request) Decision {
	for {
		decision, running := r.claim(timer.Now(), &request)
		if running != nil {
			select {
			case <-running.done:
				continue
			case <-ctx.Done():
				return Decision{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonRunning}
			}
		}
		if decision.Run == nil {
			return decision
		}
		if reason := r.replicate(waitCtx, &request, decision.Run.entry); reason != messenger.ReasonNone {
			decision.Run.Finish(RunResult{State: messenger.RecordRefused})
			return refusedDecision(reason)
		}
		return decision
	}
}

// claim creates an entry, or returns the run in progress or the decision for a request
// that was recorded before.
func (r *Recorder) claim(now timer.Instant, request *Request) (Decision, *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := recordKey{service: request.Service.Name, key: request.Key, idempotencyKey: request.Idempotency}
	if recorded := r.own.get(now, key); recorded != nil {
		return decisionFor(recorded, request)
	}
	if reason, outcome := r.checkAdmission(request); reason != messenger.ReasonNone {
		return Decision{Outcome: outcome, Reason: reason}, nil
	}
	record := &entry{
		recordKey: key,
		print:     request.Fingerprint,
		state:     messenger.RecordStarted,
		attempt:   r.attempt.Add(1),
		createdAt: now,
		retention: request.Service.Retention,
	}
	record.run = &Run{recorder: r, entry: record, done: make(chan struct{})}
	r.own.put(record)
	return Decision{Run: record.run}, nil
}

// verdictFor returns the decision for a request that was recorded before, or its run
// if that is in progress.
func decisionFor(record *entry, request *Request) (Decision, *Run) {
	if record.print != request.Fingerprint {
		return refusedDecision(messenger.ReasonMismatch), nil
	}
	if record.run != nil {
		return Decision{}, record.run
	}
	if record.state != messenger.RecordDone {
		reason := record.reason
		if reason == messenger.ReasonNone {
			reason = messenger.ReasonLost
		}
		return Decision{Outcome: messenger.OutcomeUnknown, Reason: reason}, nil
	}
	if record.storedResponse == nil {
		return Decision{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLarge}, nil
	}
	return record.storedResponse.decision(), nil
}

func (a *storedResponse) decision() Decision {
	return Decision{
		Outcome: messenger.OutcomeDone,
		Response: &messenger.Response{
			Outcome: messenger.OutcomeDone,
			Status:  a.status,
			Header:  a.header,
			Length:  int64(len(a.body)),
		},
		Body: a.body,
	}
}

// checkAdmission returns why a request without a record may not run now. The caller
// must hold r.mu.
func (r *Recorder) checkAdmission(request *Request) (messenger.Reason, messenger.Outcome) {
	row := &request.Row
	if IsRecovering(row) {
		return messenger.ReasonRecovering, messenger.OutcomeRefused
	}
	if row.Forgotten && time.Now().UnixMilli() < row.ForgottenUntil {
		return messenger.ReasonForgotten, messenger.OutcomeUnknown
	}
	if r.size() >= r.options.Entries {
		r.count("full", 1)
		return messenger.ReasonRecorders, messenger.OutcomeRefused
	}
	return messenger.ReasonNone, ""
}

// IsRecovering reports whether the records of earlier owners of a shard have not been
// transferred to the current owner yet.
func IsRecovering(row *messenger.ShardRow) bool {
	return len(row.Survivors) > 0 || row.Previous != 0
}

// Finish ends a run and replicates its result to the recorders.
func (run *Run) Finish(result RunResult) {
	r := run.recorder
	r.mu.Lock()
	record := run.entry
	record.run = nil
	record.state = result.State
	record.reason = result.Reason
	if result.State == messenger.RecordDone && !result.Large {
		record.storedResponse = &storedResponse{status: result.Status, header: result.Header, body: result.Body}
	}
	if result.State == messenger.RecordRefused {
		r.own.remove(record)
	}
	message := record.message(timer.Now())
	r.mu.Unlock()
	close(run.done)
	if result.State != messenger.RecordStarted {
		go r.replicateResult(message)
	}
}

func refusedDecision(reason messenger.Reason) Decision {
	return Decision{Outcome: messenger.OutcomeRefused, Reason: reason}
}
