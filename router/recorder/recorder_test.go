package recorder

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// inFleet runs a test in a bubble of its own.
func inFleet(t *testing.T, size uint64, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		defer f.stop()
		test(t, f)
	})
}

func assertUnknown(t *testing.T, verdict Verdict, reason messenger.Reason) {
	t.Helper()
	qt.Assert(t, verdict.Run == nil, qt.IsTrue)
	qt.Assert(t, verdict.Outcome, qt.Equals, messenger.OutcomeUnknown)
	qt.Assert(t, verdict.Reason, qt.Equals, reason)
}

func assertRefused(t *testing.T, verdict Verdict, reason messenger.Reason) {
	t.Helper()
	qt.Assert(t, verdict.Run == nil, qt.IsTrue)
	qt.Assert(t, verdict.Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Assert(t, verdict.Reason, qt.Equals, reason)
}

func assertKept(t *testing.T, verdict Verdict) {
	t.Helper()
	qt.Assert(t, verdict.Run == nil, qt.IsTrue)
	qt.Assert(t, verdict.Outcome, qt.Equals, messenger.OutcomeDone)
	qt.Assert(t, string(verdict.Body), qt.Equals, "answer")
	qt.Assert(t, verdict.Response.Status, qt.Equals, 201)
}

func TestResendGetsKeptAnswer(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		first := f.begin(1, "door")
		qt.Assert(t, first.Run, qt.IsNotNil)
		qt.Assert(t, f.nodes[2].records.Size(), qt.Equals, 1)
		qt.Assert(t, f.nodes[3].records.Size(), qt.Equals, 1)
		finish(first)
		assertKept(t, f.begin(1, "door"))
		assertRefused(t, f.beginPrint(1, "door", "q"), messenger.ReasonMismatch)
	})
}

func TestResendsAtOnceWaitForTheRun(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		first := f.begin(1, "door")
		verdicts := make(chan Verdict, 2)
		for range 2 {
			go func() { verdicts <- f.begin(1, "door") }()
		}
		synctest.Wait()
		qt.Assert(t, len(verdicts), qt.Equals, 0)
		finish(first)
		assertKept(t, <-verdicts)
		assertKept(t, <-verdicts)
		// One that cannot wait long enough is told that it runs.
		slow := f.begin(1, "gate")
		assertUnknown(t, f.begin(1, "gate"), messenger.ReasonRunning)
		finish(slow)
	})
}

func TestOneOfManySendsRuns(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		verdicts := make(chan Verdict, 8)
		for range cap(verdicts) {
			go func() { verdicts <- f.begin(1, "door") }()
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, len(verdicts), qt.Equals, 1)
		finish(<-verdicts)
		for range cap(verdicts) - 1 {
			assertKept(t, <-verdicts)
		}
	})
}

func TestRefusedRunMayRunAgain(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		first := f.begin(1, "door")
		first.Run.Finish(Ended{State: messenger.RecordRefused})
		second := f.begin(1, "door")
		qt.Assert(t, second.Run, qt.IsNotNil)
		// The peers hear late that the first was refused; the second counts.
		time.Sleep(time.Second)
		qt.Assert(t, f.nodes[2].records.Size(), qt.Equals, 1)
	})
}

func TestUnknownRunNeverRunsAgain(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		first := f.begin(1, "door")
		first.Run.Finish(Ended{State: messenger.RecordStarted, Reason: messenger.ReasonCrashed})
		assertUnknown(t, f.begin(1, "door"), messenger.ReasonCrashed)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		f.begin(1, "door").Run.Finish(Ended{State: messenger.RecordDone, Large: true})
		assertUnknown(t, f.begin(1, "door"), messenger.ReasonLarge)
	})
}

func TestLostPeerRefuses(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		f.world.CutBoth("r1", "r3")
		assertRefused(t, f.begin(1, "door"), messenger.ReasonRecorders)
		f.world.HealBoth("r1", "r3")
		time.Sleep(2 * time.Second)
		qt.Assert(t, f.begin(1, "door").Run, qt.IsNotNil)
	})
}

