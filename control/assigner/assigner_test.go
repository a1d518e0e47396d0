package assigner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// harness applies commands to a state at ascending log indexes. Tests advance the
// time.
type harness struct {
	t     *testing.T
	state *assigner.State
	index uint64
	time  int64
}

// newHarness returns a state that has a service with 8 shards and three sessions,
// 3 to 5.
func newHarness(t *testing.T) *harness {
	l := &harness{t: t, state: assigner.New(), time: 1000}
	l.apply(assigner.Command{PutProfile: &assigner.PutProfile{Profile: profiler.DefaultProfiles()[0]}})
	service := profiler.DefaultService("findings")
	service.Shards = 8
	service.Routes = service.Routes[:1]
	l.apply(assigner.Command{PutService: &assigner.PutService{Service: service}})
	for n := range 3 {
		l.apply(assigner.Command{Open: &assigner.Open{
			Router: fmt.Sprintf("r%d", n), Instance: 1, Domain: fmt.Sprintf("d%d", n),
			Server: &messenger.ServerRow{Name: fmt.Sprintf("s%d", n), Service: "findings", Slots: 6},
		}})
	}
	return l
}

func (l *harness) apply(command assigner.Command) assigner.Result {
	l.index++
	command.Time = l.time
	data, err := assigner.Encode(&command)
	qt.Assert(l.t, err, qt.IsNil)
	return l.state.Apply(l.index, data)
}

func (l *harness) grant(session uint64, shards ...uint32) assigner.Result {
	return l.apply(assigner.Command{Grant: &assigner.Grant{Service: "findings", Placements: place(session, shards)}})
}

func (l *harness) move(session uint64, shards ...uint32) assigner.Result {
	return l.apply(assigner.Command{Move: &assigner.Move{Service: "findings", Placements: place(session, shards)}})
}

func (l *harness) close(sessions ...uint64) {
	l.apply(assigner.Command{Close: &assigner.Close{Sessions: sessions, Lapsed: true}})
}

func (l *harness) release(session uint64, shard uint32) assigner.Result {
	ref := messenger.ShardRef{Service: "findings", Shard: shard, Fence: l.row(shard).Fence}
	return l.apply(assigner.Command{Release: &assigner.Release{Session: session, Shards: []messenger.ShardRef{ref}}})
}

func (l *harness) join(session uint64, joining ...uint64) {
	l.apply(assigner.Command{Join: &assigner.Join{Session: session, Joining: joining}})
}

func (l *harness) row(shard uint32) messenger.ShardRow {
	return l.state.Table("findings").Row(shard)
}

func place(session uint64, shards []uint32) []assigner.Placement {
	return []assigner.Placement{{Session: session, Shards: assigner.NewShardSet(shards)}}
}

func TestRecordHoldersAfterOwnerChange(t *testing.T) {
	tests := []struct {
		name      string
		change    func(l *harness)
		survivors []uint64
		previous  uint64
		last      uint64
		forgotten bool
	}{
		{name: "owner that never recorded", change: func(l *harness) { l.close(3) }},
		{name: "lost owner", change: func(l *harness) { l.close(3) }, survivors: []uint64{4, 5}, last: 3},
		{name: "released by its owner", change: func(l *harness) { l.release(3, 0) }, survivors: []uint64{3, 4, 5}, last: 3},
		{name: "released after loss of its recorders", change: func(l *harness) { l.close(4, 5); l.release(3, 0) }, survivors: []uint64{3}, last: 3},
		{name: "one recorder lost before", change: func(l *harness) { l.close(4); l.close(3) }, survivors: []uint64{5}, last: 3},
		{name: "one recorder lost at the same time", change: func(l *harness) { l.close(3, 5) }, survivors: []uint64{4}, last: 3},
		{name: "one survivor lost afterwards", change: func(l *harness) { l.close(3); l.close(5) }, survivors: []uint64{4}, last: 3},
		{name: "all lost", change: func(l *harness) { l.close(3, 4, 5) }, last: 3, forgotten: true},
		{name: "all lost one by one", change: func(l *harness) { l.close(3); l.close(4); l.close(5) }, last: 3, forgotten: true},
		{name: "new owner lost before recovery", change: func(l *harness) {
			l.join(4, 3, 5)
			l.close(3)
			l.grant(4, 0)
			l.close(4)
		}, survivors: []uint64{5}, last: 3},
		{name: "planned move", change: func(l *harness) { l.move(4, 0); l.release(3, 0) }, previous: 3, last: 3},
		{name: "previous owner lost after a move", change: func(l *harness) {
			l.move(4, 0)
			l.release(3, 0)
			l.close(3)
		}, survivors: []uint64{4, 5}, last: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newHarness(t)
			if test.last != 0 {
				// Recorders that join before the first grant have no records to copy.
				l.join(3, 4, 5)
			}
			l.grant(3, 0)
			test.change(l)
			row := l.row(0)
			qt.Check(t, len(row.Survivors), qt.Equals, len(test.survivors), qt.Commentf("%+v", row))
			for n := range test.survivors {
				qt.Check(t, row.Survivors[n], qt.Equals, test.survivors[n])
			}
			qt.Check(t, row.Previous, qt.Equals, test.previous)
			qt.Check(t, row.Last, qt.Equals, test.last)
			qt.Check(t, row.Forgotten, qt.Equals, test.forgotten)
			if test.forgotten {
				qt.Check(t, row.ForgottenUntil, qt.Equals, l.time+profiler.DefaultRetention.Milliseconds())
			}
		})
	}
}

