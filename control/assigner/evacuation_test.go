package assigner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
)

func (l *harness) evacuate(domain string, on bool, idempotency string) assigner.Result {
	return l.apply(assigner.Command{Evacuate: &assigner.Evacuate{
		Condition: assigner.Condition{Idempotency: idempotency}, Domain: domain, On: on, By: fmt.Sprintf("operator at %d", l.index),
	}})
}

// leaving lists the routers whose sessions are marked as leaving.
func (l *harness) leaving() []string {
	var routers []string
	for _, session := range l.state.Sessions() {
		if session.Row.Leaving {
			routers = append(routers, session.Row.Router)
		}
	}
	return routers
}

func (l *harness) evacuated() []string {
	var domains []string
	for _, entry := range l.state.Evacuations() {
		domains = append(domains, entry.Value.Domain)
	}
	return domains
}

// order is one command of an evacuation, as it arrives in the log.
type order struct {
	domain string
	on     bool
	// key is the Idempotency-Key, if any.
	key string
}

// An order that is resent, arrives late or races with its withdrawal must not undo what
// came after it: the last order in the log decides, and one with an Idempotency-Key
// takes effect once. The harness has one router in each of the domains d0 to d2.
func TestEvacuate(t *testing.T) {
	tests := []struct {
		name   string
		orders []order
		// revisions are the answers to the orders; the first command has index 6.
		revisions []uint64
		evacuated []string
		leaving   []string
		verdict   assigner.Verdict
	}{
		{name: "order", orders: []order{{"d1", true, ""}}, revisions: []uint64{6}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictApplied},
		{name: "order resent", orders: []order{{"d1", true, ""}, {"d1", true, ""}}, revisions: []uint64{6, 6}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictApplied},
		{name: "order resent under its key", orders: []order{{"d1", true, "a"}, {"d1", true, "a"}}, revisions: []uint64{6, 6}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictApplied},
		{name: "withdrawal", orders: []order{{"d1", true, ""}, {"d1", false, ""}}, revisions: []uint64{6, 7}, verdict: assigner.VerdictApplied},
		{name: "withdrawal resent", orders: []order{{"d1", true, ""}, {"d1", false, ""}, {"d1", false, ""}}, revisions: []uint64{6, 7, 7}, verdict: assigner.VerdictApplied},
		{name: "withdrawal of what was never ordered", orders: []order{{"d1", false, ""}}, revisions: []uint64{5}, verdict: assigner.VerdictApplied},
		{name: "withdrawal before its order", orders: []order{{"d1", false, ""}, {"d1", true, ""}}, revisions: []uint64{5, 7}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictApplied},
		{name: "order late under its key", orders: []order{{"d1", true, "a"}, {"d1", false, "b"}, {"d1", true, "a"}}, revisions: []uint64{6, 7, 6}, verdict: assigner.VerdictApplied},
		{name: "withdrawal late under its key", orders: []order{{"d1", true, "a"}, {"d1", false, "b"}, {"d1", true, "c"}, {"d1", false, "b"}}, revisions: []uint64{6, 7, 8, 7}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictApplied},
		{name: "order late without a key", orders: []order{{"d1", true, ""}, {"d1", false, ""}, {"d1", true, ""}}, revisions: []uint64{6, 7, 8}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictApplied},
		{name: "key used for another order", orders: []order{{"d1", true, "a"}, {"d2", true, "a"}}, revisions: []uint64{6, 0}, evacuated: []string{"d1"}, leaving: []string{"r1"}, verdict: assigner.VerdictMismatch},
		{name: "domain without routers", orders: []order{{"d9", true, ""}}, revisions: []uint64{6}, evacuated: []string{"d9"}, verdict: assigner.VerdictApplied},
		{name: "all domains", orders: []order{{"d0", true, ""}, {"d1", true, ""}, {"d2", true, ""}}, revisions: []uint64{6, 7, 8}, evacuated: []string{"d0", "d1", "d2"}, leaving: []string{"r0", "r1", "r2"}, verdict: assigner.VerdictApplied},
		{name: "invalid name", orders: []order{{"D 1", true, ""}}, revisions: []uint64{0}, verdict: assigner.VerdictInvalid},
		{name: "withdrawal with an invalid name", orders: []order{{"", false, ""}}, revisions: []uint64{0}, verdict: assigner.VerdictInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newHarness(t)
			var result assigner.Result
			var revisions []uint64
			for _, o := range test.orders {
				result = l.evacuate(o.domain, o.on, o.key)
				revisions = append(revisions, result.Revision)
			}
			qt.Check(t, revisions, qt.DeepEquals, test.revisions)
			qt.Check(t, result.Verdict, qt.Equals, test.verdict)
			qt.Check(t, l.evacuated(), qt.DeepEquals, test.evacuated)
			qt.Check(t, l.leaving(), qt.DeepEquals, test.leaving)
		})
	}
}

// Without a bound, names that no router uses would fill all full deltas.
// Guards against a failure domain that the settings of a router allow and that can't be
// evacuated, or whose evacuation can't be withdrawn when its routers are down.
func TestDomainsOfRoutersCanBeEvacuated(t *testing.T) {
	for _, domain := range []string{"Rack_2", "zone.1"} {
		l := newHarness(t)
		qt.Check(t, l.evacuate(domain, true, "").Verdict, qt.Equals, assigner.VerdictInvalid, qt.Commentf(domain))
		session := l.apply(assigner.Command{Open: &assigner.Open{Router: "r9", Instance: 1, Domain: domain}}).Revision
		qt.Check(t, l.evacuate(domain, true, "").Verdict, qt.Equals, assigner.VerdictApplied, qt.Commentf(domain))
		qt.Check(t, l.leaving(), qt.DeepEquals, []string{"r9"})
		l.close(session)
		qt.Check(t, l.evacuate(domain, false, "").Verdict, qt.Equals, assigner.VerdictApplied, qt.Commentf(domain))
		qt.Check(t, l.evacuated(), qt.HasLen, 0)
	}
}

