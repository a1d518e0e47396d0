package drainer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/drainer"
)

func shardRow(shard uint32, phase messenger.Phase) messenger.ShardRow {
	return messenger.ShardRow{Service: "findings", Shard: shard, Phase: phase, Owner: 5, Fence: 9}
}

func inShard(shard uint32) func(service, key string) uint32 {
	return func(string, string) uint32 { return shard }
}

func TestRelease(t *testing.T) {
	rows := []messenger.ShardRow{shardRow(1, messenger.PhaseOwned), shardRow(2, messenger.PhaseMoving)}
	tests := []struct {
		state    messenger.ServerState
		released []uint32
	}{
		{messenger.ServerReady, []uint32{2}},
		{messenger.ServerLeaving, []uint32{2}},
		{messenger.ServerFrozen, []uint32{1, 2}},
		{messenger.ServerDown, []uint32{1, 2}},
		{messenger.ServerAbsent, []uint32{1, 2}},
	}
	for _, test := range tests {
		drain := drainer.New(drainer.NewTracker())
		drain.SetRows(rows)
		var released []uint32
		for _, ref := range drain.Release(test.state, inShard(0)) {
			released = append(released, ref.Shard)
		}
		qt.Assert(t, released, qt.DeepEquals, test.released, qt.Commentf("state %s", test.state))
	}
}

// TestSealIsPermanent checks that a shard that was released because its server was
// frozen stays sealed when the server becomes ready again.
func TestSealIsPermanent(t *testing.T) {
	tracker := drainer.NewTracker()
	drain := drainer.New(tracker)
	rows := []messenger.ShardRow{shardRow(1, messenger.PhaseOwned)}
	drain.SetRows(rows)
	ref := drainer.RefOf(rows[0])
	ticket := tracker.Begin(ref, "door")
	qt.Assert(t, drain.Release(messenger.ServerFrozen, inShard(1)), qt.HasLen, 0)
	<-ticket.Sealed()
	qt.Assert(t, tracker.Begin(ref, "door"), qt.IsNil)
	tracker.End(ticket)
	tracker.End(ticket)
	<-tracker.Idle()
	drain.SetRows(rows)
	qt.Assert(t, drain.Release(messenger.ServerReady, inShard(1)), qt.HasLen, 1)
	qt.Assert(t, tracker.Begin(ref, "door"), qt.IsNil)

	// A new grant of the same shard is not sealed.
	rows[0].Fence++
	drain.SetRows(rows)
	qt.Assert(t, drain.Release(messenger.ServerReady, inShard(1)), qt.HasLen, 0)
	qt.Assert(t, tracker.Begin(drainer.RefOf(rows[0]), "door"), qt.IsNotNil)
}
