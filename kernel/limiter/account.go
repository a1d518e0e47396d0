package limiter

import (
	"sync/atomic"
	"time"
)

// Stage is what a connection is doing.
type Stage uint8

// Stages of a connection.
const (
	// StageNew means that no whole request has arrived yet.
	StageNew Stage = iota
	// StageIdle means that the last request was answered.
	StageIdle
	// StageReading means that a later request is arriving.
	StageReading
	// StageServing means that a request is being served.
	StageServing

	stageCount
)

// stageNames are the stages in log lines.
var stageNames = [stageCount]string{"new", "idle", "reading", "serving"}

// Account is what one connection takes of a Budget. Its methods are safe for concurrent
// use. A server may go on for a moment after the connection was closed: a closed Account
// takes nothing, as nothing would give it back.
type Account struct {
	budget    *Budget
	closeConn func()
	// blockedSince is when the write began that is in progress, in Unix nanoseconds; 0 if
	// none is.
	blockedSince atomic.Int64

	// The fields below are protected by Budget.mu.
	previous, next *Account
	held           int64
	stage          Stage
	// since is when the stage began.
	since time.Time
	// closing is set when the connection was closed to make room, closed when the account
	// was closed.
	closing, closed bool
}

// Reserve reserves memory for a part of a request that has arrived.
func (a *Account) Reserve(bytes int64) error {
	return a.budget.acquire(a, bytes, 0)
}

// Serve records that a whole request has arrived. cost is the memory that it takes while it
// is served, besides that of the connection.
func (a *Account) Serve(cost int64) error {
	b := a.budget
	b.mu.Lock()
	a.enter(StageServing)
	missing := ConnectionCost + cost - a.held
	if missing <= 0 {
		a.release(-missing)
		missing = 0
	}
	b.mu.Unlock()
	return b.acquire(a, missing, 0)
}

// Grow adds memory that is being spent on an answer, also beyond the budget: an answer that
// is ready is delivered. Others are closed to make up for it.
func (a *Account) Grow(bytes int64) {
	b := a.budget
	b.mu.Lock()
	if a.closed {
		b.mu.Unlock()
		return
	}
	b.add(a, bytes, 0)
	missing := shortage{bytes: b.used - b.limits.Bytes}.less(b.closingBytes, 0)
	var victims []*Account
	if !missing.isCovered() {
		victims, _ = b.chooseVictims(a, missing, time.Now())
	}
	closed := b.markClosing(victims)
	b.mu.Unlock()
	b.closeAll(victims, closed)
}

// Idle records that the last request was answered. carry is the memory of what has arrived
// already of the next one.
func (a *Account) Idle(carry int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.closed {
		return
	}
	a.enter(StageIdle)
	surplus := a.held - ConnectionCost - carry
	if surplus < 0 {
		a.budget.add(a, -surplus, 0)
		return
	}
	a.release(surplus)
}

// SetBlocked records that a write to the client begins or has ended.
func (a *Account) SetBlocked(blocked bool) {
	since := int64(0)
	if blocked {
		since = time.Now().UnixNano()
	}
	a.blockedSince.Store(since)
}

// Close gives back all that the account holds. Closing again has no effect.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	if a.closing {
		b.closingBytes -= a.held
		b.closingCount--
	} else {
		a.unlink()
	}
	b.open--
	b.used -= a.held
	a.held = 0
	b.giveBack()
}

// enter moves the account to another stage. The caller holds Budget.mu.
func (a *Account) enter(stage Stage) {
	if a.closing || a.closed {
		return
	}
	a.unlink()
	a.stage = stage
	a.since = time.Now()
	a.budget.stages[stage].pushBack(a)
}

// release gives back a part of what the account holds. The caller holds Budget.mu.
func (a *Account) release(bytes int64) {
	if bytes == 0 || a.closed {
		return
	}
	a.held -= bytes
	a.budget.used -= bytes
	if a.closing {
		a.budget.closingBytes -= bytes
	}
	a.budget.giveBack()
}

// unlink removes the account from the list of its stage. The caller holds Budget.mu.
func (a *Account) unlink() {
	a.previous.next, a.next.previous = a.next, a.previous
	a.previous, a.next = nil, nil
}

// accountList is a list of accounts that need no memory for it.
type accountList struct {
	root Account
}

func (l *accountList) init() {
	l.root.previous, l.root.next = &l.root, &l.root
}

func (l *accountList) pushBack(account *Account) {
	last := l.root.previous
	account.previous, account.next = last, &l.root
	last.next, l.root.previous = account, account
}
