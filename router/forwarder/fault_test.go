package forwarder_test

import (
	"cmp"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
)

// execution is a fake of Execute.
type execution func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer

// tells makes a fake of Outcome that gives the same answer each time.
func tells(outcome messenger.Outcome, reason messenger.Reason) func(*messenger.OutcomeQuery) messenger.OutcomeAnswer {
	return func(*messenger.OutcomeQuery) messenger.OutcomeAnswer {
		return messenger.OutcomeAnswer{Outcome: outcome, Reason: reason}
	}
}

func kept(query *messenger.OutcomeQuery) messenger.OutcomeAnswer {
	return messenger.OutcomeAnswer{
		Outcome:  messenger.OutcomeDone,
		Response: &messenger.Response{Number: "other", Outcome: messenger.OutcomeDone, Status: 200, Length: 4},
		Body:     []byte("kept"),
	}
}

// firstAndThen runs one execution for the first send and another later.
func firstAndThen(first, later execution) execution {
	sent := false
	return func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer {
		if !sent {
			sent = true
			return first(ctx, request, body)
		}
		return later(ctx, request, body)
	}
}

// afterRunning says twice that the request is still running.
func afterRunning(then func(*messenger.OutcomeQuery) messenger.OutcomeAnswer) func(*messenger.OutcomeQuery) messenger.OutcomeAnswer {
	asked := 0
	return func(query *messenger.OutcomeQuery) messenger.OutcomeAnswer {
		if asked++; asked <= 2 {
			return messenger.OutcomeAnswer{Outcome: messenger.OutcomeRunning}
		}
		return then(query)
	}
}

func refuses(reason messenger.Reason) execution {
	return func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
		return refused(request, reason)
	}
}

// renumbered ends well, unless the request still has the number given up.
func renumbered(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	if request.Number == "n1" {
		return refused(request, messenger.ReasonStale)
	}
	return done(request, body)
}

func doneAtOnce(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	return done(request, body)
}

// hurting spoils the network in the middle of an execution that then ends well.
func (r *rig) hurting(hurt func(w *disrupter.World)) execution {
	return func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
		answer := done(request, body)
		hurt(r.world)
		return answer
	}
}

func silence(w *disrupter.World) { w.Silence("entry", "owner") }
func reset(w *disrupter.World)   { w.Reset("entry", "owner") }

// dropFirst drops the first frame of a type from a VM on KindForward streams.
func dropFirst(from string, kind framer.Type) func(w *disrupter.World) {
	return onFirst(from, kind, disrupter.Verdict{Drop: true})
}

func onFirst(from string, kind framer.Type, verdict disrupter.Verdict) func(w *disrupter.World) {
	return func(w *disrupter.World) {
		met := false
		w.SetHook(func(step disrupter.Step) disrupter.Verdict {
			if met || step.From != from || step.Type != kind || step.Kind != messenger.KindForward {
				return disrupter.Verdict{}
			}
			met = true
			return verdict
		})
	}
}

