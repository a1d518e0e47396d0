package recorder

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// runCluster runs a test in a synctest bubble of its own.
func runCluster(t *testing.T, size uint64, test func(t *testing.T, cluster *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, size)
		defer cluster.stop()
		test(t, cluster)
	})
}

func assertUnknown(t *testing.T, decision Decision, reason messenger.Reason) {
	t.Helper()
	qt.Assert(t, decision.Run == nil, qt.IsTrue)
	qt.Assert(t, decision.Outcome, qt.Equals, messenger.OutcomeUnknown)
	qt.Assert(t, decision.Reason, qt.Equals, reason)
}

func assertRefused(t *testing.T, decision Decision, reason messenger.Reason) {
	t.Helper()
	qt.Assert(t, decision.Run == nil, qt.IsTrue)
	qt.Assert(t, decision.Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Assert(t, decision.Reason, qt.Equals, reason)
}

func assertStoredResponse(t *testing.T, decision Decision) {
	t.Helper()
	qt.Assert(t, decision.Run == nil, qt.IsTrue)
	qt.Assert(t, decision.Outcome, qt.Equals, messenger.OutcomeDone)
	qt.Assert(t, string(decision.Body), qt.Equals, "answer")
	qt.Assert(t, decision.Response.Status, qt.Equals, 201)
}

func TestRetryGetsStoredResponse(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		first := cluster.begin(1, "door")
		qt.Assert(t, first.Run, qt.IsNotNil)
		qt.Assert(t, cluster.nodes[2].records.Size(), qt.Equals, 1)
		qt.Assert(t, cluster.nodes[3].records.Size(), qt.Equals, 1)
		finish(first)
		assertStoredResponse(t, cluster.begin(1, "door"))
		assertRefused(t, cluster.beginWithFingerprint(1, "door", "q"), messenger.ReasonMismatch)
	})
}

func TestConcurrentRetriesWaitForTheRun(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		first := cluster.begin(1, "door")
		decisions := make(chan Decision, 2)
		for range 2 {
			go func() { decisions <- cluster.begin(1, "door") }()
		}
		synctest.Wait()
		qt.Assert(t, len(decisions), qt.Equals, 0)
		finish(first)
		assertStoredResponse(t, <-decisions)
		assertStoredResponse(t, <-decisions)
		// A retry whose context ends during the run is answered as running.
		slow := cluster.begin(1, "gate")
		assertUnknown(t, cluster.begin(1, "gate"), messenger.ReasonRunning)
		finish(slow)
	})
}

func TestOnlyOneConcurrentRequestRuns(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		decisions := make(chan Decision, 8)
		for range cap(decisions) {
			go func() { decisions <- cluster.begin(1, "door") }()
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, len(decisions), qt.Equals, 1)
		finish(<-decisions)
		for range cap(decisions) - 1 {
			assertStoredResponse(t, <-decisions)
		}
	})
}

func TestRefusedRunMayRunAgain(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		first := cluster.begin(1, "door")
		first.Run.Finish(RunResult{State: messenger.RecordRefused})
		second := cluster.begin(1, "door")
		qt.Assert(t, second.Run, qt.IsNotNil)
		// The recorders receive the refusal of the first run after the second began; the
		// record of the second must remain.
		time.Sleep(time.Second)
		qt.Assert(t, cluster.nodes[2].records.Size(), qt.Equals, 1)
	})
}

func TestUnknownRunNeverRunsAgain(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		first := cluster.begin(1, "door")
		first.Run.Finish(RunResult{State: messenger.RecordStarted, Reason: messenger.ReasonCrashed})
		assertUnknown(t, cluster.begin(1, "door"), messenger.ReasonCrashed)
	})
}

func TestLargeResponseIsNotStored(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		cluster.begin(1, "door").Run.Finish(RunResult{State: messenger.RecordDone, Large: true})
		assertUnknown(t, cluster.begin(1, "door"), messenger.ReasonLarge)
	})
}

func TestUnreachableRecorderRefuses(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		cluster.testNetwork.PartitionBoth("r1", "r3")
		assertRefused(t, cluster.begin(1, "door"), messenger.ReasonRecorders)
		cluster.testNetwork.HealBoth("r1", "r3")
		time.Sleep(2 * time.Second)
		qt.Assert(t, cluster.begin(1, "door").Run, qt.IsNotNil)
	})
}

