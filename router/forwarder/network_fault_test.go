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

// execution is an implementation of Execute for fakeRunner.
type execution func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer

// reportOutcome returns an implementation of Outcome that always reports the same.
func reportOutcome(outcome messenger.Outcome, reason messenger.Reason) func(*messenger.OutcomeQuery) messenger.OutcomeResponse {
	return func(*messenger.OutcomeQuery) messenger.OutcomeResponse {
		return messenger.OutcomeResponse{Outcome: outcome, Reason: reason}
	}
}

// reportStoredAnswer reports a request as done, with a stored answer.
func reportStoredAnswer(query *messenger.OutcomeQuery) messenger.OutcomeResponse {
	return messenger.OutcomeResponse{
		Outcome:  messenger.OutcomeDone,
		Response: &messenger.Response{Number: "other", Outcome: messenger.OutcomeDone, Status: 200, Length: 4},
		Body:     []byte("kept"),
	}
}

// firstThen runs one execution for the first attempt and another for later ones.
func firstThen(first, later execution) execution {
	called := false
	return func(ctx context.Context, request *messenger.Request, body io.Reader) executor.Answer {
		if !called {
			called = true
			return first(ctx, request, body)
		}
		return later(ctx, request, body)
	}
}

// reportRunningTwiceThen reports the first two times that the request is running.
func reportRunningTwiceThen(then func(*messenger.OutcomeQuery) messenger.OutcomeResponse) func(*messenger.OutcomeQuery) messenger.OutcomeResponse {
	queries := 0
	return func(query *messenger.OutcomeQuery) messenger.OutcomeResponse {
		if queries++; queries <= 2 {
			return messenger.OutcomeResponse{Outcome: messenger.OutcomeRunning}
		}
		return then(query)
	}
}

func refuseWith(reason messenger.Reason) execution {
	return func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
		return refusedAnswer(request, reason)
	}
}

// refuseOldNumber refuses the request as stale if it still has its first number.
func refuseOldNumber(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	if request.Number == "n1" {
		return refusedAnswer(request, messenger.ReasonStale)
	}
	return doneAnswer(request, body)
}

// succeed runs the request without a delay.
func succeed(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	return doneAnswer(request, body)
}

// withFault injects a network fault during an execution that succeeds.
func (r *routerPair) withFault(inject func(network *disrupter.SimulatedNetwork)) execution {
	return func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
		answer := doneAnswer(request, body)
		inject(r.simulatedNetwork)
		return answer
	}
}

func blackhole(network *disrupter.SimulatedNetwork) { network.Blackhole("entry", "owner") }
func reset(network *disrupter.SimulatedNetwork)     { network.Reset("entry", "owner") }

// dropFirst drops the first frame of a type that a VM sends on a KindForward
// stream.
func dropFirst(from string, kind framer.Type) func(network *disrupter.SimulatedNetwork) {
	return onFirst(from, kind, disrupter.FrameAction{Drop: true})
}

// onFirst applies an action to the first frame of a type that a VM sends on a
// KindForward stream.
func onFirst(from string, kind framer.Type, action disrupter.FrameAction) func(network *disrupter.SimulatedNetwork) {
	return func(network *disrupter.SimulatedNetwork) {
		matched := false
		network.SetHook(func(info disrupter.FrameInfo) disrupter.FrameAction {
			if matched || info.From != from || info.Type != kind || info.Kind != messenger.KindForward {
				return disrupter.FrameAction{}
			}
			matched = true
			return action
		})
	}
}

