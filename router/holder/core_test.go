package holder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	life  = int64(1000)
	lease = 3 * time.Second
)

func at(d time.Duration) timer.Instant {
	return timer.Instant{Mono: time.Hour + d, Wall: 1000*time.Hour + d}
}

func row(from, to uint32, fence uint64, phase messenger.Phase) messenger.RangeRow {
	return messenger.RangeRow{Service: "findings", From: from, To: to, Fence: fence, Phase: phase, Life: life}
}

// granted is a core whose server holds the keys 0 to 99 since the start.
func granted(t *testing.T) *core {
	c := newCore("findings")
	c.follow(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, life)
	calls := c.plan(at(0), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Assert(t, calls[0].Release, qt.IsFalse)
	c.end(at(0), calls[0], Taken, "")
	qt.Assert(t, c.holds(at(0), 50), qt.Equals, messenger.ReasonNone)
	return c
}

func TestGrantEndsWithTheLease(t *testing.T) {
	tests := []struct {
		name string
		left time.Duration
		want bool
	}{
		{name: "whole lease", left: lease, want: true},
		{name: "lease is nearly over", left: 400 * time.Millisecond},
		{name: "no lease"},
	}
	for _, test := range tests {
		c := newCore("findings")
		c.follow(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, life)
		calls := c.plan(at(0), test.left)
		qt.Check(t, len(calls) == 1, qt.Equals, test.want, qt.Commentf(test.name))
		for _, call := range calls {
			// A clock that runs 2% slow makes a hold longer.
			qt.Check(t, float64(call.Hold)*1.02 <= float64(test.left), qt.IsTrue, qt.Commentf(test.name))
		}
	}
}

func TestHoldIsRenewedAndEnds(t *testing.T) {
	c := granted(t)
	qt.Assert(t, c.plan(at(time.Second), lease), qt.HasLen, 0)
	renewal := c.plan(at(1300*time.Millisecond), lease)
	qt.Assert(t, renewal, qt.HasLen, 1)
	qt.Assert(t, c.plan(at(1310*time.Millisecond), lease), qt.HasLen, 0)
	c.end(at(1400*time.Millisecond), renewal[0], Unanswered, "")
	qt.Assert(t, c.holds(at(2500*time.Millisecond), 50), qt.Equals, messenger.ReasonNone)
	qt.Assert(t, c.holds(at(3*time.Second), 50), qt.Equals, messenger.ReasonMoving)
}

// A grant without answer may be carried out later, so neither a release nor the
// end of the known hold frees the keys before it can't be.
func TestLateGrantDelaysTheRelease(t *testing.T) {
	c := granted(t)
	renewal := c.plan(at(1300*time.Millisecond), lease)
	c.end(at(1700*time.Millisecond), renewal[0], Unanswered, "")
	c.follow(at(1800*time.Millisecond), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseMoving)}, life)
	qt.Assert(t, c.holds(at(1800*time.Millisecond), 50), qt.Equals, messenger.ReasonMoving)
	qt.Assert(t, c.plan(at(1800*time.Millisecond), lease), qt.HasLen, 0)
	qt.Assert(t, c.plan(at(4500*time.Millisecond), lease), qt.HasLen, 0)
	qt.Assert(t, c.freed(), qt.HasLen, 0)
	release := c.plan(at(5*time.Second), lease)
	// The hold is long over by then, so nothing is left to release.
	qt.Assert(t, release, qt.HasLen, 0)
	qt.Assert(t, c.freed(), qt.HasLen, 1)
}