// TestLostRecorderIsReplaced has a request wait while a lost recorder is taken
// out of the set and another one joins.
func TestLostRecorderIsReplaced(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.kill(3)
		n := f.nodes[1]
		work := f.work(n, "door", "p")
		verdicts := make(chan Verdict, 1)
		go func() { verdicts <- n.records.Begin(t.Context(), t.Context(), work) }()
		for _, set := range [][2][]uint64{{{2}, nil}, {{2}, {4}}, {{2, 4}, nil}} {
			time.Sleep(500 * time.Millisecond)
			qt.Assert(t, len(verdicts), qt.Equals, 0)
			delete(f.sessions, 3)
			f.recorders(1, set[0], set[1])
			f.publish()
		}
		qt.Assert(t, (<-verdicts).Run != nil, qt.IsTrue)
		qt.Assert(t, f.nodes[4].records.Size(), qt.Equals, 1)
	})
}

func TestLostRecorderIsWaitedForABoundedTime(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		f.kill(3)
		begun := time.Now()
		verdict := f.nodes[1].records.Begin(t.Context(), t.Context(), f.work(f.nodes[1], "door", "p"))
		assertRefused(t, verdict, messenger.ReasonRecorders)
		qt.Assert(t, time.Since(begun), qt.Equals, repairTime)
	})
}

func TestScarce(t *testing.T) {
	tests := []struct {
		scarce string
		runs   bool
	}{{"", false}, {"refuse", false}, {"accept", true}}
	for _, test := range tests {
		inFleet(t, 2, func(t *testing.T, f *fleet) {
			f.recorders(1, []uint64{2}, nil)
			f.service.Scarce = test.scarce
			f.publish()
			qt.Assert(t, f.begin(1, "door").Run != nil, qt.Equals, test.runs)
		})
	}
}

func TestRestartedPeerHoldsNothing(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		f.kill(3)
		// The same address, another process; the table does not know yet.
		f.start(9, "r3", DefaultEntries)
		assertRefused(t, f.begin(1, "door"), messenger.ReasonRecorders)
	})
}

func TestFullRecorderEvictsNothing(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		f.nodes[1].records.options.Entries = 1
		finish(f.begin(1, "door"))
		assertRefused(t, f.begin(1, "gate"), messenger.ReasonRecorders)
		assertKept(t, f.begin(1, "door"))
	})
}

func TestRetention(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		finish(f.begin(1, "door"))
		time.Sleep(time.Minute - time.Second)
		assertKept(t, f.begin(1, "door"))
		time.Sleep(4 * time.Second)
		for session, n := range f.nodes {
			qt.Assert(t, n.records.Size(), qt.Equals, 0, qt.Commentf("session %d", session))
		}
		qt.Assert(t, f.begin(1, "door").Run, qt.IsNotNil)
	})
}

func TestWallClockEndsNoRetention(t *testing.T) {
	made := timer.Instant{}.Add(time.Hour)
	b := newBook()
	e := &entry{id: id{key: "door"}, made: made, retention: time.Minute}
	b.put(e)
	jumped := made.Add(time.Second)
	jumped.Wall += time.Hour
	qt.Assert(t, b.expire(jumped), qt.Equals, 0)
	qt.Assert(t, b.get(jumped, e.id), qt.Equals, e)
	qt.Assert(t, b.expire(made.Add(62*time.Second)), qt.Equals, 1)
}

func TestEntriesOutOfOrder(t *testing.T) {
	b := newBook()
	at := func(attempt uint64, state messenger.RecordState) *entry {
		return &entry{id: id{key: "door"}, attempt: attempt, state: state, retention: time.Minute}
	}
	b.store(at(2, messenger.RecordStarted))
	b.store(at(1, messenger.RecordRefused))
	qt.Assert(t, b.entries, qt.HasLen, 1)
	b.store(at(2, messenger.RecordDone))
	b.store(at(2, messenger.RecordStarted))
	qt.Assert(t, b.entries[id{key: "door"}].state, qt.Equals, messenger.RecordDone)
	b = newBook()
	b.store(at(2, messenger.RecordStarted))
	b.store(at(2, messenger.RecordRefused))
	qt.Assert(t, b.entries, qt.HasLen, 0)
}

func TestCopyWithAMissedRecordDoesNotCount(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.world.CutBoth("r1", "r4")
		f.recorders(1, []uint64{2, 3}, []uint64{4})
		f.publish()
		records := f.nodes[1].records
		before := records.failures(4)
		qt.Assert(t, records.copyAgain(4), qt.IsTrue)
		qt.Assert(t, records.markCopied(4, before), qt.IsFalse)
		qt.Assert(t, records.markCopied(4, records.failures(4)), qt.IsTrue)
	})
}
