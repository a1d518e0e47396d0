package recorder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
)

// takeOver stops session 1 after it finished the request "done" and began the request
// "started", and grants its shards to session 4 with the given survivors.
func takeOver(cluster *testCluster, survivors []uint64) {
	finish(cluster.begin(1, "done"))
	cluster.begin(1, "started")
	time.Sleep(10 * time.Millisecond)
	cluster.stopNode(1)
	delete(cluster.sessions, 1)
	cluster.setRecorders(4, []uint64{2, 5}, nil)
	cluster.grantAll(4, func(row *messenger.ShardRow) {
		row.Survivors = survivors
		row.Last = 1
	})
	cluster.publish()
}

func TestTakeoverRecoversRecords(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
		takeOver(cluster, []uint64{2, 3})
		assertRefused(t, cluster.begin(4, "fresh"), messenger.ReasonRecovering)
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, cluster.report(4).Recovered, qt.HasLen, shards)
		// Until the control group has committed the report, another failure would lose
		// what ran meanwhile.
		assertRefused(t, cluster.begin(4, "fresh"), messenger.ReasonRecovering)
		qt.Assert(t, cluster.nodes[5].records.Size(), qt.Equals, 2)
		cluster.finishRecovery(4)
		assertStoredResponse(t, cluster.begin(4, "done"))
		assertUnknown(t, cluster.begin(4, "started"), messenger.ReasonLost)
		qt.Assert(t, cluster.begin(4, "fresh").Run, qt.IsNotNil)
		time.Sleep(time.Second)
		qt.Assert(t, cluster.report(4).Recovered, qt.HasLen, 0)
	})
}

// finishRecovery clears the survivors of all shards, as the control group does after
// the owner reported the recovery.
func (c *testCluster) finishRecovery(owner uint64) {
	for number, row := range c.rows {
		c.rows[number] = messenger.ShardRow{
			Service: row.Service, Shard: number, Phase: row.Phase, Owner: owner, Fence: row.Fence,
		}
	}
	c.publish()
}

func TestTakeoverQueriesTheNextSurvivor(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
		finish(cluster.begin(1, "done"))
		time.Sleep(10 * time.Millisecond)
		// A restarted process at the first survivor's address holds no records.
		cluster.stopNode(2)
		cluster.startNode(9, "r2", DefaultEntries)
		cluster.stopNode(1)
		delete(cluster.sessions, 1)
		cluster.setRecorders(4, []uint64{3, 5}, nil)
		cluster.grantAll(4, func(row *messenger.ShardRow) { row.Survivors, row.Last = []uint64{2, 3}, 1 })
		cluster.publish()
		time.Sleep(time.Second)
		cluster.finishRecovery(4)
		assertStoredResponse(t, cluster.begin(4, "done"))
	})
}

func TestRecoveryFencesTheOldOwner(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
		old := cluster.nodes[1]
		request := cluster.request(old, "door", "p")
		cluster.setRecorders(4, []uint64{3, 5}, nil)
		cluster.grantAll(4, func(row *messenger.ShardRow) { row.Survivors, row.Last = []uint64{2}, 1 })
		delete(cluster.nodes, 1) // The old owner does not receive the new table.
		cluster.publish()
		time.Sleep(time.Second)
		assertRefused(t, old.records.Begin(t.Context(), t.Context(), request), messenger.ReasonFence)
		cluster.nodes[1] = old
	})
}

func TestPlannedMoveReadsThePreviousOwner(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		finish(cluster.begin(1, "done"))
		cluster.setRecorders(4, []uint64{2, 3}, nil)
		cluster.grantAll(4, func(row *messenger.ShardRow) { row.Previous, row.Last = 1, 1 })
		cluster.publish()
		time.Sleep(time.Second)
		cluster.finishRecovery(4)
		assertStoredResponse(t, cluster.begin(4, "done"))
	})
}

func TestPromotedKeyIsRecovered(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
		finish(cluster.begin(1, "hot"))
		finish(cluster.begin(1, keyInSameShard("hot")))
		cluster.keys = []messenger.KeyRow{{Service: "findings", Key: "hot", Shard: shards}}
		own := messenger.ShardRow{Service: "findings", Shard: shards, Phase: messenger.PhaseOwned, Owner: 4, Fence: fence + 1}
		own.Survivors, own.Last = []uint64{2, 3}, 1
		cluster.rows[shards] = own
		cluster.setRecorders(4, []uint64{3, 5}, nil)
		cluster.publish()
		time.Sleep(time.Second)
		own.Survivors, own.Last = nil, 0
		cluster.rows[shards] = own
		cluster.publish()
		qt.Assert(t, hasher.Shard("hot", shards) < shards, qt.IsTrue)
		assertStoredResponse(t, cluster.begin(4, "hot"))
		qt.Assert(t, cluster.nodes[4].records.own.entries, qt.HasLen, 1)
	})
}

func TestForgottenRecords(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
		until := time.Now().Add(time.Minute).UnixMilli()
		cluster.setRecorders(4, []uint64{2, 3}, nil)
		cluster.grantAll(4, func(row *messenger.ShardRow) { row.Forgotten, row.ForgottenUntil = true, until })
		cluster.publish()
		assertUnknown(t, cluster.begin(4, "door"), messenger.ReasonForgotten)
		time.Sleep(time.Minute)
		qt.Assert(t, cluster.begin(4, "door").Run, qt.IsNotNil)
	})
}

// TestSecondFailureAfterRepair stops one recorder, lets another join, creates a record
// during the copy, and then stops the owner and the other initial recorder. The joined
// recorder must have all records.
func TestSecondFailureAfterRepair(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, cluster *testCluster) {
		finish(cluster.begin(1, "before"))
		cluster.stopNode(3)
		cluster.setRecorders(1, []uint64{2}, []uint64{4})
		cluster.service.Recorders = 1
		cluster.testNetwork.SetDelay("r1", "r4", 50*time.Millisecond)
		cluster.publish()
		finish(cluster.begin(1, "meanwhile"))
		time.Sleep(time.Second)
		qt.Assert(t, cluster.report(1).Copied, qt.DeepEquals, []uint64{4})
		cluster.stopNode(1)
		cluster.stopNode(2)
		delete(cluster.sessions, 1)
		cluster.setRecorders(5, []uint64{4}, nil)
		cluster.grantAll(5, func(row *messenger.ShardRow) { row.Survivors, row.Last = []uint64{4}, 1 })
		cluster.publish()
		time.Sleep(time.Second)
		cluster.finishRecovery(5)
		assertStoredResponse(t, cluster.begin(5, "before"))
		assertStoredResponse(t, cluster.begin(5, "meanwhile"))
	})
}

// TestJoiningRecorderThatMissesARecord checks that records are copied again after one
// was missed, and that a failure refuses requests once the copy was reported.
func TestJoiningRecorderThatMissesARecord(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, cluster *testCluster) {
		cluster.setRecorders(1, []uint64{2, 3}, []uint64{4})
		cluster.testNetwork.PartitionBoth("r1", "r4")
		cluster.publish()
		finish(cluster.begin(1, "missed"))
		qt.Assert(t, cluster.report(1).Copied, qt.HasLen, 0)
		cluster.testNetwork.HealBoth("r1", "r4")
		time.Sleep(5 * time.Second)
		qt.Assert(t, cluster.report(1).Copied, qt.DeepEquals, []uint64{4})
		qt.Assert(t, cluster.nodes[4].records.Size(), qt.Equals, 1)
		cluster.testNetwork.PartitionBoth("r1", "r4")
		assertRefused(t, cluster.begin(1, "late"), messenger.ReasonRecorders)
	})
}
