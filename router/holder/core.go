package holder

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/kernel/timer"
)

const (
	// slowClock is how much longer a backend server may hold keys than it was
	// told, since its clock may run slow by a fiftieth.
	slowClock = 1.02
	// arriveTime bounds how long a call that got no answer may take to arrive.
	// The server is on the same VM.
	arriveTime = 250 * time.Millisecond
	// minHold is the shortest hold that is worth a call.
	minHold = 500 * time.Millisecond
	// renewPart is the part of a hold after which it is renewed: two more tries
	// fit in before it ends.
	renewPart = 0.4
	// refusedTime is how long a server may take no grant of a range before the
	// range is given up. It covers a restart of a frozen server.
	refusedTime = 2 * time.Second
	// maxGrants is how many grants are under way at once. Each needs a connection
	// of its own, and a new connection takes a slot of the server for a moment.
	maxGrants = 2
	// retryTime is the time between two tries of a call that failed.
	retryTime = 150 * time.Millisecond
)

// phase is how far a range is on its way through this router.
type phase uint8

const (
	// phaseNone is for keys that this router does not own.
	phaseNone phase = iota
	// phaseOwned keys are to be held by the backend server.
	phaseOwned
	// phaseLeaving keys are to be given back.
	phaseLeaving
	// phaseFreed keys are held no more.
	phaseFreed
)

// cell is the state of keys.
type cell struct {
	phase phase
	fence uint64
	// handover is the token of the last holder, and for freed keys that of this
	// one.
	handover string
	// seen is when the range came to this router.
	seen timer.Instant
	// granted is when the newest grant that was answered was sent, hold what it
	// said; zero before the first.
	granted timer.Instant
	hold    time.Duration
	// due is when the next call may be made.
	due timer.Instant
}

// alive reports whether the backend server holds the keys for certain.
func (c cell) alive(now timer.Instant) bool {
	return !c.granted.IsZero() && now.Since(c.granted) < c.hold
}

// span is a range under one fence.
type span struct {
	from  uint32
	to    uint32
	fence uint64
}

func (s span) overlaps(other span) bool {
	return s.from <= other.to && other.from <= s.to
}

// Call is a call to the backend server.
type Call struct {
	Service string
	From    uint32
	To      uint32
	Fence   uint64
	// Release takes the keys back; otherwise they are granted.
	Release bool
	// Hold and Handover are for grants.
	Hold     time.Duration
	Handover string

	sent timer.Instant
}

func (c *Call) span() span {
	return span{from: c.From, to: c.To, fence: c.Fence}
}

// Verdict is how a call ended.
type Verdict uint8

// The verdicts.
const (
	// Taken means that the server did as it was told.
	Taken Verdict = iota
	// Outrun means that it has seen a higher fence.
	Outrun
	// Unanswered means that it may carry the call out later.
	Unanswered
	// Unsent means that it can't have the call.
	Unsent
)

// late is a grant that may still be carried out.
type late struct {
	span
	sent timer.Instant
	// lasts is how long after it was sent the server may hold the keys.
	lasts time.Duration
}

// core decides on grants and releases. It does no I/O and reads no clock.
type core struct {
	service string
	keys    *splitter.Map[cell]
	calls   []*Call
	lates   []late
	// longest is the longest hold that was granted. A range that comes back after
	// the session was lost may still be held for so long.
	longest time.Duration
}

func newCore(service string) *core {
	return &core{service: service, keys: splitter.New[cell](messenger.LastKey)}
}

// follow takes the ranges that the session of this router owns. Those granted for
// another life of the server are free at once: it holds nothing of before.
func (c *core) follow(now timer.Instant, rows []messenger.RangeRow, life int64) {
	next := splitter.New[cell](messenger.LastKey)
	for _, row := range rows {
		for _, part := range c.keys.Within(row.From, row.To) {
			next.Set(part.From, part.To, followed(now, part.Value, row, life))
		}
	}
	c.keys = next
}