// TestLostRecorderIsReplaced checks that a request waits while a lost recorder is
// removed from the set and another one joins.
func TestLostRecorderIsReplaced(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		cluster.stopNode(3)
		n := cluster.nodes[1]
		request := cluster.request(n, "door", "p")
		decisions := make(chan Decision, 1)
		go func() { decisions <- n.records.Begin(t.Context(), t.Context(), request) }()
		for _, set := range [][2][]uint64{{{2}, nil}, {{2}, {4}}, {{2, 4}, nil}} {
			time.Sleep(500 * time.Millisecond)
			qt.Assert(t, len(decisions), qt.Equals, 0)
			delete(cluster.sessions, 3)
			cluster.setRecorders(1, set[0], set[1])
			cluster.publish()
		}
		qt.Assert(t, (<-decisions).Run != nil, qt.IsTrue)
		qt.Assert(t, cluster.nodes[4].records.Size(), qt.Equals, 1)
	})
}

func TestWaitForLostRecorderIsBounded(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		cluster.stopNode(3)
		started := time.Now()
		decision := cluster.nodes[1].records.Begin(t.Context(), t.Context(), cluster.request(cluster.nodes[1], "door", "p"))
		assertRefused(t, decision, messenger.ReasonRecorders)
		qt.Assert(t, time.Since(started), qt.Equals, repairTimeout)
	})
}

func TestTooFewRecorders(t *testing.T) {
	tests := []struct {
		scarce string
		runs   bool
	}{{"", false}, {"refuse", false}, {"accept", true}}
	for _, test := range tests {
		runCluster(t, 2, func(t *testing.T, cluster *testCluster) {
			cluster.setRecorders(1, []uint64{2}, nil)
			cluster.service.Scarce = test.scarce
			cluster.publish()
			qt.Assert(t, cluster.begin(1, "door").Run != nil, qt.Equals, test.runs)
		})
	}
}

func TestRestartedRecorderIsNotUsed(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		cluster.stopNode(3)
		// Another process has the same address; the routing table does not reflect
		// that yet.
		cluster.startNode(9, "r3", DefaultEntries)
		assertRefused(t, cluster.begin(1, "door"), messenger.ReasonRecorders)
	})
}

func TestFullRecorderEvictsNothing(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		cluster.nodes[1].records.options.Entries = 1
		finish(cluster.begin(1, "door"))
		assertRefused(t, cluster.begin(1, "gate"), messenger.ReasonRecorders)
		assertStoredResponse(t, cluster.begin(1, "door"))
	})
}

func TestRecordsExpireAfterRetention(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		finish(cluster.begin(1, "door"))
		time.Sleep(time.Minute - time.Second)
		assertStoredResponse(t, cluster.begin(1, "door"))
		time.Sleep(4 * time.Second)
		for session, n := range cluster.nodes {
			qt.Assert(t, n.records.Size(), qt.Equals, 0, qt.Commentf("session %d", session))
		}
		qt.Assert(t, cluster.begin(1, "door").Run, qt.IsNotNil)
	})
}

func TestRetentionIgnoresTheWallClock(t *testing.T) {
	createdAt := timer.Instant{}.Add(time.Hour)
	records := newRecordSet()
	record := &entry{recordKey: recordKey{key: "door"}, createdAt: createdAt, retention: time.Minute}
	records.put(record)
	jumped := createdAt.Add(time.Second)
	jumped.Wall += time.Hour
	qt.Assert(t, records.expire(jumped), qt.Equals, 0)
	qt.Assert(t, records.get(jumped, record.recordKey), qt.Equals, record)
	qt.Assert(t, records.expire(createdAt.Add(62*time.Second)), qt.Equals, 1)
}

func TestEntriesOutOfOrder(t *testing.T) {
	records := newRecordSet()
	newTestEntry := func(attempt uint64, state messenger.RecordState) *entry {
		return &entry{recordKey: recordKey{key: "door"}, attempt: attempt, state: state, retention: time.Minute}
	}
	records.storeReplica(newTestEntry(2, messenger.RecordStarted))
	records.storeReplica(newTestEntry(1, messenger.RecordRefused))
	qt.Assert(t, records.entries, qt.HasLen, 1)
	records.storeReplica(newTestEntry(2, messenger.RecordDone))
	records.storeReplica(newTestEntry(2, messenger.RecordStarted))
	qt.Assert(t, records.entries[recordKey{key: "door"}].state, qt.Equals, messenger.RecordDone)
	records = newRecordSet()
	records.storeReplica(newTestEntry(2, messenger.RecordStarted))
	records.storeReplica(newTestEntry(2, messenger.RecordRefused))
	qt.Assert(t, records.entries, qt.HasLen, 0)
}

func TestCopyWithAMissedRecordIsIncomplete(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		cluster.testNetwork.PartitionBoth("r1", "r4")
		cluster.setRecorders(1, []uint64{2, 3}, []uint64{4})
		cluster.publish()
		records := cluster.nodes[1].records
		before := records.missedRecords(4)
		qt.Assert(t, records.recordMissed(4), qt.IsTrue)
		qt.Assert(t, records.markCopied(4, before), qt.IsFalse)
		qt.Assert(t, records.markCopied(4, records.missedRecords(4)), qt.IsTrue)
	})
}
