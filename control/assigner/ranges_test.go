package assigner_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

// rangeHarness applies commands to a state at ascending log indexes.
type rangeHarness struct {
	t     *testing.T
	state *assigner.State
	index uint64
}

func newRangeHarness(t *testing.T) *rangeHarness {
	return &rangeHarness{t: t, state: assigner.New()}
}

func (g *rangeHarness) apply(command assigner.Command) assigner.Result {
	data, err := assigner.Encode(&command)
	qt.Assert(g.t, err, qt.IsNil)
	g.index++
	return g.state.Apply(g.index, data)
}

func configuration(version uint64, routes ...messenger.PathRoute) messenger.Configuration {
	return messenger.Configuration{
		Version:  version,
		Routes:   routes,
		Services: []messenger.RoutedService{{Name: "findings", Ranged: true}, {Name: "records"}},
	}
}

func (g *rangeHarness) configure(c messenger.Configuration, source string) assigner.Result {
	return g.apply(assigner.Command{Configure: &assigner.Configure{Configuration: c, Source: []byte(source)}})
}

func (g *rangeHarness) open(router string, serverStart int64) uint64 {
	return g.apply(assigner.Command{Open: &assigner.Open{
		Router: router, Instance: 1, Routed: true,
		Server: &messenger.ServerRow{Name: router, Service: "findings", Slots: 6, Born: serverStart},
	}}).Revision
}

func (g *rangeHarness) grant(session uint64, from, to uint32) assigner.Result {
	return g.apply(assigner.Command{GrantRanges: &assigner.GrantRanges{
		Service: "findings", Placements: []assigner.RangePlacement{{Session: session, From: from, To: to}},
	}})
}

func (g *rangeHarness) move(session uint64, from, to uint32) assigner.Result {
	return g.apply(assigner.Command{MoveRanges: &assigner.MoveRanges{
		Service: "findings", Placements: []assigner.RangePlacement{{Session: session, From: from, To: to}},
	}})
}

func (g *rangeHarness) release(session uint64, from, to uint32, fence uint64, handover string) assigner.Result {
	return g.apply(assigner.Command{ReleaseRanges: &assigner.ReleaseRanges{Session: session, Ranges: []messenger.RangeRef{
		{Service: "findings", From: from, To: to, Fence: fence, Handover: handover},
	}}})
}

func (g *rangeHarness) ownership(key uint32) assigner.RangeOwnership {
	return g.state.Ranges("findings").Find(key).Value
}

