package recorder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
)

// takeOver lets session 1 end after it ran "done" and started "started", and
// grants its shards to session 4 with the survivors.
func takeOver(f *fleet, survivors []uint64) {
	finish(f.begin(1, "done"))
	f.begin(1, "started")
	time.Sleep(10 * time.Millisecond)
	f.kill(1)
	delete(f.sessions, 1)
	f.recorders(4, []uint64{2, 5}, nil)
	f.grant(4, func(row *messenger.ShardRow) {
		row.Survivors = survivors
		row.Last = 1
	})
	f.publish()
}

func TestTakeover(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		takeOver(f, []uint64{2, 3})
		assertRefused(t, f.begin(4, "fresh"), messenger.ReasonRecovering)
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, f.report(4).Recovered, qt.HasLen, shards)
		// Until the control group took the report, a loss would lose what ran
		// meanwhile.
		assertRefused(t, f.begin(4, "fresh"), messenger.ReasonRecovering)
		qt.Assert(t, f.nodes[5].records.Size(), qt.Equals, 2)
		f.settle(4)
		assertKept(t, f.begin(4, "done"))
		assertUnknown(t, f.begin(4, "started"), messenger.ReasonLost)
		qt.Assert(t, f.begin(4, "fresh").Run, qt.IsNotNil)
		time.Sleep(time.Second)
		qt.Assert(t, f.report(4).Recovered, qt.HasLen, 0)
	})
}

// settle clears the recovery of all shards, as the control group does when a
// session reported it.
func (f *fleet) settle(owner uint64) {
	for number, row := range f.rows {
		f.rows[number] = messenger.ShardRow{
			Service: row.Service, Shard: number, Phase: row.Phase, Owner: owner, Fence: row.Fence,
		}
	}
	f.publish()
}

func TestTakeoverAsksTheNextSurvivor(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		finish(f.begin(1, "done"))
		time.Sleep(10 * time.Millisecond)
		// A restarted process at the first survivor's address knows nothing.
		f.kill(2)
		f.start(9, "r2", DefaultEntries)
		f.kill(1)
		delete(f.sessions, 1)
		f.recorders(4, []uint64{3, 5}, nil)
		f.grant(4, func(row *messenger.ShardRow) { row.Survivors, row.Last = []uint64{2, 3}, 1 })
		f.publish()
		time.Sleep(time.Second)
		f.settle(4)
		assertKept(t, f.begin(4, "done"))
	})
}

func TestReadSealsAgainstTheOldOwner(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		old := f.nodes[1]
		work := f.work(old, "door", "p")
		f.recorders(4, []uint64{3, 5}, nil)
		f.grant(4, func(row *messenger.ShardRow) { row.Survivors, row.Last = []uint64{2}, 1 })
		delete(f.nodes, 1) // The old owner hears of nothing.
		f.publish()
		time.Sleep(time.Second)
		assertRefused(t, old.records.Begin(t.Context(), t.Context(), work), messenger.ReasonFence)
		f.nodes[1] = old
	})
}

func TestPlannedMoveReadsThePreviousOwner(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		finish(f.begin(1, "done"))
		f.recorders(4, []uint64{2, 3}, nil)
		f.grant(4, func(row *messenger.ShardRow) { row.Previous, row.Last = 1, 1 })
		f.publish()
		time.Sleep(time.Second)
		f.settle(4)
		assertKept(t, f.begin(4, "done"))
	})
}

func TestPromotedKeyIsRecovered(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		finish(f.begin(1, "hot"))
		finish(f.begin(1, same("hot")))
		f.keys = []messenger.KeyRow{{Service: "findings", Key: "hot", Shard: shards}}
		own := messenger.ShardRow{Service: "findings", Shard: shards, Phase: messenger.PhaseOwned, Owner: 4, Fence: fence + 1}
		own.Survivors, own.Last = []uint64{2, 3}, 1
		f.rows[shards] = own
		f.recorders(4, []uint64{3, 5}, nil)
		f.publish()
		time.Sleep(time.Second)
		own.Survivors, own.Last = nil, 0
		f.rows[shards] = own
		f.publish()
		qt.Assert(t, hasher.Shard("hot", shards) < shards, qt.IsTrue)
		assertKept(t, f.begin(4, "hot"))
		qt.Assert(t, f.nodes[4].records.own.entries, qt.HasLen, 1)
	})
}

func TestForgotten(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		until := time.Now().Add(time.Minute).UnixMilli()
		f.recorders(4, []uint64{2, 3}, nil)
		f.grant(4, func(row *messenger.ShardRow) { row.Forgotten, row.ForgottenUntil = true, until })
		f.publish()
		assertUnknown(t, f.begin(4, "door"), messenger.ReasonForgotten)
		time.Sleep(time.Minute)
		qt.Assert(t, f.begin(4, "door").Run, qt.IsNotNil)
	})
}

// TestSecondLossAfterRepair loses one recorder, lets another join, makes a
// record while records are copied, and then loses the owner and the other old
// recorder. The one that joined has everything.
func TestSecondLossAfterRepair(t *testing.T) {
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		finish(f.begin(1, "before"))
		f.kill(3)
		f.recorders(1, []uint64{2}, []uint64{4})
		f.service.Recorders = 1
		f.world.SetDelay("r1", "r4", 50*time.Millisecond)
		f.publish()
		finish(f.begin(1, "meanwhile"))
		time.Sleep(time.Second)
		qt.Assert(t, f.report(1).Copied, qt.DeepEquals, []uint64{4})
		f.kill(1)
		f.kill(2)
		delete(f.sessions, 1)
		f.recorders(5, []uint64{4}, nil)
		f.grant(5, func(row *messenger.ShardRow) { row.Survivors, row.Last = []uint64{4}, 1 })
		f.publish()
		time.Sleep(time.Second)
		f.settle(5)
		assertKept(t, f.begin(5, "before"))
		assertKept(t, f.begin(5, "meanwhile"))
	})
}

// TestJoiningRecorderThatMissesARecord is copied to again, and counts like the
// others once it was reported.
func TestJoiningRecorderThatMissesARecord(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.recorders(1, []uint64{2, 3}, []uint64{4})
		f.world.CutBoth("r1", "r4")
		f.publish()
		finish(f.begin(1, "missed"))
		qt.Assert(t, f.report(1).Copied, qt.HasLen, 0)
		f.world.HealBoth("r1", "r4")
		time.Sleep(5 * time.Second)
		qt.Assert(t, f.report(1).Copied, qt.DeepEquals, []uint64{4})
		qt.Assert(t, f.nodes[4].records.Size(), qt.Equals, 1)
		f.world.CutBoth("r1", "r4")
		assertRefused(t, f.begin(1, "late"), messenger.ReasonRecorders)
	})
}
