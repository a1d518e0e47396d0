package keeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// at is an instant on both clocks.
func at(d time.Duration) timer.Instant {
	return timer.Instant{}.Add(time.Hour + d)
}

func alive(session uint64) *messenger.HeartbeatAnswer {
	return &messenger.HeartbeatAnswer{Status: messenger.HeartbeatAlive, Session: session}
}

// opened is a core whose session 7 was opened by a heartbeat sent at 0.
func opened(t *testing.T) *core {
	c := newCore([]string{"a", "b", "c"}, messenger.Timing{})
	c.tick(at(0))
	attempt := c.begin(at(0))
	step := c.answered(at(time.Millisecond), attempt.sequence, alive(7))
	qt.Assert(t, step.apply, qt.IsTrue)
	step = c.applied(at(2*time.Millisecond), false)
	qt.Assert(t, step.publish, qt.IsTrue)
	qt.Assert(t, c.renewed, qt.Equals, at(0))
	return &c
}

func TestLeaseCountsFromSending(t *testing.T) {
	c := opened(t)
	attempt := c.begin(at(300 * time.Millisecond))
	c.answered(at(550*time.Millisecond), attempt.sequence, alive(7))
	c.applied(at(560*time.Millisecond), false)
	lease := Granted(c.session, c.renewed)
	qt.Assert(t, lease.Alive(at(1799*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, lease.Alive(at(1800*time.Millisecond)), qt.IsFalse)
}

func TestWallClockEndsLease(t *testing.T) {
	lease := Granted(7, at(0))
	now := at(10 * time.Millisecond)
	qt.Assert(t, lease.Alive(now), qt.IsTrue)
	// The VM was suspended: only the wall clock went on.
	now.Wall += 2 * time.Second
	qt.Assert(t, lease.Alive(now), qt.IsFalse)
}

// TestAnswers feeds one answer to the renewal of session 7, sent at 300 ms.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name     string
		answer   messenger.HeartbeatAnswer
		now      time.Duration
		skew     uint64 // added to the sequence
		session  uint64
		renewed  time.Duration
		apply    bool
		leader   string
		sends    bool
		isLapsed bool
	}{
		{name: "alive", answer: *alive(7), now: 400 * time.Millisecond, session: 7, renewed: 300 * time.Millisecond, apply: true},
		{name: "out of order", answer: *alive(7), now: 400 * time.Millisecond, skew: 1, session: 7},
		{name: "after the lapse", answer: *alive(7), now: 1500 * time.Millisecond, sends: true, isLapsed: true},
		{name: "of another session", answer: *alive(8), now: 400 * time.Millisecond, session: 7, sends: true},
		{
			name: "more", answer: messenger.HeartbeatAnswer{Status: messenger.HeartbeatAlive, Session: 7, More: true},
			now: 400 * time.Millisecond, session: 7, apply: true, sends: true,
		},
		{
			name: "redirect", answer: messenger.HeartbeatAnswer{Status: messenger.HeartbeatRedirect, Leader: "c"},
			now: 400 * time.Millisecond, session: 7, leader: "c", sends: true,
		},
		{
			name: "unconfirmed", answer: messenger.HeartbeatAnswer{Status: messenger.HeartbeatUnconfirmed},
			now: 400 * time.Millisecond, session: 7,
		},
		{
			name: "expired", answer: messenger.HeartbeatAnswer{Status: messenger.HeartbeatExpired},
			now: 400 * time.Millisecond, sends: true, isLapsed: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := opened(t)
			c.tick(at(300 * time.Millisecond))
			attempt := c.begin(at(300 * time.Millisecond))
			step := c.answered(at(test.now), attempt.sequence+test.skew, &test.answer)
			qt.Assert(t, step.apply, qt.Equals, test.apply)
			lapsed := step.lapsed
			if step.apply {
				step = c.applied(at(test.now), test.answer.More)
			}
			qt.Assert(t, c.session, qt.Equals, test.session)
			qt.Assert(t, lapsed == 7, qt.Equals, test.isLapsed)
			qt.Assert(t, c.leader, qt.Equals, test.leader)
			qt.Assert(t, step.send, qt.Equals, test.sends)
			if test.session != 0 {
				qt.Assert(t, c.renewed, qt.Equals, at(test.renewed))
			} else {
				qt.Assert(t, c.renewed.IsZero(), qt.IsTrue)
			}
		})
	}
}

func TestLateOpeningIsVoid(t *testing.T) {
	c := newCore([]string{"a"}, messenger.Timing{})
	c.tick(at(0))
	attempt := c.begin(at(0))
	step := c.answered(at(messenger.LeaseTime), attempt.sequence, alive(7))
	qt.Assert(t, step.apply, qt.IsFalse)
	qt.Assert(t, c.session, qt.Equals, uint64(0))
}

func TestUnappliedTableDoesNotExtend(t *testing.T) {
	c := opened(t)
	attempt := c.begin(at(300 * time.Millisecond))
	c.answered(at(400*time.Millisecond), attempt.sequence, alive(7))
	c.failed(at(400*time.Millisecond), attempt.sequence)
	qt.Assert(t, c.renewed, qt.Equals, at(0))
}

func TestSilentMembersAreLeft(t *testing.T) {
	c := newCore([]string{"a", "b", "c"}, messenger.Timing{})
	c.tick(at(0))
	var asked []string
	for {
		attempt := c.begin(at(0))
		asked = append(asked, attempt.address)
		if !c.failed(at(0), attempt.sequence).send {
			break
		}
	}
	qt.Assert(t, asked, qt.DeepEquals, []string{"a", "b", "c"})
}

func TestDoneClosesOnlyWithoutRenewal(t *testing.T) {
	first := Granted(7, at(0))
	second := first.next(7, at(300*time.Millisecond))
	qt.Assert(t, second.Done() == first.Done(), qt.IsTrue)
	third := second.next(8, at(300*time.Millisecond))
	qt.Assert(t, third.Done() == first.Done(), qt.IsFalse)
}