func TestNetworkFaults(t *testing.T) {
	retrying := messenger.Profile{Retries: 2}
	idempotent := messenger.Profile{Retries: 2, Idempotent: true}
	// The owner permanently refuses the old number.
	reportStale := func(query *messenger.OutcomeQuery) messenger.OutcomeResponse {
		if query.Number != "n1" || query.Age <= 0 || query.Age > time.Second {
			return messenger.OutcomeResponse{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonForgotten}
		}
		return messenger.OutcomeResponse{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonStale}
	}
	reportLost := reportOutcome(messenger.OutcomeUnknown, messenger.ReasonLost)
	tests := []struct {
		name    string
		profile messenger.Profile
		// before injects a fault before the request is sent, during while it
		// runs for the first time.
		before  func(network *disrupter.SimulatedNetwork)
		during  func(network *disrupter.SimulatedNetwork)
		execute execution
		outcome func(query *messenger.OutcomeQuery) messenger.OutcomeResponse
		want    string
		body    string
		runs    int
		maxTook time.Duration
	}{
		{name: "link blackholed before the answer, answer stored", during: blackhole, outcome: reportStoredAnswer, want: "done", body: "kept", runs: 1},
		{name: "link blackholed before the answer, answer not stored", during: blackhole, outcome: reportLost, want: "unknown/lost", runs: 1},
		{name: "link blackholed before the answer, idempotent", profile: idempotent, during: blackhole, outcome: reportLost, want: "done", body: "door-17:hinge", runs: 2},
		{name: "reset before the answer, answer not stored", profile: retrying, during: reset, outcome: reportLost, want: "unknown/lost", runs: 1, maxTook: time.Second},
		{name: "reset before the answer, outcome refused", profile: retrying, during: reset, outcome: reportOutcome(messenger.OutcomeRefused, messenger.ReasonQueue), want: "refused/queue", runs: 1},
		{name: "reset while the request runs", profile: retrying, during: reset, outcome: reportRunningTwiceThen(reportStoredAnswer), want: "done", body: "kept", runs: 1, maxTook: time.Second},
		{name: "owner crashes", during: func(network *disrupter.SimulatedNetwork) { network.Crash("owner") }, want: "unknown/lost", runs: 1},
		{name: "request truncated", profile: retrying, before: dropFirst("entry", framer.TypeData), execute: refuseOldNumber, outcome: reportStale, want: "done", body: "door-17:hinge", runs: 1, maxTook: time.Second},
		{name: "last frame of the request lost", profile: retrying, before: dropFirst("entry", framer.TypeEnd), execute: refuseOldNumber, outcome: reportStale, want: "done", body: "door-17:hinge", runs: 1, maxTook: 2 * time.Second},
		{name: "answer truncated", profile: retrying, before: dropFirst("owner", framer.TypeData), outcome: reportStoredAnswer, want: "done", body: "kept", runs: 1, maxTook: time.Second},
		{name: "request frames duplicated", before: onFirst("entry", framer.TypeData, disrupter.FrameAction{Duplicates: 3}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "stream opened twice", before: onFirst("entry", framer.TypeOpen, disrupter.FrameAction{Duplicates: 1}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "answer frame duplicated", before: onFirst("owner", framer.TypeData, disrupter.FrameAction{Duplicates: 1}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "answer frame delayed", before: onFirst("owner", framer.TypeData, disrupter.FrameAction{Delay: 900 * time.Millisecond}), want: "done", body: "door-17:hinge", runs: 1},
		{name: "answer of another request", outcome: reportLost, want: "unknown/lost", runs: 1,
			execute: func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
				other := *request
				other.Number = "n2"
				return doneAnswer(&other, body)
			}},
		{name: "shed, then done", profile: retrying, execute: firstThen(refuseWith(messenger.ReasonShed), succeed), want: "done", body: "door-17:hinge", runs: 2},
		{name: "shed without retries", execute: refuseWith(messenger.ReasonShed), want: "refused/shed", runs: 1, maxTook: 10 * time.Millisecond},
		{name: "queue full is final", profile: retrying, execute: refuseWith(messenger.ReasonQueue), want: "refused/queue", runs: 1, maxTook: 10 * time.Millisecond},
		{name: "backend server crash is final", profile: idempotent, want: "unknown/crashed", runs: 1, maxTook: 10 * time.Millisecond,
			execute: func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
				return executor.Answer{Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed}}
			}},
		{name: "no connection", before: func(network *disrupter.SimulatedNetwork) { network.Crash("owner") }, want: "refused/unreachable"},
		{name: "no answer by the deadline", want: "unknown/expired", runs: 1,
			execute: func(ctx context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
				<-ctx.Done()
				time.Sleep(time.Minute)
				return refusedAnswer(request, messenger.ReasonDeadline)
			}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.remote.execute, r.remote.outcome = test.execute, test.outcome
				if test.during != nil {
					r.remote.execute = firstThen(r.withFault(test.during), succeed)
				}
				if test.before != nil {
					test.before(r.simulatedNetwork)
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
				qt.Check(t, time.Since(start) <= cmp.Or(test.maxTook, callerTimeout), qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
			})
		})
	}
}

// TestTruncatedAnswerIsReset truncates the backend server's answer at the owner. The
// entry router must receive an error, not a complete answer.
func TestTruncatedAnswerIsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
			return executor.Answer{Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Status: 200, Length: -1}, Body: io.NopCloser(body)}
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "")
		qt.Assert(t, got.body, qt.Equals, "part")
		qt.Assert(t, got.err, qt.ErrorIs, linker.ErrReset)
	})
}

// TestConnectionLostDuringBody resets the connection while a large body is sent and
// the owner has started the request.
func TestConnectionLostDuringBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		r.remote.outcome = reportOutcome(messenger.OutcomeUnknown, messenger.ReasonCrashed)
		r.remote.execute = func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
			_, _ = io.CopyN(io.Discard, body, forwarder.BufferSize+1)
			reset(r.simulatedNetwork)
			return refusedAnswer(request, messenger.ReasonCanceled)
		}
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		part := strings.NewReader(strings.Repeat("x", forwarder.BufferSize+1))
		answer := r.entry.Forward(ctx, request("n1"), &messenger.Profile{}, io.MultiReader(part, &slowEOF{delay: time.Minute}))
		qt.Assert(t, result{response: answer.Response}.text(), qt.Equals, "unknown/crashed")
		time.Sleep(2 * time.Minute)
	})
}