func TestReleaseHandsOver(t *testing.T) {
	c := granted(t)
	c.follow(at(100*time.Millisecond), []messenger.RangeRow{
		row(0, 39, 5, messenger.PhaseOwned), row(40, 59, 5, messenger.PhaseMoving), row(60, 99, 5, messenger.PhaseOwned),
	}, life)
	calls := c.plan(at(100*time.Millisecond), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Assert(t, *calls[0] == Call{Service: "findings", From: 40, To: 59, Fence: 5, Release: true, sent: at(100 * time.Millisecond)}, qt.IsTrue)
	qt.Assert(t, c.freed(), qt.HasLen, 0)
	c.end(at(200*time.Millisecond), calls[0], Taken, "warm")
	qt.Assert(t, c.freed(), qt.DeepEquals, []messenger.RangeRef{{Service: "findings", From: 40, To: 59, Fence: 5, Handover: "warm"}})
	qt.Assert(t, c.holds(at(200*time.Millisecond), 39), qt.Equals, messenger.ReasonNone)
	qt.Assert(t, c.holds(at(200*time.Millisecond), 60), qt.Equals, messenger.ReasonNone)
	c.follow(at(300*time.Millisecond), []messenger.RangeRow{row(0, 39, 5, messenger.PhaseOwned), row(60, 99, 5, messenger.PhaseOwned)}, life)
	qt.Assert(t, c.holds(at(300*time.Millisecond), 50), qt.Equals, messenger.ReasonMisrouted)
}

func TestKeysAreFreeWithoutACall(t *testing.T) {
	tests := []struct {
		name string
		act  func(c *core)
	}{
		{name: "server started anew", act: func(c *core) {
			c.follow(at(time.Second), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, life+1)
		}},
		{name: "server is gone", act: func(c *core) { c.dropServer() }},
		{name: "server has seen a higher fence", act: func(c *core) {
			calls := c.plan(at(1300*time.Millisecond), lease)
			c.end(at(1400*time.Millisecond), calls[0], Outrun, "")
		}},
		{name: "no renewal got through", act: func(c *core) {
			for n := range 60 {
				now := at(1300*time.Millisecond + time.Duration(n)*200*time.Millisecond)
				for _, call := range c.plan(now, max(lease-time.Duration(n)*200*time.Millisecond, 0)) {
					c.end(now, call, Unsent, "")
				}
			}
		}},
	}
	for _, test := range tests {
		c := granted(t)
		test.act(c)
		refs := c.freed()
		qt.Assert(t, refs, qt.HasLen, 1, qt.Commentf(test.name))
		qt.Check(t, refs[0], qt.Equals, messenger.RangeRef{Service: "findings", From: 0, To: 99, Fence: 5}, qt.Commentf(test.name))
		qt.Check(t, c.holds(at(1500*time.Millisecond), 50), qt.Equals, messenger.ReasonMoving, qt.Commentf(test.name))
	}
}

// The wall clock of the router's VM jumps ahead: its lease is over at once, but the
// server still holds the keys, so they are not free.
func TestClockJumpFreesNothing(t *testing.T) {
	c := granted(t)
	for _, passed := range []time.Duration{time.Second, 3 * time.Second} {
		now := timer.Instant{Mono: time.Hour + passed, Wall: 1000*time.Hour + passed + 2400*time.Second}
		c.plan(now, 0)
		qt.Assert(t, c.freed(), qt.HasLen, 0)
	}
	// The session was lost meanwhile and is found again.
	c.follow(at(3*time.Second), nil, life)
	c.follow(at(3*time.Second), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, life)
	c.plan(at(5*time.Second), 0)
	qt.Assert(t, c.freed(), qt.HasLen, 0)
	c.plan(at(7*time.Second), 0)
	qt.Assert(t, c.freed(), qt.HasLen, 1)
}

func TestFewGrantsAtOnce(t *testing.T) {
	c := newCore("findings")
	var rows []messenger.RangeRow
	for n := range uint32(12) {
		rows = append(rows, row(n*100, n*100+99, uint64(5+n%2), messenger.PhaseOwned))
	}
	c.follow(at(0), rows, life)
	granted := 0
	for granted < 12 {
		calls := c.plan(at(0), lease)
		qt.Assert(t, len(calls) == 1 || len(calls) == 2, qt.IsTrue, qt.Commentf("%d calls", len(calls)))
		c.end(at(0), calls[0], Taken, "")
		granted++
		for _, call := range calls[1:] {
			c.end(at(0), call, Taken, "")
			granted++
		}
	}
	qt.Assert(t, c.plan(at(0), lease), qt.HasLen, 0)
}

func TestNeighboursShareACall(t *testing.T) {
	c := newCore("findings")
	c.follow(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned), row(100, 199, 5, messenger.PhaseOwned), row(200, 299, 6, messenger.PhaseOwned)}, life)
	calls := c.plan(at(0), lease)
	qt.Assert(t, calls, qt.HasLen, 2)
	qt.Assert(t, calls[0].To, qt.Equals, uint32(199))
	qt.Assert(t, calls[1].From, qt.Equals, uint32(200))
}
