package limiter

import (
	"time"

	"marigoldhill/kernel/logger"
)

// shortage is what a budget lacks. Values below 1 are no shortage.
type shortage struct {
	bytes       int64
	connections int
}

func (s shortage) isCovered() bool {
	return s.bytes <= 0 && s.connections <= 0
}

// less returns the shortage that is left when bytes and connections are given back.
func (s shortage) less(bytes int64, connections int) shortage {
	return shortage{bytes: s.bytes - bytes, connections: s.connections - connections}
}

// chooseVictims returns the connections to close so that a budget covers a shortage of an
// account, and whether they are enough. The caller holds mu.
//
// Load: a crowd that sends unfinished requests as fast as it can, beside ordinary clients
// that send each request at once. The oldest of those that have sent nothing whole are of
// the crowd; an ordinary client is new for a moment only.
func (b *Budget) chooseVictims(account *Account, missing shortage, now time.Time) (victims []*Account, enough bool) {
	for _, stage := range [...]Stage{StageNew, StageServing, StageIdle, StageReading} {
		list := &b.stages[stage]
		for candidate := list.root.next; candidate != &list.root && !missing.isCovered(); candidate = candidate.next {
			if candidate == account || stage == StageServing && !candidate.isStalled(now) {
				continue
			}
			victims = append(victims, candidate)
			missing = missing.less(candidate.held, 1)
		}
	}
	return victims, missing.isCovered()
}

// isStalled reports whether the client has not read its answer for a while.
func (a *Account) isStalled(now time.Time) bool {
	since := a.blockedSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) >= stalledAfter
}

// markClosing records that the connections of accounts are being closed, and returns why.
// The caller holds mu.
func (b *Budget) markClosing(victims []*Account) []closure {
	closed := make([]closure, 0, len(victims))
	for _, victim := range victims {
		closed = append(closed, b.describe(victim, stageNames[victim.stage]))
		victim.closing = true
		victim.unlink()
		b.closingBytes += victim.held
		b.closingCount++
	}
	if len(victims) > 0 {
		b.giveBack() // some of them may be waiting
	}
	return closed
}

// reasonRefused is the reason of a refusal; that of a closed connection is its stage.
const reasonRefused = "refused"

// closure is what decided that a connection was closed or something was refused.
type closure struct {
	reason string
	stage  Stage
	held   int64
	age    time.Duration
	// used and open are what all connections took.
	used int64
	open int
}

// describe returns the inputs of a decision on an account. The caller holds mu.
func (b *Budget) describe(account *Account, reason string) closure {
	c := closure{reason: reason, stage: account.stage, held: account.held, used: b.used, open: b.open}
	if !account.since.IsZero() {
		c.age = time.Since(account.since)
	}
	return c
}

// report counts and logs a decision.
func (b *Budget) report(c closure) {
	b.count(c.reason)
	if b.options.Log != nil {
		b.options.Log.Emit(logger.ClientClosed, "listener", b.name, "reason", c.reason, "stage", stageNames[c.stage], "held", c.held,
			"age", c.age.String(), "used", c.used, "of", b.limits.Bytes, "connections", c.open, "at_most", b.limits.Connections)
	}
}

// Report counts and logs that a connection is closed for a reason of the listener.
func (a *Account) Report(reason string) {
	a.budget.mu.Lock()
	c := a.budget.describe(a, reason)
	a.budget.mu.Unlock()
	a.budget.report(c)
}

func (b *Budget) count(reason string) {
	if b.options.Metrics != nil {
		b.options.Metrics.GetOrCreateCounter(`marigold_client_closures_total{listener="` + b.name + `",reason="` + reason + `"}`).Inc()
	}
}