// Guards against a request that runs with a part of its body, because the entry router
// ended while the body was sent.
func TestBodyCutByEndOfLinkDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		stream, err := r.pool.Open(t.Context(), "owner:1", messenger.KindForward)
		qt.Assert(t, err, qt.IsNil)
		sent := request("n1")
		sent.Timeout = callerTimeout
		qt.Assert(t, stream.Send(sent), qt.IsNil)
		_, err = stream.Write([]byte("part"))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		r.pool.Close()
		time.Sleep(time.Second)
		qt.Check(t, r.remote.count("n1"), qt.Equals, 0)
	})
}

func TestLinkBlackholedDuringAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			reader, writer := io.Pipe()
			go func() {
				_, _ = writer.Write([]byte("part"))
				time.Sleep(100 * time.Millisecond)
				blackhole(r.simulatedNetwork)
				_ = writer.Close()
			}()
			return executor.Answer{Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Status: 200, Length: -1}, Body: reader}
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{Idempotent: true, Retries: 3}, "")
		qt.Assert(t, got.body, qt.Equals, "part")
		qt.Assert(t, got.err, qt.ErrorIs, linker.ErrKeepaliveTimeout)
		qt.Assert(t, r.remote.count("n1"), qt.Equals, 1)
	})
}

// TestRestartedOwnerNeverReportsRefused queries a router whose session is not the
// one that the request was sent to. Its report that the request was refused must not
// be used, since the earlier session may have run the request.
func TestRestartedOwnerNeverReportsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		r.remote.outcome = reportOutcome(messenger.OutcomeRefused, messenger.ReasonStale)
		r.remote.execute = func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
			r.ownerLease.Store(otherSession)
			reset(r.simulatedNetwork)
			return doneAnswer(request, body)
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{Retries: 3}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "unknown/lost")
	})
}

func TestCancellationReachesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		ended := make(chan time.Time, 1)
		r.remote.execute = func(ctx context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			<-ctx.Done()
			ended <- time.Now()
			return refusedAnswer(request, messenger.ReasonCanceled)
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
		r := newRouterPair(t, forwarder.Settings{})
		r.remote.execute = func(ctx context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
			<-ctx.Done()
			return refusedAnswer(request, messenger.ReasonDeadline)
		}
		got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "refused/deadline")
		qt.Assert(t, r.remote.last.Timeout, qt.Equals, callerTimeout-forwarder.OwnerDeadlineMargin)
	})
}

func TestLargeBodyIsRetriedOnlyIfUnread(t *testing.T) {
	large := strings.Repeat("x", 3*forwarder.BufferSize)
	refuseAfter := func(size int64) execution {
		return func(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
			_, _ = io.CopyN(io.Discard, body, size)
			return refusedAnswer(request, messenger.ReasonShed)
		}
	}
	tests := []struct {
		name  string
		owner uint64
		first execution
		want  string
		runs  int
	}{
		{name: "local, unread", owner: entrySession, first: refuseAfter(0), want: "done", runs: 2},
		{name: "local, prefix read", owner: entrySession, first: refuseAfter(forwarder.BufferSize), want: "done", runs: 2},
		{name: "local, all read", owner: entrySession, first: refuseAfter(int64(len(large))), want: "refused/shed", runs: 1},
		{name: "remote, all read", owner: ownerSession, first: refuseAfter(int64(len(large))), want: "refused/shed", runs: 1},
		{name: "remote, misrouted before it was read", owner: otherSession, want: "done", runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.place(t, 2, messenger.PhaseOwned, test.owner)
				if test.first != nil {
					execute := firstThen(test.first, succeed)
					r.remote.execute, r.local.execute = execute, execute
				}
				if test.owner == otherSession {
					// The entry's table is newer than the owner's.
					qt.Assert(t, r.entryTable.Apply(tableDelta(3, messenger.PhaseOwned, ownerSession)), qt.IsNil)
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

// TestAnswerBeforeEndOfBody has the owner answer before the caller has sent all of a
// large body.
func TestAnswerBeforeEndOfBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{})
		r.remote.execute = refuseWith(messenger.ReasonQueue)
		part := strings.NewReader(strings.Repeat("x", forwarder.BufferSize+1))
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		start := time.Now()
		answer := r.entry.Forward(ctx, request("n1"), &messenger.Profile{}, io.MultiReader(part, &slowEOF{delay: time.Minute}))
		qt.Assert(t, answer.Response.Reason, qt.Equals, messenger.ReasonQueue)
		qt.Assert(t, time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		time.Sleep(2 * time.Minute)
	})
}

// slowEOF is a reader that returns io.EOF after a delay.
type slowEOF struct{ delay time.Duration }

func (s *slowEOF) Read([]byte) (int, error) {
	time.Sleep(s.delay)
	return 0, io.EOF
}