func TestHighestConfigurationVersionIsActive(t *testing.T) {
	unknownService := messenger.PathRoute{Name: "r", Host: "h", Prefix: "/a/", Parts: []messenger.RoutePart{{Service: "nobody"}}}
	tests := []struct {
		name    string
		version uint64
		routes  []messenger.PathRoute
		source  string
		verdict assigner.Verdict
		want    string
	}{
		{name: "first", version: 4, source: "a", verdict: assigner.VerdictApplied, want: "a"},
		{name: "higher", version: 7, source: "b", verdict: assigner.VerdictApplied, want: "b"},
		{name: "older version is acknowledged", version: 5, source: "c", verdict: assigner.VerdictApplied, want: "b"},
		{name: "other content under the same version", version: 7, source: "d", verdict: assigner.VerdictApplied, want: "b"},
		{name: "invalid", version: 9, routes: []messenger.PathRoute{unknownService}, source: "e", verdict: assigner.VerdictInvalid, want: "b"},
		{name: "next", version: 8, source: "f", verdict: assigner.VerdictApplied, want: "f"},
	}
	g := newRangeHarness(t)
	for _, test := range tests {
		result := g.configure(configuration(test.version, test.routes...), test.source)
		qt.Check(t, result.Verdict, qt.Equals, test.verdict, qt.Commentf(test.name))
		qt.Check(t, string(g.state.Source()), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

func TestReleasedRangeGoesToNextOwner(t *testing.T) {
	g := newRangeHarness(t)
	g.configure(configuration(1), "a")
	a, b := g.open("a", 10), g.open("b", 20)
	granted := g.grant(a, 0, messenger.LastKey)
	qt.Assert(t, granted.Count, qt.Equals, messenger.LastKey+1)
	qt.Assert(t, g.grant(b, 0, 100).Verdict, qt.Equals, assigner.VerdictVoid)
	g.move(b, 100, 199)
	qt.Assert(t, g.ownership(150).Phase, qt.Equals, messenger.PhaseMoving)
	qt.Assert(t, g.ownership(150).Owner, qt.Equals, a)
	qt.Assert(t, g.release(b, 100, 199, granted.Revision, "").Verdict, qt.Equals, assigner.VerdictVoid)
	qt.Assert(t, g.release(a, 100, 199, granted.Revision-1, "").Verdict, qt.Equals, assigner.VerdictVoid)
	g.release(a, 100, 199, granted.Revision, "warm")
	after := g.ownership(150)
	qt.Assert(t, after.Owner, qt.Equals, b)
	qt.Assert(t, after.Fence > granted.Revision, qt.IsTrue)
	qt.Assert(t, after.Life, qt.Equals, int64(20))
	qt.Assert(t, after.Handover, qt.Equals, "warm")
	qt.Assert(t, g.ownership(99).Owner, qt.Equals, a)
	qt.Assert(t, g.ownership(200).Owner, qt.Equals, a)
}

func TestClosedSessionFreesItsRanges(t *testing.T) {
	g := newRangeHarness(t)
	g.configure(configuration(1), "a")
	a, b := g.open("a", 10), g.open("b", 20)
	g.grant(a, 0, 999)
	g.grant(b, 1000, 1999)
	g.move(b, 0, 99)
	g.move(a, 1000, 1099)
	g.apply(assigner.Command{Close: &assigner.Close{Sessions: []uint64{b}, Lapsed: true}})
	qt.Check(t, g.ownership(1050).Phase, qt.Equals, messenger.PhaseFree)
	qt.Check(t, g.ownership(1500).Phase, qt.Equals, messenger.PhaseFree)
	qt.Check(t, g.ownership(50).Phase, qt.Equals, messenger.PhaseOwned)
	qt.Check(t, g.ownership(50).Owner, qt.Equals, a)
}

func TestNewProcessAdoptsSession(t *testing.T) {
	g := newRangeHarness(t)
	g.configure(configuration(1), "a")
	a := g.open("a", 10)
	fence := g.grant(a, 0, 9).Revision
	adopted := g.apply(assigner.Command{Adopt: &assigner.Adopt{Session: a, Instance: 2}})
	qt.Assert(t, adopted.Verdict, qt.Equals, assigner.VerdictApplied)
	qt.Assert(t, g.state.Session(a).Instance, qt.Equals, uint64(2))
	qt.Assert(t, g.ownership(5).Fence, qt.Equals, fence)
	again := g.apply(assigner.Command{Adopt: &assigner.Adopt{Session: a, Instance: 2}})
	qt.Assert(t, again.Verdict, qt.Equals, assigner.VerdictVoid)
}

// TestRandomRanges applies random commands and checks that fences of a key never
// decrease and that a router that follows by deltas has the same owners as one that
// starts from a full delta of a restored snapshot.
func TestRandomRanges(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 7))
		g := newRangeHarness(t)
		g.configure(configuration(1), "a")
		var sessions []uint64
		follower := mapper.New()
		fences := make(map[uint32]uint64)
		for range 120 {
			from := random.Uint32N(messenger.LastKey + 1)
			to := min(from+random.Uint32N(5000), messenger.LastKey)
			switch choice := random.IntN(10); {
			case len(sessions) < 3:
				sessions = append(sessions, g.open(string(rune('a'+len(sessions)))+"x", int64(g.index)))
			case choice < 3:
				g.grant(sessions[random.IntN(len(sessions))], from, to)
			case choice < 6:
				g.move(sessions[random.IntN(len(sessions))], from, to)
			case choice < 9:
				held := g.state.Ranges("findings").Find(from)
				g.release(held.Value.Owner, held.From, held.To, held.Value.Fence, "h")
			default:
				closed := random.IntN(len(sessions))
				g.apply(assigner.Command{Close: &assigner.Close{Sessions: []uint64{sessions[closed]}}})
				sessions = append(sessions[:closed], sessions[closed+1:]...)
			}
			for _, key := range []uint32{0, 1, 20_000, messenger.LastKey, from, to} {
				fence := g.ownership(key).Fence
				qt.Assert(t, fence >= fences[key], qt.IsTrue, qt.Commentf("seed %d: fence of key %d decreased", seed, key))
				fences[key] = fence
			}
			if random.IntN(3) == 0 {
				delta, _ := g.state.Delta(follower.Load().Revision, assigner.MaxDeltaRows)
				if delta != nil {
					qt.Assert(t, follower.Apply(delta), qt.IsNil)
				}
			}
		}
		if delta, _ := g.state.Delta(follower.Load().Revision, assigner.MaxDeltaRows); delta != nil {
			qt.Assert(t, follower.Apply(delta), qt.IsNil)
		}
		image, err := g.state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		restored := assigner.New()
		qt.Assert(t, restored.Restore(image), qt.IsNil)
		fresh := mapper.New()
		full, _ := restored.Delta(0, assigner.MaxDeltaRows)
		qt.Assert(t, fresh.Apply(full), qt.IsNil)
		for key := uint32(0); key <= messenger.LastKey; key += 37 {
			_, got := follower.Load().Owner("findings", key)
			_, want := fresh.Load().Owner("findings", key)
			qt.Assert(t, got, qt.Equals, want, qt.Commentf("seed %d, key %d", seed, key))
		}
	}
}

// The number of crashes of a suspect is part of a snapshot; else a replica that was
// restarted would quarantine another request than the others.
func TestCrashesOfSuspectsSurviveASnapshot(t *testing.T) {
	g := newRangeHarness(t)
	session := g.open("r1", 1)
	number := uint64(0)
	crash := func() {
		number++
		g.apply(assigner.Command{Death: &assigner.Death{Session: session, Number: number, Rows: []messenger.QuarantineRow{{Fingerprint: "a"}, {Fingerprint: "b"}}}})
	}
	restart := func() {
		image, err := g.state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		g.state = assigner.New()
		qt.Assert(t, g.state.Restore(image), qt.IsNil)
	}
	crash()
	restart()
	crash()
	restart()
	qt.Assert(t, g.state.Quarantines(), qt.HasLen, 0)
	crash()
	qt.Assert(t, g.state.Quarantines(), qt.HasLen, 2)
}

// Reports of a process that went on with the session of its predecessor were taken for
// resent ones, since their numbers start again.
func TestReportsOfSuccessorCount(t *testing.T) {
	g := newRangeHarness(t)
	session := g.open("r1", 1)
	report := func(number uint64) {
		g.apply(assigner.Command{Death: &assigner.Death{Session: session, Number: number, Rows: []messenger.QuarantineRow{{Fingerprint: "a"}}}})
	}
	report(1)
	report(2)
	report(2)
	qt.Assert(t, g.state.Quarantines(), qt.HasLen, 0)
	g.apply(assigner.Command{Adopt: &assigner.Adopt{Session: session, Instance: 2}})
	report(1)
	qt.Assert(t, g.state.Quarantines(), qt.HasLen, 1)
}
