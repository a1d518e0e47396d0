// Package limiter bounds the memory and the connections that all clients of a listener take
// together, so that no number of clients ends the process or starves ordinary ones.
//
// Each connection has an [Account] in a [Budget]. Memory is reserved before it is spent:
// for a connection when it is opened, for the head of a request with each part that is
// read, and for the rest of a request before it is served. When the budget is short,
// connections are closed, in this order and within each stage the oldest first:
//
//  1. those on which nothing whole has arrived yet,
//  2. those whose client has not read its answer for a while,
//  3. those between two requests,
//  4. those on which a later request is arriving.
//
// A connection whose request is being served is never closed while its client reads. If
// these alone fill the budget, what is new is refused. docs/design/clients.md has the
// reasons.
//
// With 300 clients that send unfinished heads of short lines (TestCrowdDoesNotEndProcess in
// platform), a router took 5,952 MB without it and takes 75 MB with it.
//
// # Usage
//
//	budget := limiter.New("callers", settings.Share(0.75), limiter.Options{Log: log, Metrics: set})
//	account, err := budget.Open(func() { _ = conn.Close() })
//	err = account.Reserve(limiter.HeadCost(size, lines))
//	err = account.Serve(cost)
//	account.Idle(0)
//	account.Close()
package limiter

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/logger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("limiter")

// ErrShort is wrapped by the error for what does not fit into a budget, and ErrClosed by
// that for a connection that was closed, to make room or by its server.
var (
	ErrShort  = errs.New("budget for clients is used up")
	ErrClosed = errs.New("connection was closed")
)

const (
	// stalledAfter is how long a write to a client must be blocked before its connection
	// may be closed to make room.
	stalledAfter = time.Second
	// closeTimeout limits the wait for connections that were closed to give back what
	// they hold.
	closeTimeout = time.Second
)

// Limits are the bounds of a Budget.
type Limits struct {
	// Bytes is the memory of all clients together.
	Bytes int64
	// Connections is the number of connections.
	Connections int
}

// Options are the dependencies of a Budget.
type Options struct {
	Log     *logger.Log
	Metrics *metrics.Set
}

// Budget is the part of a process that the clients of one listener may take. Its methods
// are safe for concurrent use.
type Budget struct {
	name    string
	limits  Limits
	options Options

	mu   sync.Mutex
	used int64
	// stages holds the open accounts by stage, the oldest of each first.
	stages [stageCount]accountList
	open   int
	// closingBytes and closingCount are what accounts hold whose connections were closed
	// to make room.
	closingBytes int64
	closingCount int
	// freed is closed when something is given back; nil while nobody waits for it.
	freed chan struct{}
}

// New returns a Budget. name is the listener in metrics and log lines.
func New(name string, limits Limits, options Options) *Budget {
	b := &Budget{name: name, limits: limits, options: options}
	for stage := range b.stages {
		b.stages[stage].init()
	}
	if options.Metrics != nil {
		options.Metrics.GetOrCreateGauge(`marigold_client_bytes{listener="`+name+`"}`, func() float64 { used, _ := b.Used(); return float64(used) })
		options.Metrics.GetOrCreateGauge(`marigold_client_connections{listener="`+name+`"}`, func() float64 { _, open := b.Used(); return float64(open) })
	}
	return b
}

// Used returns the memory in bytes and the number of connections that are in use.
func (b *Budget) Used() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.open
}

// Open returns the account of a new connection, or an error that wraps ErrShort. It calls
// closeConn, which must not block, if the connection is closed to make room for others;
// the account must be closed then too.
func (b *Budget) Open(closeConn func()) (*Account, error) {
	account := &Account{budget: b, closeConn: closeConn}
	if err := b.acquire(account, ConnectionCost, 1); err != nil {
		return nil, err
	}
	return account, nil
}

// acquire adds bytes and connections to an account, closing other connections if it has
// to. An account gets its connection with the first call.
func (b *Budget) acquire(account *Account, bytes int64, connections int) error {
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		if account.closing || account.closed {
			b.mu.Unlock()
			return Error.New("listener %s: %w", b.name, ErrClosed)
		}
		missing := shortage{bytes: b.used + bytes - b.limits.Bytes, connections: b.open + connections - b.limits.Connections}
		if connections == 0 {
			missing.connections = 0
		}
		if account.stage == StageIdle {
			account.enter(StageReading)
		}
		if missing.isCovered() {
			b.add(account, bytes, connections)
			b.mu.Unlock()
			return nil
		}
		victims, enough := b.chooseVictims(account, missing.less(b.closingBytes, b.closingCount), time.Now())
		if !enough {
			refused := b.describe(account, reasonRefused)
			b.mu.Unlock()
			b.report(refused)
			return Error.New("listener %s: %w", b.name, ErrShort)
		}
		closed := b.markClosing(victims)
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		b.closeAll(victims, closed)
		if timeout == nil {
			timeout = time.After(closeTimeout)
		}
		select {
		case <-freed:
		case <-timeout:
			account.Report(reasonRefused)
			return Error.New("listener %s: %w", b.name, ErrShort)
		}
	}
}

// add gives an account bytes and connections. The caller holds mu.
func (b *Budget) add(account *Account, bytes int64, connections int) {
	b.used += bytes
	account.held += bytes
	if account.closing {
		b.closingBytes += bytes
	}
	b.open += connections
	if connections > 0 {
		b.stages[StageNew].pushBack(account)
		account.since = time.Now()
	}
}

// giveBack wakes those that wait for memory or connections, which may have been given back.
// The caller holds mu.
func (b *Budget) giveBack() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// closeAll closes the connections of accounts and reports them.
func (b *Budget) closeAll(victims []*Account, reports []closure) {
	for n, victim := range victims {
		victim.closeConn()
		b.report(reports[n])
	}
}
