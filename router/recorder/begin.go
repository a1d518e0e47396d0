package recorder

import (
	"context"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// scarceAccept is the value of Service.Scarce that accepts work with fewer
// recorders than the service asks for.
const scarceAccept = "accept"

// Work is a non-idempotent request that wants to run.
type Work struct {
	Service     *messenger.Service
	Key         string
	Idempotency string
	// Print tells whether two requests with one Idempotency-Key are the same.
	Print string
	// Row is the grant that it would run under, of the session Owner.
	Row messenger.ShardRow
}

// Verdict says what to do with a request. Run is set when it is to be run;
// otherwise the rest is the answer.
type Verdict struct {
	Run     *Run
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Response and Body are set when Outcome is done.
	Response *messenger.Response
	Body     []byte
}

// Run is one run in progress. Finish must be called once.
type Run struct {
	recorder *Recorder
	entry    *entry
	done     chan struct{}
}

// Ended says how a run ended. State is RecordDone, RecordRefused, or
// RecordStarted when its outcome is unknown for Reason.
type Ended struct {
	State  messenger.RecordState
	Reason messenger.Reason
	// Status, Header and Body are the answer, when done. Large says that it is
	// too large to keep.
	Status int
	Header []messenger.Header
	Body   []byte
	Large  bool
}

// Begin records a request and has its peers store the record, or finds what
// became of an earlier send. It waits for a run in progress until ctx ends, and
// for its peers until start ends, which must end with ctx.
func (r *Recorder) Begin(ctx, start context.Context, work Work) Verdict {
	for {
		verdict, running := r.claim(timer.Now(), &work)
		if running != nil {
			select {
			case <-running.done:
				continue
			case <-ctx.Done():
				return Verdict{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonRunning}
			}
		}
		if verdict.Run == nil {
			return verdict
		}
		if reason := r.replicate(start, &work, verdict.Run.entry); reason != messenger.ReasonNone {
			verdict.Run.Finish(Ended{State: messenger.RecordRefused})
			return refuse(reason)
		}
		return verdict
	}
}

// claim makes a new entry, or finds the run in progress or the answer.
func (r *Recorder) claim(now timer.Instant, work *Work) (Verdict, *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := id{service: work.Service.Name, key: work.Key, idempotency: work.Idempotency}
	if old := r.own.get(now, key); old != nil {
		return recall(old, work)
	}
	if reason, outcome := r.obstacle(work); reason != messenger.ReasonNone {
		return Verdict{Outcome: outcome, Reason: reason}, nil
	}
	e := &entry{
		id:        key,
		print:     work.Print,
		state:     messenger.RecordStarted,
		attempt:   r.attempt.Add(1),
		made:      now,
		retention: work.Service.Retention,
	}
	e.run = &Run{recorder: r, entry: e, done: make(chan struct{})}
	r.own.put(e)
	return Verdict{Run: e.run}, nil
}

// recall answers a request that was recorded before.
func recall(e *entry, work *Work) (Verdict, *Run) {
	if e.print != work.Print {
		return refuse(messenger.ReasonMismatch), nil
	}
	if e.run != nil {
		return Verdict{}, e.run
	}
	if e.state != messenger.RecordDone {
		reason := e.reason
		if reason == messenger.ReasonNone {
			reason = messenger.ReasonLost
		}
		return Verdict{Outcome: messenger.OutcomeUnknown, Reason: reason}, nil
	}
	if e.kept == nil {
		return Verdict{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLarge}, nil
	}
	return e.kept.verdict(), nil
}

func (k *kept) verdict() Verdict {
	return Verdict{
		Outcome: messenger.OutcomeDone,
		Response: &messenger.Response{
			Outcome: messenger.OutcomeDone,
			Status:  k.status,
			Header:  k.header,
			Length:  int64(len(k.body)),
		},
		Body: k.body,
	}
}

// obstacle is why a request without a record may not run now. It needs the
// lock.
func (r *Recorder) obstacle(work *Work) (messenger.Reason, messenger.Outcome) {
	row := &work.Row
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

// IsRecovering reports whether the records of earlier owners of a shard are
// elsewhere still.
func IsRecovering(row *messenger.ShardRow) bool {
	return len(row.Survivors) > 0 || row.Previous != 0
}

// Finish ends a run and tells the peers.
func (run *Run) Finish(ended Ended) {
	r := run.recorder
	r.mu.Lock()
	e := run.entry
	e.run = nil
	e.state = ended.State
	e.reason = ended.Reason
	if ended.State == messenger.RecordDone && !ended.Large {
		e.kept = &kept{status: ended.Status, header: ended.Header, body: ended.Body}
	}
	if ended.State == messenger.RecordRefused {
		r.own.remove(e)
	}
	message := e.message(timer.Now())
	r.mu.Unlock()
	close(run.done)
	if ended.State != messenger.RecordStarted {
		go r.tell(message)
	}
}

func refuse(reason messenger.Reason) Verdict {
	return Verdict{Outcome: messenger.OutcomeRefused, Reason: reason}
}