func TestEvacuationsAreBounded(t *testing.T) {
	l := newHarness(t)
	for n := range assigner.MaxEvacuations {
		qt.Assert(t, l.evacuate(fmt.Sprintf("x%d", n), true, "").Verdict, qt.Equals, assigner.VerdictApplied)
	}
	qt.Check(t, l.evacuate("one-more", true, "").Verdict, qt.Equals, assigner.VerdictInvalid)
	qt.Check(t, l.evacuate("x7", true, "").Verdict, qt.Equals, assigner.VerdictApplied)
	qt.Check(t, l.evacuate("x7", false, "").Verdict, qt.Equals, assigner.VerdictApplied)
	qt.Check(t, l.evacuate("one-more", true, "").Verdict, qt.Equals, assigner.VerdictApplied)
	qt.Check(t, len(l.state.Evacuations()), qt.Equals, assigner.MaxEvacuations)
}

// A VM that starts in an evacuated domain must not get requests, and a withdrawal must
// not end a drain of its own.
func TestLeavingDuringEvacuation(t *testing.T) {
	l := newHarness(t)
	l.evacuate("d1", true, "")
	open := l.apply(assigner.Command{Open: &assigner.Open{Router: "r9", Instance: 1, Domain: "d1", Server: &messenger.ServerRow{Name: "s9", Service: "findings", Slots: 6}}})
	qt.Check(t, l.leaving(), qt.DeepEquals, []string{"r1", "r9"})
	l.apply(assigner.Command{Update: &assigner.Update{Session: open.Revision, Domain: "d1", Server: &messenger.ServerRow{Name: "s9", Service: "findings", Slots: 7}}})
	qt.Check(t, l.leaving(), qt.DeepEquals, []string{"r1", "r9"})
	l.apply(assigner.Command{Drain: &assigner.Drain{Server: "s1", On: true}})
	l.evacuate("d1", false, "")
	qt.Check(t, l.leaving(), qt.DeepEquals, []string{"r1"})
}

// A router that was cut off must learn of an order and of its withdrawal from whichever
// delta it gets next, and no delta may bring back an order that was withdrawn.
func TestDeltasOfEvacuations(t *testing.T) {
	l := newHarness(t)
	start := l.state.Revision()
	l.evacuate("d1", true, "")
	ordered := l.state.Revision()
	row := messenger.EvacuationRow{Domain: "d1", By: "operator at 5", Since: l.time}
	gone := messenger.EvacuationRow{Domain: "d1", Gone: true}
	check := func(from uint64, want ...messenger.EvacuationRow) {
		t.Helper()
		delta, more := l.state.Delta(from, assigner.MaxDeltaRows)
		qt.Assert(t, more, qt.IsFalse)
		qt.Check(t, delta.Evacuations, qt.DeepEquals, want, qt.Commentf("from %d", from))
	}
	check(0, row)
	check(start, row)
	l.evacuate("d1", false, "")
	withdrawn := l.state.Revision()
	check(0)
	check(start, gone)
	check(ordered, gone)
	l.time = 2000
	l.evacuate("d1", true, "")
	row.By, row.Since = "operator at 7", 2000
	check(ordered, row)
	check(withdrawn, row)
}

// A replica that is restored from a snapshot must know of the evacuations, also which
// of them were withdrawn, and answer resent orders as before.
func TestSnapshotKeepsEvacuations(t *testing.T) {
	l := newHarness(t)
	l.evacuate("d0", true, "a")
	l.evacuate("d1", true, "b")
	l.evacuate("d0", false, "c")
	image, err := l.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	restored := assigner.New()
	qt.Assert(t, restored.Restore(image), qt.IsNil)
	qt.Check(t, restored.Evacuations(), qt.DeepEquals, l.state.Evacuations())
	again, err := restored.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(again), qt.Equals, string(image))
	l.state = restored
	qt.Check(t, l.leaving(), qt.DeepEquals, []string{"r1"})
	qt.Check(t, l.evacuate("d0", true, "a").Revision, qt.Equals, uint64(6))
	qt.Check(t, l.evacuate("d0", false, "").Revision, qt.Equals, uint64(8))
	qt.Check(t, l.evacuated(), qt.DeepEquals, []string{"d1"})
}

// A snapshot of the version before evacuations lacks the field and must still load.
func TestSnapshotWithoutEvacuations(t *testing.T) {
	l := newHarness(t)
	image, err := l.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	fields := make(map[string]msgpack.RawMessage)
	qt.Assert(t, msgpack.Unmarshal(image, &fields), qt.IsNil)
	qt.Assert(t, fields["Evacuations"], qt.Not(qt.IsNil))
	delete(fields, "Evacuations")
	older, err := msgpack.Marshal(fields)
	qt.Assert(t, err, qt.IsNil)
	restored := assigner.New()
	qt.Assert(t, restored.Restore(older), qt.IsNil)
	qt.Check(t, len(restored.Evacuations()), qt.Equals, 0)
	l.state = restored
	l.evacuate("d1", true, "")
	qt.Check(t, l.leaving(), qt.DeepEquals, []string{"r1"})
}
