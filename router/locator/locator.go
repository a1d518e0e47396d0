package locator

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// Locator holds the newest table. Its methods are safe for concurrent use.
type Locator struct {
	current atomic.Pointer[state]
	// mu orders the writers.
	mu     sync.Mutex
	older  *metrics.Counter
	gapped *metrics.Counter
}

// state is a table with the channel that closes when the next one is there.
type state struct {
	table   *Table
	changed chan struct{}
}

// New returns a Locator with an empty table. Metrics gets its counters.
func New(set *metrics.Set) *Locator {
	locator := &Locator{
		older:  set.GetOrCreateCounter(`marigold_table_refusals_total{reason="older"}`),
		gapped: set.GetOrCreateCounter(`marigold_table_refusals_total{reason="gap"}`),
	}
	locator.current.Store(&state{table: NewTable(), changed: make(chan struct{})})
	return locator
}

// Load returns the newest table.
func (l *Locator) Load() *Table {
	return l.current.Load().table
}

// Changed returns a channel that closes at the next Store.
func (l *Locator) Changed() <-chan struct{} {
	return l.current.Load().changed
}

// Store makes table the newest. An older one is refused and counted.
func (l *Locator) Store(table *Table) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store(table)
}

// Apply applies a delta to the newest table and stores the result. A delta that
// is older than the table, or does not follow it, is refused and counted.
func (l *Locator) Apply(delta *messenger.TableDelta) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	table, err := l.Load().Apply(delta)
	if err != nil {
		l.count(err)
		return err
	}
	return l.store(table)
}

func (l *Locator) store(table *Table) error {
	old := l.current.Load()
	if table.revision < old.table.revision {
		l.older.Inc()
		return Error.New("revision %d after %d: %w", table.revision, old.table.revision, ErrOlder)
	}
	l.current.Store(&state{table: table, changed: make(chan struct{})})
	close(old.changed)
	return nil
}

func (l *Locator) count(err error) {
	if errors.Is(err, ErrGap) {
		l.gapped.Inc()
		return
	}
	l.older.Inc()
}
