package assigner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
)

// Guards against a server that gets new work again, after it has said that it leaves, because
// its router reports the same start as ready: a new process of the router knows nothing of it.
func TestWithdrawalOutlivesTheSession(t *testing.T) {
	g := newRangeHarness(t)
	session := g.open("r1", 100)
	update := func(born int64, withdrawn bool) {
		g.apply(assigner.Command{Update: &assigner.Update{
			Session: session, Leaving: withdrawn, Withdrawn: withdrawn,
			Server: &messenger.ServerRow{Name: "r1", Service: "findings", Slots: 6, Born: born},
		}})
	}
	check := func(want bool, step string) {
		row := g.state.SessionOf("r1").Row
		qt.Check(t, row.Withdrawn, qt.Equals, want, qt.Commentf(step))
		qt.Check(t, row.Leaving, qt.Equals, want, qt.Commentf(step))
	}
	check(false, "ready")
	update(100, true)
	check(true, "leaves")
	update(100, false)
	check(true, "reported as ready again")
	g.apply(assigner.Command{Close: &assigner.Close{Sessions: []uint64{session}, Lapsed: true}})
	session = g.open("r1", 100)
	check(true, "new session")
	image, err := g.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	g.state = assigner.New()
	qt.Assert(t, g.state.Restore(image), qt.IsNil)
	update(101, false)
	check(false, "next start of the server")
	update(100, false)
	check(true, "late report of the earlier start, after a snapshot")
	update(0, true)
	update(0, false)
	check(false, "server without a start time")
}

// Guards against memory that grows with the servers that have left.
func TestWithdrawalsAreBounded(t *testing.T) {
	g := newRangeHarness(t)
	session := g.open("r1", 1)
	for n := range assigner.MaxWithdrawals + 10 {
		g.apply(assigner.Command{Update: &assigner.Update{
			Session: session, Withdrawn: true, Server: &messenger.ServerRow{Name: fmt.Sprint(n), Service: "findings", Born: 1},
		}})
	}
	image, err := g.state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(image) < 512<<10, qt.IsTrue, qt.Commentf("%d bytes", len(image)))
}