func TestFaultsOnTheWay(t *testing.T) {
	strict := messenger.Profile{Retries: 2}
	lenient := messenger.Profile{Retries: 2, Idempotent: true}
	// The owner refuses the old number for good.
	stale := func(query *messenger.OutcomeQuery) messenger.OutcomeAnswer {
		if query.Number != "n1" || query.Age <= 0 || query.Age > time.Second {
			return messenger.OutcomeAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonForgotten}
		}
		return messenger.OutcomeAnswer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonStale}
	}
	lost := tells(messenger.OutcomeUnknown, messenger.ReasonLost)
	tests := []struct {
		name    string
		profile messenger.Profile
		// before spoils the network before the request, during while it runs
		// for the first time.
		before  func(w *disrupter.World)
		during  func(w *disrupter.World)
		execute execution
		outcome func(query *messenger.OutcomeQuery) messenger.OutcomeAnswer
		want    string
		body    string
		runs    int
		within  time.Duration
	}{
		{name: "silent before the answer, answer kept", during: silence, outcome: kept, want: "done", body: "kept", runs: 1},
		{name: "silent before the answer, not kept", during: silence, outcome: lost, want: "unknown/lost", runs: 1},
		{name: "silent before the answer, idempotent", profile: lenient, during: silence, outcome: lost, want: "done", body: "door-17:hinge", runs: 2},
		{name: "reset before the answer, not kept", profile: strict, during: reset, outcome: lost, want: "unknown/lost", runs: 1, within: time.Second},
		{name: "reset before the answer, ended refused", profile: strict, during: reset, outcome: tells(messenger.OutcomeRefused, messenger.ReasonQueue), want: "refused/queue", runs: 1},
		{name: "reset while it runs on", profile: strict, during: reset, outcome: afterRunning(kept), want: "done", body: "kept", runs: 1, within: time.Second},
		{name: "owner lost for good", during: func(w *disrupter.World) { w.Crash("owner") }, want: "unknown/lost", runs: 1},
		{name: "request cut short", profile: strict, before: dropFirst("entry", framer.TypeData), execute: renumbered, outcome: stale, want: "done", body: "door-17:hinge", runs: 1, within: time.Second},
		{name: "last frame of the request lost", profile: strict, before: dropFirst("entry", framer.TypeEnd), execute: renumbered, outcome: stale, want: "done", body: "door-17:hinge", runs: 1, within: 2 * time.Second},
		{name: "answer cut short", profile: strict, before: dropFirst("owner", framer.TypeData), outcome: kept, want: "done", body: "kept", runs: 1, within: time.Second},
		{name: "request doubled", before: onFirst("entry", framer.TypeData, disrupter.Verdict{Copies: 3}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "stream opened twice", before: onFirst("entry", framer.TypeOpen, disrupter.Verdict{Copies: 1}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "answer doubled", before: onFirst("owner", framer.TypeData, disrupter.Verdict{Copies: 1}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "late frames", before: onFirst("owner", framer.TypeData, disrupter.Verdict{Hold: 900 * time.Millisecond}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "answer of another request", outcome: lost, want: "unknown/lost", runs: 1,
			execute: func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
				other := *request
				other.Number = "n2"
				return done(&other, body)
			}},
		{name: "shed, then done", profile: strict, execute: firstAndThen(refuses(messenger.ReasonShed), doneAtOnce), want: "done", body: "door-17:hinge", runs: 2},
		{name: "shed without retries", execute: refuses(messenger.ReasonShed), want: "refused/shed", runs: 1, within: 10 * time.Millisecond},
		{name: "queue full is final", profile: strict, execute: refuses(messenger.ReasonQueue), want: "refused/queue", runs: 1, within: 10 * time.Millisecond},
		{name: "crashed is final", profile: lenient, want: "unknown/crashed", runs: 1, within: 10 * time.Millisecond,
			execute: func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
				return executor.Answer{Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed}}
			}},
		{name: "no connection", before: func(w *disrupter.World) { w.Crash("owner") }, want: "refused/unreachable"},
		{name: "past the deadline", want: "unknown/expired", runs: 1,
			execute: func(ctx context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
				<-ctx.Done()
				time.Sleep(time.Minute)
				return refused(request, messenger.ReasonDeadline)
			}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, forwarder.Settings{})
				r.remote.execute, r.remote.outcome = test.execute, test.outcome
				if test.during != nil {
					r.remote.execute = firstAndThen(r.hurting(test.during), doneAtOnce)
				}
				if test.before != nil {
					test.before(r.world)
				}
				start := time.Now()
				got := r.forward(t.Context(), request("n1"), test.profile, "hinge")
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.text(), qt.Equals, test.want)
				qt.Check(t, got.body, qt.Equals, test.body)
				qt.Check(t, r.remote.count("n1"), qt.Equals, test.runs)
				if number, _, _ := strings.Cut(got.response.Number, "~"); got.response.Outcome == messenger.OutcomeDone {
					qt.Check(t, number, qt.Equals, "n1")
				}
				qt.Check(t, time.Since(start) <= cmp.Or(test.within, patience), qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
			})
		})
	}
}

// TestCutAnswerStaysCut lets the backend server's answer end with an error.
func TestCutAnswerStaysCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
			return executor.Answer{Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Length: -1}, Body: io.NopCloser(body)}
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "")
		qt.Assert(t, got.body, qt.Equals, "part")
		qt.Assert(t, got.err, qt.ErrorIs, linker.ErrReset)
	})
}

// TestLostInMidBody loses the connection while a large body is on its way and
// the owner has begun.
func TestLostInMidBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		r.remote.outcome = tells(messenger.OutcomeUnknown, messenger.ReasonCrashed)
		r.remote.execute = func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
			_, _ = io.CopyN(io.Discard, body, forwarder.BufferSize+1)
			reset(r.world)
			return refused(request, messenger.ReasonCanceled)
		}
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		part := strings.NewReader(strings.Repeat("x", forwarder.BufferSize+1))
		answer := r.entry.Forward(ctx, request("n1"), &messenger.Profile{}, io.MultiReader(part, &waiting{until: time.Minute}))
		qt.Assert(t, result{response: answer.Response}.text(), qt.Equals, "unknown/crashed")
		time.Sleep(2 * time.Minute)
	})
}

func TestSilentInMidAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			reader, writer := io.Pipe()
			go func() {
				_, _ = writer.Write([]byte("part"))
				time.Sleep(100 * time.Millisecond)
				silence(r.world)
				_ = writer.Close()
			}()
			return executor.Answer{Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Length: -1}, Body: reader}
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{Idempotent: true, Retries: 3}, "")
		qt.Assert(t, got.body, qt.Equals, "part")
		qt.Assert(t, got.err, qt.ErrorIs, linker.ErrSilent)
		qt.Assert(t, r.remote.count("n1"), qt.Equals, 1)
	})
}

// TestRestartedOwnerNeverSaysRefused asks a router whose session is another
// than the one that the request went to.
func TestRestartedOwnerNeverSaysRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		r.remote.outcome = tells(messenger.OutcomeRefused, messenger.ReasonStale)
		r.remote.execute = func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
			r.session.Store(otherSession)
			reset(r.world)
			return done(request, body)
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{Retries: 3}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "unknown/lost")
	})
}

func TestCanceledCallerReachesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		ended := make(chan time.Time, 1)
		r.remote.execute = func(ctx context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			<-ctx.Done()
			ended <- time.Now()
			return refused(request, messenger.ReasonCanceled)
		}
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		time.AfterFunc(time.Second, cancel)
		got := r.forward(ctx, request("n1"), messenger.Profile{}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "unknown/lost")
		qt.Assert(t, (<-ended).Sub(start) < time.Second+10*time.Millisecond, qt.IsTrue)
	})
}

func TestOwnerGetsEarlierDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		r.remote.execute = func(ctx context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			<-ctx.Done()
			return refused(request, messenger.ReasonDeadline)
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "refused/deadline")
		qt.Assert(t, r.remote.last.Timeout, qt.Equals, patience-forwarder.OwnerMargin)
	})
}

func TestLargeBodyIsSentAgainOnlyUnread(t *testing.T) {
	large := strings.Repeat("x", 3*forwarder.BufferSize)
	refusesAfter := func(size int64) execution {
		return func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
			_, _ = io.CopyN(io.Discard, body, size)
			return refused(request, messenger.ReasonShed)
		}
	}
	tests := []struct {
		name  string
		owner uint64
		first execution
		want  string
		runs  int
	}{
		{name: "local, unread", owner: entrySession, first: refusesAfter(0), want: "done", runs: 2},
		{name: "local, prefix read", owner: entrySession, first: refusesAfter(forwarder.BufferSize), want: "done", runs: 2},
		{name: "local, all read", owner: entrySession, first: refusesAfter(int64(len(large))), want: "refused/shed", runs: 1},
		{name: "remote, all read", owner: ownerSession, first: refusesAfter(int64(len(large))), want: "refused/shed", runs: 1},
		{name: "remote, misrouted before it was read", owner: otherSession, want: "done", runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, forwarder.Settings{})
				r.place(t, 2, messenger.PhaseOwned, test.owner)
				if test.first != nil {
					execute := firstAndThen(test.first, doneAtOnce)
					r.remote.execute, r.local.execute = execute, execute
				}
				if test.owner == otherSession {
					// The table of the entry is ahead of the owner's.
					qt.Assert(t, r.table.Apply(delta(3, messenger.PhaseOwned, ownerSession)), qt.IsNil)
					time.AfterFunc(time.Second, func() { r.place(t, 4, messenger.PhaseOwned, ownerSession) })
				}
				got := r.forward(t.Context(), request("n1"), messenger.Profile{Retries: 1}, large)
				qt.Check(t, got.text(), qt.Equals, test.want)
				qt.Check(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, test.runs)
				if test.want == "done" {
					qt.Check(t, got.body == "door-17:"+large, qt.IsTrue)
				}
			})
		})
	}
}

// TestSlowLargeBody answers before the caller has sent all.
func TestSlowLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{})
		r.remote.execute = refuses(messenger.ReasonQueue)
		part := strings.NewReader(strings.Repeat("x", forwarder.BufferSize+1))
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		start := time.Now()
		answer := r.entry.Forward(ctx, request("n1"), &messenger.Profile{}, io.MultiReader(part, &waiting{until: time.Minute}))
		qt.Assert(t, answer.Response.Reason, qt.Equals, messenger.ReasonQueue)
		qt.Assert(t, time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		time.Sleep(2 * time.Minute)
	})
}

// waiting is an empty part of a body that takes its time.
type waiting struct{ until time.Duration }

func (w *waiting) Read([]byte) (int, error) {
	time.Sleep(w.until)
	return 0, io.EOF
}