func TestStaleCommandsChangeNothing(t *testing.T) {
	tests := []struct {
		name   string
		change func(l *harness) assigner.Result
	}{
		{name: "grant of an owned shard", change: func(l *harness) assigner.Result { return l.grant(4, 0) }},
		{name: "grant to a closed session", change: func(l *harness) assigner.Result { return l.grant(99, 1) }},
		{name: "grant of a shard that does not exist", change: func(l *harness) assigner.Result { return l.grant(4, 8) }},
		{name: "move to a leaving session", change: func(l *harness) assigner.Result {
			l.apply(assigner.Command{Drain: &assigner.Drain{Server: "s1", On: true}})
			return l.move(4, 0)
		}},
		{name: "move to the current owner", change: func(l *harness) assigner.Result { return l.move(3, 0) }},
		{name: "release by another session", change: func(l *harness) assigner.Result { return l.release(4, 0) }},
		{name: "release under an old fence", change: func(l *harness) assigner.Result {
			ref := messenger.ShardRef{Service: "findings", Fence: l.row(0).Fence - 1}
			return l.apply(assigner.Command{Release: &assigner.Release{Session: 3, Shards: []messenger.ShardRef{ref}}})
		}},
		{name: "second session of a router", change: func(l *harness) assigner.Result {
			return l.apply(assigner.Command{Open: &assigner.Open{Router: "r0", Instance: 2}})
		}},
		{name: "session as its own recorder", change: func(l *harness) assigner.Result {
			return l.apply(assigner.Command{Join: &assigner.Join{Session: 3, Joining: []uint64{3, 99}}})
		}},
		{name: "demotion of a key with another owner than its hash shard", change: func(l *harness) assigner.Result {
			l.apply(assigner.Command{Promote: &assigner.Promote{Service: "findings", Key: "a"}})
			l.move(4, 8)
			l.release(3, 8)
			qt.Assert(l.t, l.row(8).Owner, qt.Equals, uint64(4))
			return l.apply(assigner.Command{Demote: &assigner.Demote{Service: "findings", Key: "a"}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newHarness(t)
			l.grant(3, 0, 1, 2, 3, 4, 5, 6, 7)
			before := l.row(0)
			qt.Assert(t, test.change(l).Verdict, qt.Equals, assigner.VerdictVoid)
			qt.Assert(t, l.row(0), qt.DeepEquals, before)
		})
	}
}

func TestKeyNumberReuseIsDelayed(t *testing.T) {
	l := newHarness(t)
	l.grant(3, 0, 1, 2, 3, 4, 5, 6, 7)
	promote := func(key string) uint32 {
		l.apply(assigner.Command{Promote: &assigner.Promote{Service: "findings", Key: key}})
		number, promoted := l.state.Table("findings").Locate(key)
		qt.Assert(t, promoted, qt.IsTrue)
		return number
	}
	qt.Assert(t, promote("a"), qt.Equals, uint32(8))
	l.apply(assigner.Command{Demote: &assigner.Demote{Service: "findings", Key: "a"}})
	l.time += 9_000
	qt.Assert(t, promote("b"), qt.Equals, uint32(9))
	l.time += 2_000
	qt.Assert(t, promote("c"), qt.Equals, uint32(8))
}

func TestDeltaEndsAtNewestRevision(t *testing.T) {
	l := newHarness(t)
	from := l.state.Revision()
	for shard := range uint32(3) {
		l.grant(3, shard)
		delta, more := l.state.Delta(from, 100)
		qt.Assert(t, more, qt.IsFalse)
		qt.Assert(t, delta.To, qt.Equals, l.index)
		qt.Assert(t, delta.Shards, qt.HasLen, int(shard)+1)
	}
	delta, _ := l.state.Delta(l.index, 100)
	qt.Assert(t, delta, qt.IsNil)
}

func TestChurnAndUnavailability(t *testing.T) {
	l := newHarness(t)
	l.grant(3, 0, 1, 2, 3, 4, 5, 6, 7)
	table := l.state.Table("findings")
	qt.Assert(t, table.Churn(l.time), qt.Equals, 0.0)
	l.time += 5000
	l.move(4, 0)
	l.time += 700
	l.release(3, 0)
	qt.Assert(t, table.Churn(l.time), qt.Equals, 1.0/8)
	l.apply(assigner.Command{Close: &assigner.Close{Sessions: []uint64{3}, Lapsed: true, Silence: 1650}})
	l.time += 100
	l.grant(5, 1)
	gaps := table.Unavailability(l.time)
	qt.Assert(t, gaps.Worst.Milliseconds(), qt.Equals, int64(1750))
	qt.Assert(t, gaps.P99.Milliseconds(), qt.Equals, int64(1750))
	qt.Assert(t, gaps.Total.Milliseconds(), qt.Equals, int64(2450))
	hour := int64(3_600_000)
	qt.Assert(t, table.Churn(l.time+hour+60_000), qt.Equals, 0.0)
	qt.Assert(t, table.Unavailability(l.time+2*hour).Worst.Milliseconds(), qt.Equals, int64(0))
}

func TestTruncatedSnapshotIsRejected(t *testing.T) {
	l := newHarness(t)
	l.grant(3, 0, 1)
	data, err := l.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	for cut := 0; cut < len(data); cut += 7 {
		state := assigner.New()
		qt.Assert(t, state.Restore(data[:cut]), qt.IsNotNil, qt.Commentf("cut at %d", cut))
		qt.Assert(t, state.Revision(), qt.Equals, uint64(0))
	}
}

func TestCauseIsKeptAfterHistoryIsDropped(t *testing.T) {
	l := newHarness(t)
	l.grant(3, 0, 1)
	l.move(4, 1)
	l.release(3, 1)
	for range assigner.MaxHistory {
		l.grant(5, 2)
		l.release(5, 2)
	}
	qt.Assert(t, l.state.History("findings", 1, 9), qt.HasLen, 0)
	data, err := l.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := assigner.New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	for shard, want := range []assigner.Cause{assigner.CausePlaced, assigner.CauseMoved} {
		qt.Check(t, restored.Table("findings").Ownership(uint32(shard)).Cause, qt.Equals, want)
	}
	qt.Check(t, restored.Table("findings").Row(1), qt.DeepEquals, l.row(1))
}

func TestLargeGrantIsOneEvent(t *testing.T) {
	for sessions, want := range map[int]int{2: 2, 8: 8, 9: 1} {
		l := newHarness(t)
		photos := l.state.Table("findings").Service
		photos.Name = "photos"
		photos.Shards = 16
		l.apply(assigner.Command{PutService: &assigner.PutService{Service: photos}})
		grant := &assigner.Grant{Service: "photos", Why: "test"}
		for shard := range uint32(sessions) {
			open := &assigner.Open{Router: fmt.Sprintf("x%d", shard), Server: &messenger.ServerRow{Service: "photos"}}
			l.apply(assigner.Command{Open: open})
			grant.Placements = append(grant.Placements, place(l.index, []uint32{shard})...)
		}
		qt.Assert(t, l.apply(assigner.Command{Grant: grant}).Count, qt.Equals, sessions)
		qt.Check(t, l.state.Events(l.index-1), qt.HasLen, want)
	}
}
