package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/keeper"
)

func requestNumbered(number string) messenger.Request {
	return messenger.Request{Number: number}
}

// nonIdempotent returns a request of a route with a non-idempotent profile.
func nonIdempotent(number, idempotency string) messenger.Request {
	return messenger.Request{Number: number, Route: "issue", Idempotency: idempotency}
}

func assertOutcome(t *testing.T, response messenger.Response, outcome messenger.Outcome, reason messenger.Reason) {
	t.Helper()
	qt.Assert(t, string(response.Outcome)+" "+string(response.Reason), qt.Equals, string(outcome)+" "+string(reason))
}

func TestDone(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		response, body := s.send(requestNumbered("n1"))
		assertOutcome(t, response, messenger.OutcomeDone, "")
		qt.Assert(t, body, qt.Equals, "answer")
		qt.Assert(t, response.Fence, qt.Equals, uint64(9))
		qt.Assert(t, response.Number, qt.Equals, "n1")
		// The backend server must not start the request after the end of the lease.
		left := time.Until(s.backend.requests[0].Deadline)
		qt.Assert(t, left, qt.Equals, messenger.LeaseDuration-10*time.Millisecond)
		qt.Assert(t, s.tracker.Total(), qt.Equals, 0)
	})
}

// TestRefusals checks each condition under which a request must not be sent to the
// backend server.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *setup)
		reason messenger.Reason
	}{
		{"lapsed", func(*setup) { time.Sleep(messenger.LeaseDuration) }, messenger.ReasonLease},
		{"owned by another session", func(s *setup) { s.leaseSource.current.Store(otherLease()) }, messenger.ReasonMisrouted},
		{"moving", func(s *setup) { s.row.Phase = messenger.PhaseMoving }, messenger.ReasonMoving},
		{"free", func(s *setup) { s.row = messenger.ShardRow{Service: service} }, messenger.ReasonUnowned},
		{"frozen", func(s *setup) { s.server.set(messenger.ServerFrozen, true) }, messenger.ReasonDown},
		{"leaving", func(s *setup) { s.server.set(messenger.ServerLeaving, true) }, messenger.ReasonDraining},
		{"shard released", func(s *setup) {
			s.server.set(messenger.ServerDown, true)
			s.release()
			s.server.set(messenger.ServerReady, true)
		}, messenger.ReasonMoving},
		{"stale", func(s *setup) { s.Outcome(context.Background(), &messenger.OutcomeQuery{Number: "n1"}) }, messenger.ReasonStale},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSetup(t, func(t *testing.T, s *setup) {
				test.change(s)
				s.publish(t)
				response, _ := s.send(requestNumbered("n1"))
				assertOutcome(t, response, messenger.OutcomeRefused, test.reason)
				qt.Assert(t, s.backend.runs(), qt.Equals, 0)
				qt.Assert(t, s.tracker.Total(), qt.Equals, 0)
			})
		})
	}
}

// TestRefusalWhileWaiting fills both slots and has a third request wait for one. A
// change before a slot is free must keep that request from the backend server.
func TestRefusalWhileWaiting(t *testing.T) {
	tests := []struct {
		name   string
		change func(t *testing.T, s *setup)
		reason messenger.Reason
	}{
		{"lease expires", func(_ *testing.T, s *setup) {
			s.leaseSource.renew(timer.Now().Add(-messenger.LeaseDuration))
		}, messenger.ReasonLease},
		{"VM was suspended", func(_ *testing.T, s *setup) {
			sent := timer.Now()
			sent.Wall -= messenger.LeaseDuration
			s.leaseSource.renew(sent)
		}, messenger.ReasonLease},
		{"shard granted again", func(t *testing.T, s *setup) {
			s.row.Fence++
			s.publish(t)
		}, messenger.ReasonMisrouted},
		{"moves", func(t *testing.T, s *setup) {
			s.row.Phase = messenger.PhaseMoving
			s.publish(t)
			s.release()
		}, messenger.ReasonMoving},
		{"server freezes", func(_ *testing.T, s *setup) {
			s.server.set(messenger.ServerFrozen, true)
			s.CancelRequests()
		}, messenger.ReasonDown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSetup(t, func(t *testing.T, s *setup) {
				s.backend.run = answerAfter(time.Second)
				s.start(requestNumbered("n1"))
				s.start(requestNumbered("n2"))
				waiter := s.start(requestNumbered("n3"))
				test.change(t, s)
				assertOutcome(t, <-waiter, messenger.OutcomeRefused, test.reason)
				qt.Assert(t, s.backend.runs(), qt.Equals, 2)
			})
		})
	}
}

