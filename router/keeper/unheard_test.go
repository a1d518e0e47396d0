package keeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// TestUnansweredIsCounted loses answers and then hears one that renews nothing.
func TestUnansweredIsCounted(t *testing.T) {
	c := opened(t)
	for lost := range 2 {
		qt.Assert(t, c.unanswered, qt.Equals, lost)
		attempt := c.begin(at(300 * time.Millisecond))
		c.failed(at(550*time.Millisecond), attempt.sequence)
	}
	qt.Assert(t, c.unanswered, qt.Equals, 2)
	c.tick(at(600 * time.Millisecond))
	attempt := c.begin(at(600 * time.Millisecond))
	unheard := &messenger.HeartbeatAnswer{Status: messenger.HeartbeatUnheard, Session: 7}
	step := c.answered(at(610*time.Millisecond), attempt.sequence, unheard)
	qt.Assert(t, step.send, qt.IsTrue)
	qt.Assert(t, step.apply, qt.IsFalse)
	qt.Assert(t, c.renewed, qt.Equals, at(0))
	qt.Assert(t, c.unanswered, qt.Equals, 0)
}
