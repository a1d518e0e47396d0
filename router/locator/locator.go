package locator

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/messenger"
)

// Locator holds the current table. Its methods are safe for concurrent use.
type Locator struct {
	current atomic.Pointer[snapshot]
	// mu serializes writers.
	mu            sync.Mutex
	olderRefusals *metrics.Counter
	gapRefusals   *metrics.Counter
}

// snapshot is a table and the channel that is closed when the next table replaces it.
type snapshot struct {
	table   *Table
	changed chan struct{}
}

// New returns a Locator with an empty table. It registers its counters in set.
func New(set *metrics.Set) *Locator {
	locator := &Locator{
		olderRefusals: set.GetOrCreateCounter(`marigold_table_refusals_total{reason="older"}`),
		gapRefusals:   set.GetOrCreateCounter(`marigold_table_refusals_total{reason="gap"}`),
	}
	locator.current.Store(&snapshot{table: NewTable(), changed: make(chan struct{})})
	return locator
}

// Load returns the current table.
func (l *Locator) Load() *Table {
	return l.current.Load().table
}

// Changed returns a channel that is closed by the next successful Store or Apply.
func (l *Locator) Changed() <-chan struct{} {
	return l.current.Load().changed
}

// Store replaces the current table. An older table is refused and counted.
func (l *Locator) Store(table *Table) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store(table)
}

// Apply applies a delta to the current table. A delta that is older than the table, or
// leaves a gap after it, is refused and counted.
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
		l.olderRefusals.Inc()
		return Error.New("new table is at revision %d, current one at %d: %w", table.revision, old.table.revision, ErrOlder)
	}
	l.current.Store(&snapshot{table: table, changed: make(chan struct{})})
	close(old.changed)
	return nil
}

func (l *Locator) count(err error) {
	if errors.Is(err, ErrGap) {
		l.gapRefusals.Inc()
		return
	}
	l.olderRefusals.Inc()
}