func followed(now timer.Instant, before cell, row messenger.RangeRow, life int64) cell {
	if before.phase == phaseNone || before.fence != row.Fence {
		before = cell{phase: phaseOwned, fence: row.Fence, handover: row.Handover, seen: now}
	}
	if row.Life != life {
		return cell{phase: phaseFreed, fence: row.Fence}
	}
	if row.Phase == messenger.PhaseMoving && before.phase == phaseOwned {
		before.phase = phaseLeaving
		before.due = timer.Instant{}
	}
	return before
}

// dropServer frees everything, since the server is gone with all that it held.
func (c *core) dropServer() {
	c.lates = nil
	c.keys.Update(0, messenger.LastKey, func(v cell) cell {
		if v.phase == phaseNone {
			return v
		}
		return cell{phase: phaseFreed, fence: v.fence}
	})
}

// plan returns the calls that are due. A grant ends with the lease at the latest.
func (c *core) plan(now timer.Instant, left time.Duration) []*Call {
	c.forget(now)
	var due []*Call
	grants := 0
	for _, call := range c.calls {
		if !call.Release {
			grants++
		}
	}
	for _, group := range c.groups() {
		call := c.decide(now, left, group)
		if call == nil || (!call.Release && grants >= maxGrants) {
			continue
		}
		if !call.Release {
			grants++
		}
		call.sent = now
		c.longest = max(c.longest, call.Hold)
		c.calls = append(c.calls, call)
		due = append(due, call)
	}
	return due
}

// groups joins neighbours that one call can cover.
func (c *core) groups() [][]splitter.Piece[cell] {
	var groups [][]splitter.Piece[cell]
	for _, piece := range c.keys.Pieces() {
		if piece.Value.phase == phaseNone || piece.Value.phase == phaseFreed {
			continue
		}
		if last := len(groups) - 1; last >= 0 && joins(groups[last][len(groups[last])-1], piece) {
			groups[last] = append(groups[last], piece)
			continue
		}
		groups = append(groups, []splitter.Piece[cell]{piece})
	}
	return groups
}

func joins(a, b splitter.Piece[cell]) bool {
	return a.To+1 == b.From && a.Value.fence == b.Value.fence &&
		a.Value.phase == b.Value.phase && a.Value.handover == b.Value.handover
}

func (c *core) decide(now timer.Instant, left time.Duration, group []splitter.Piece[cell]) *Call {
	first := group[0]
	call := &Call{
		Service: c.service,
		From:    first.From,
		To:      group[len(group)-1].To,
		Fence:   first.Value.fence,
	}
	if c.isCalling(call.span()) {
		return nil
	}
	if first.Value.phase == phaseLeaving {
		return c.release(now, group, call)
	}
	return c.grant(now, left, group, call)
}

// isCalling reports whether a call for some of the keys is under way.
func (c *core) isCalling(wanted span) bool {
	for _, call := range c.calls {
		if call.span().overlaps(wanted) {
			return true
		}
	}
	return false
}

func (c *core) grant(now timer.Instant, left time.Duration, group []splitter.Piece[cell], call *Call) *Call {
	hold := time.Duration(float64(left) / slowClock)
	if hold < minHold {
		return nil
	}
	due := false
	for _, piece := range group {
		value := piece.Value
		fresh := value.granted.IsZero() || now.Since(value.granted) >= time.Duration(renewPart*float64(value.hold))
		due = due || (fresh && isDue(now, value.due))
	}
	if !due {
		return nil
	}
	call.Hold = hold
	call.Handover = group[0].Value.handover
	return call
}

func isDue(now, due timer.Instant) bool {
	return due.IsZero() || now.Mono >= due.Mono
}

// release gives keys back, once no grant that got no answer can be carried out
// any more: it would give them to the server anew.
func (c *core) release(now timer.Instant, group []splitter.Piece[cell], call *Call) *Call {
	for _, piece := range group {
		if !isDue(now, piece.Value.due) {
			return nil
		}
	}
	if c.isLate(call.span()) {
		return nil
	}
	call.Release = true
	return call
}