// TestAnswerAfterSuspensionIsUnknown has the lease expire on the wall clock, as it does
// while a VM is suspended, before the backend server answers.
func TestAnswerAfterSuspensionIsUnknown(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = func(context.Context, *dispatcher.ServerRequest) dispatcher.Result {
			sent := timer.Now()
			sent.Wall -= messenger.LeaseDuration
			s.leaseSource.renew(sent)
			return doneResult("old")
		}
		response, _ := s.send(requestNumbered("n1"))
		assertOutcome(t, response, messenger.OutcomeUnknown, messenger.ReasonExpired)
	})
}

func TestDeadlineWhileRunning(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = answerAfter(time.Minute)
		request := requestNumbered("n1")
		request.Timeout = time.Second
		start := time.Now()
		response, _ := s.send(request)
		assertOutcome(t, response, messenger.OutcomeUnknown, messenger.ReasonExpired)
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
	})
}

func TestCallerCancels(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = answerAfter(time.Minute)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		response, _ := s.sendWith(ctx, requestNumbered("n1"))
		assertOutcome(t, response, messenger.OutcomeUnknown, messenger.ReasonLost)
		qt.Assert(t, s.tracker.Total(), qt.Equals, 0)
	})
}

// TestFrozenServer checks that the shard is released at once when the server checks
// fences, and otherwise only when the server must no longer start the request.
func TestFrozenServer(t *testing.T) {
	for _, fences := range []bool{true, false} {
		withSetup(t, func(t *testing.T, s *setup) {
			s.server.set(messenger.ServerReady, fences)
			s.backend.run = answerAfter(time.Minute)
			answer := s.start(requestNumbered("n1"))
			s.server.set(messenger.ServerFrozen, fences)
			s.CancelRequests()
			assertOutcome(t, <-answer, messenger.OutcomeUnknown, messenger.ReasonLost)
			synctest.Wait()
			qt.Assert(t, len(s.release()) == 1, qt.Equals, fences)
			time.Sleep(messenger.LeaseDuration)
			synctest.Wait()
			qt.Assert(t, s.release(), qt.HasLen, 1)
		})
	}
}

func TestMoveWaitsForRequestInFlight(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = answerAfter(time.Second)
		answer := s.start(requestNumbered("n1"))
		s.row.Phase = messenger.PhaseMoving
		s.publish(t)
		qt.Assert(t, s.release(), qt.HasLen, 0)
		assertOutcome(t, <-answer, messenger.OutcomeDone, "")
		synctest.Wait()
		qt.Assert(t, s.release(), qt.HasLen, 1)
	})
}

// TestPromotedKeyInFlight promotes a key to a shard of its own and moves that shard
// while a request runs that entered under the hash shard of the key. The new shard
// must not be released before the request has ended.
func TestPromotedKeyInFlight(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = answerAfter(time.Second)
		answer := s.start(requestNumbered("n1"))
		s.delta.Keys = []messenger.KeyRow{{Service: service, Key: "door", Shard: 1}}
		s.row = messenger.ShardRow{Service: service, Shard: 1, Phase: messenger.PhaseMoving, Owner: session, Fence: 9}
		s.publish(t)
		qt.Assert(t, s.release(), qt.HasLen, 0)
		<-answer
		synctest.Wait()
		qt.Assert(t, s.release(), qt.HasLen, 1)
	})
}

func TestIdempotencyKeyRunsOnce(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		first := s.start(nonIdempotent("n1", "k"))
		second := s.start(nonIdempotent("n2", "k"))
		assertOutcome(t, <-first, messenger.OutcomeDone, "")
		assertOutcome(t, <-second, messenger.OutcomeDone, "")
		response, body := s.send(nonIdempotent("n3", "k"))
		assertOutcome(t, response, messenger.OutcomeDone, "")
		qt.Assert(t, body, qt.Equals, "answer")
		qt.Assert(t, s.backend.runs(), qt.Equals, 1)
		other := nonIdempotent("n4", "k")
		other.Query = "changed"
		response, _ = s.send(other)
		assertOutcome(t, response, messenger.OutcomeRefused, messenger.ReasonMismatch)
	})
}

func TestShedIdempotencyKeyMayRunAgain(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = func(context.Context, *dispatcher.ServerRequest) dispatcher.Result {
			return dispatcher.Result{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonShed}
		}
		response, _ := s.send(nonIdempotent("n1", "k"))
		assertOutcome(t, response, messenger.OutcomeRefused, messenger.ReasonShed)
		s.backend.run = answerAfter(time.Millisecond)
		response, _ = s.send(nonIdempotent("n1", "k"))
		assertOutcome(t, response, messenger.OutcomeDone, "")
	})
}

