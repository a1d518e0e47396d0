package keeper

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// core decides on the session. It does no I/O and reads no clock.
type core struct {
	timing  messenger.Timing
	members []string
	target  int
	// leader is where a redirect pointed, empty without one.
	leader string
	// tries counts the heartbeats since the last tick.
	tries int

	session uint64
	// heard is when the newest heartbeat that the control group accepted was
	// sent: the session lives from there.
	heard timer.Instant
	// renewed is when the heartbeat that renewed the lease was sent. It lies
	// before heard while the routing table is being caught up.
	renewed timer.Instant

	sequence uint64
	pending  *attempt
	// unanswered is how many heartbeats went out since an answer came in.
	unanswered int
	// waits is how many answers in a row said that the session is being opened.
	waits int
}

// waitTries is how many heartbeats go out early while a session is being opened.
// A commit takes less than one HastenInterval; a group that needs longer is busy,
// and is asked at the usual pace.
const waitTries = 3

// attempt is a heartbeat that was sent and not answered yet.
type attempt struct {
	sequence uint64
	session  uint64
	sent     timer.Instant
	address  string
}

// step is what the Keeper has to do after an event.
type step struct {
	// apply asks to apply the delta of the answer.
	apply bool
	// publish asks to publish the session and lease.
	publish bool
	// send asks for another heartbeat at once.
	send bool
	// soon asks for another heartbeat after HastenInterval.
	soon bool
	// lapsed is the session that ended.
	lapsed uint64
	// reason is the reason to count, if any.
	reason string
}

func newCore(members []string, timing messenger.Timing) core {
	return core{members: members, timing: timing.Complete()}
}

// begin notes that a heartbeat goes out at now.
func (c *core) begin(now timer.Instant) attempt {
	c.sequence++
	c.tries++
	address := c.leader
	if address == "" {
		address = c.members[c.target%len(c.members)]
	}
	c.unanswered++
	c.pending = &attempt{sequence: c.sequence, session: c.session, sent: now, address: address}
	return *c.pending
}

// tick is the regular event.
func (c *core) tick(now timer.Instant) step {
	step := c.check(now)
	c.tries = 0
	step.send = c.pending == nil
	return step
}

// nudge is the event that something in the heartbeat changed. When one is on its way
// without the change, the next follows soon.
func (c *core) nudge(now timer.Instant) step {
	if c.pending == nil {
		return c.tick(now)
	}
	step := c.check(now)
	step.soon = true
	return step
}

// check ends the session, or only the lease, when its time is over.
func (c *core) check(now timer.Instant) step {
	if c.session == 0 {
		return step{}
	}
	if now.Since(c.heard) >= c.timing.Lease {
		return c.end("lapsed")
	}
	if !c.renewed.IsZero() && now.Since(c.renewed) >= c.timing.Lease {
		c.renewed = timer.Instant{}
		return step{publish: true}
	}
	return step{}
}

// left is the time until check has something to do.
func (c *core) left(now timer.Instant) time.Duration {
	if c.session == 0 {
		return c.timing.Lease
	}
	oldest := c.heard
	if !c.renewed.IsZero() {
		oldest = c.renewed
	}
	return max(0, c.timing.Lease-now.Since(oldest))
}

// end closes the session here. No grant of it is carried over.
func (c *core) end(reason string) step {
	lapsed := c.session
	c.session = 0
	c.heard = timer.Instant{}
	c.renewed = timer.Instant{}
	return step{publish: true, lapsed: lapsed, reason: reason}
}

// failed handles a heartbeat that got no answer, or one that was of no use.
func (c *core) failed(now timer.Instant, sequence uint64) step {
	step := c.check(now)
	if c.pending != nil && c.pending.sequence != sequence {
		return step
	}
	c.pending = nil
	c.rotate()
	step.send = c.tries < len(c.members)
	return step
}

// rotate turns to the next member.
func (c *core) rotate() {
	if c.leader == "" {
		c.target++
	}
	c.leader = ""
}

// answered handles an answer. When the step asks to apply its delta, a call of
// applied or failed must follow.
func (c *core) answered(now timer.Instant, sequence uint64, answer *messenger.HeartbeatAnswer) step {
	before := c.check(now)
	if c.pending == nil || c.pending.sequence != sequence {
		before.reason = "late"
		return before
	}
	c.unanswered = 0
	pending := *c.pending
	if before.lapsed != 0 || pending.session != c.session {
		c.pending = nil
		before.reason = "void"
		before.send = true
		return before
	}
	if answer.Status == messenger.HeartbeatAlive {
		return c.alive(now, pending, answer, before)
	}
	c.pending = nil
	return c.declined(pending, answer, before)
}

// alive handles an answer that accepts the heartbeat.
func (c *core) alive(now timer.Instant, pending attempt, answer *messenger.HeartbeatAnswer, before step) step {
	opened := pending.session == 0
	late := now.Since(pending.sent) >= c.timing.Lease
	if late || answer.Session == 0 || (!opened && answer.Session != pending.session) {
		c.pending = nil
		before.reason = "void"
		before.send = c.tries < len(c.members)
		return before
	}
	c.session = answer.Session
	c.waits = 0
	c.heard = pending.sent
	before.apply = true
	before.publish = before.publish || opened
	return before
}

// declined handles an answer that does not accept the heartbeat.
func (c *core) declined(pending attempt, answer *messenger.HeartbeatAnswer, before step) step {
	switch answer.Status {
	case messenger.HeartbeatRedirect:
		before.reason = "redirect"
		if answer.Leader == "" || answer.Leader == pending.address {
			c.rotate()
			return before
		}
		c.leader = answer.Leader
		before.send = c.tries <= len(c.members)
	case messenger.HeartbeatUnconfirmed:
		before.reason = "unconfirmed"
		c.rotate()
	case messenger.HeartbeatUnheard:
		before.reason = "unheard"
		before.send = c.tries <= len(c.members)
	case messenger.HeartbeatWait:
		before.reason = "wait"
		c.waits++
		before.soon = c.waits <= waitTries
	case messenger.HeartbeatExpired:
		if c.session == 0 {
			before.reason = "expired"
			return before
		}
		before = c.end("expired")
		before.send = c.tries <= len(c.members)
	}
	return before
}

// applied extends the lease after the table of the answer was applied. With
// more to come, only the session goes on.
func (c *core) applied(now timer.Instant, more bool) step {
	pending := *c.pending
	c.pending = nil
	if more {
		c.tries = 0
		return step{send: true, reason: "more"}
	}
	c.renewed = pending.sent
	before := c.check(now)
	before.publish = true
	return before
}