func (c *core) isLate(wanted span) bool {
	for _, entry := range c.lates {
		if entry.overlaps(wanted) {
			return true
		}
	}
	return false
}

// forget drops late grants whose time is over, and frees keys that the server can
// hold no more since no grant got through. Time counts by the steady clock here: a
// wall clock that jumps ahead ends no hold at the server.
func (c *core) forget(now timer.Instant) {
	kept := c.lates[:0]
	for _, entry := range c.lates {
		if now.Steady(entry.sent) < entry.lasts {
			kept = append(kept, entry)
		}
	}
	c.lates = kept
	for _, piece := range c.keys.Pieces() {
		value := piece.Value
		if value.phase == phaseNone || value.phase == phaseFreed {
			continue
		}
		over := now.Steady(value.granted) >= time.Duration(slowClock*float64(value.hold))+arriveTime
		if value.granted.IsZero() {
			over = now.Steady(value.seen) >= max(refusedTime, time.Duration(slowClock*float64(c.longest))+arriveTime)
		}
		if wanted := (span{from: piece.From, to: piece.To}); over && !c.isLate(wanted) && !c.isCalling(wanted) {
			c.keys.Set(piece.From, piece.To, cell{phase: phaseFreed, fence: value.fence})
			return
		}
	}
}

// end takes the end of a call.
func (c *core) end(now timer.Instant, call *Call, verdict Verdict, handover string) {
	for n, other := range c.calls {
		if other == call {
			c.calls = append(c.calls[:n], c.calls[n+1:]...)
			break
		}
	}
	if verdict == Unanswered && !call.Release {
		lasts := now.Steady(call.sent) + arriveTime + time.Duration(slowClock*float64(call.Hold))
		c.lates = append(c.lates, late{span: call.span(), sent: call.sent, lasts: lasts})
	}
	c.keys.Update(call.From, call.To, func(v cell) cell {
		if v.phase == phaseNone || v.fence != call.Fence {
			return v
		}
		return ended(now, v, call, verdict, handover)
	})
}

func ended(now timer.Instant, v cell, call *Call, verdict Verdict, handover string) cell {
	switch {
	case verdict == Outrun:
		return cell{phase: phaseFreed, fence: v.fence}
	case verdict == Taken && call.Release && v.phase == phaseLeaving:
		return cell{phase: phaseFreed, fence: v.fence, handover: handover}
	case verdict == Taken && !call.Release:
		v.granted = call.sent
		v.hold = call.Hold
		v.due = timer.Instant{}
	default:
		v.due = now.Add(retryTime)
	}
	return v
}

// freed lists the keys that are held no more.
func (c *core) freed() []messenger.RangeRef {
	var refs []messenger.RangeRef
	for _, piece := range c.keys.Pieces() {
		if piece.Value.phase != phaseFreed {
			continue
		}
		refs = append(refs, messenger.RangeRef{
			Service:  c.service,
			From:     piece.From,
			To:       piece.To,
			Fence:    piece.Value.fence,
			Handover: piece.Value.handover,
		})
	}
	return refs
}

// holds reports whether the server holds a key and may get work for it.
func (c *core) holds(now timer.Instant, key uint32) messenger.Reason {
	value := c.keys.Find(key).Value
	switch {
	case value.phase == phaseNone:
		return messenger.ReasonMisrouted
	case value.phase != phaseOwned || !value.alive(now):
		return messenger.ReasonMoving
	}
	return messenger.ReasonNone
}

// isEmpty reports whether no keys are owned.
func (c *core) isEmpty() bool {
	return c.count() == 0
}

// count is the number of ranges that are owned.
func (c *core) count() int {
	owned := 0
	for _, piece := range c.keys.Pieces() {
		if piece.Value.phase != phaseNone {
			owned++
		}
	}
	return owned
}