func TestUnknownIdempotencyKeyNeverRunsAgain(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = func(context.Context, *dispatcher.ServerRequest) dispatcher.Result {
			return dispatcher.Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Cause: dispatcher.CauseBroken}
		}
		for _, number := range []string{"n1", "n2"} {
			response, _ := s.send(nonIdempotent(number, "k"))
			assertOutcome(t, response, messenger.OutcomeUnknown, messenger.ReasonCrashed)
		}
		qt.Assert(t, s.backend.runs(), qt.Equals, 1)
		qt.Assert(t, s.server.broken.Load(), qt.Equals, int64(1))
	})
}

// TestOutcomeByNumber queries a request by its number while it runs and after it has
// ended, and sends it again under the same number.
func TestOutcomeByNumber(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		query := func(number string) messenger.OutcomeResponse {
			return s.Outcome(t.Context(), &messenger.OutcomeQuery{Number: number})
		}
		s.backend.run = answerAfter(time.Second)
		answer := s.start(nonIdempotent("n1", ""))
		qt.Assert(t, query("n1").Outcome, qt.Equals, messenger.OutcomeRunning)
		<-answer
		synctest.Wait()
		ended := query("n1")
		qt.Assert(t, ended.Outcome, qt.Equals, messenger.OutcomeDone)
		qt.Assert(t, string(ended.Body), qt.Equals, "answer")
		response, _ := s.send(nonIdempotent("n1", ""))
		assertOutcome(t, response, messenger.OutcomeRefused, messenger.ReasonStale)
		qt.Assert(t, s.backend.runs(), qt.Equals, 1)
	})
}

// TestSuspectRunsAlone checks that a suspected request and another one wait for each
// other, and that only the suspected one is refused once it is quarantined.
func TestSuspectRunsAlone(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = answerAfter(time.Second)
		print := s.fingerprintOf(t, requestNumbered("n0"))
		s.delta.Suspects = []messenger.QuarantineRow{{Fingerprint: print}}
		s.publish(t)
		s.leaseSource.renew(timer.Now())
		other := messenger.Request{Number: "n1", Key: "gate"}
		first := s.start(other)
		suspect := s.start(requestNumbered("n2"))
		qt.Assert(t, s.backend.runs(), qt.Equals, 2)
		<-first
		synctest.Wait()
		qt.Assert(t, s.backend.runs(), qt.Equals, 3)
		s.leaseSource.renew(timer.Now())
		other.Number = "n3"
		second := s.start(other)
		qt.Assert(t, s.backend.runs(), qt.Equals, 3)
		qt.Assert(t, s.isolation.InFlight(), qt.HasLen, 1)
		qt.Assert(t, s.isolation.InFlight()[0].Fingerprint, qt.Equals, print)
		<-suspect
		<-second
		s.delta.Suspects = nil
		s.delta.Quarantines = []messenger.QuarantineRow{{Fingerprint: print}}
		s.publish(t)
		s.leaseSource.renew(timer.Now())
		response, _ := s.send(requestNumbered("n4"))
		assertOutcome(t, response, messenger.OutcomeRefused, messenger.ReasonQuarantine)
		response, _ = s.send(other)
		assertOutcome(t, response, messenger.OutcomeDone, "")
	})
}

// Requests that had been admitted before their quarantine, and waited, were sent on.
func TestWaitingRequestIsNotSentOnceQuarantined(t *testing.T) {
	withSetup(t, func(t *testing.T, s *setup) {
		s.backend.run = answerAfter(time.Second)
		print := s.fingerprintOf(t, requestNumbered("n0"))
		s.delta.Suspects = []messenger.QuarantineRow{{Fingerprint: print}}
		s.publish(t)
		s.leaseSource.renew(timer.Now())
		other := messenger.Request{Number: "n1", Key: "gate"}
		first := s.start(other)
		suspect := s.start(requestNumbered("n2"))
		qt.Assert(t, s.backend.runs(), qt.Equals, 2)
		s.delta.Suspects = nil
		s.delta.Quarantines = []messenger.QuarantineRow{{Fingerprint: print}}
		s.publish(t)
		<-first
		assertOutcome(t, <-suspect, messenger.OutcomeRefused, messenger.ReasonQuarantine)
		qt.Assert(t, s.backend.runs(), qt.Equals, 2)
	})
}

// fingerprintOf runs a request and returns its fingerprint.
func (s *setup) fingerprintOf(t *testing.T, request messenger.Request) string {
	answer := s.start(request)
	rows := s.isolation.InFlight()
	qt.Assert(t, rows, qt.HasLen, 1)
	<-answer
	return rows[0].Fingerprint
}

// otherLease is a lease under which this router owns nothing.
func otherLease() *keeper.Lease {
	return keeper.NewTestLease(session+1, timer.Now())
}
