// Package recorder ensures that a non-idempotent request with an Idempotency-Key runs
// at most once.
//
// Before such a request is sent to the backend server, its owner records it and
// replicates the record to all of its recorders, which the control group assigns. A
// retry of the same request finds the record: it waits for the run in progress,
// receives the stored response, or is reported as unknown. A new owner reads the records
// of the previous one from a survivor, stores them at its own recorders and reports
// this. It serves such requests only once the control group has committed that report,
// so that a second failure at any time loses no record. A recorder that was read
// rejects later writes of an older owner.
//
// Records are kept for the retention of their service and never evicted early: when
// the maximum number of entries is reached, new requests are refused.
//
// # Usage
//
//	records := recorder.New(recorder.Options{Locator: locator, LeaseSource: keeper, Opener: pool, Metrics: set})
//	go records.Run(ctx)
//	records.SetRows(rows) // each new routing table
//
//	decision := records.Begin(ctx, ctx, request)
//	if decision.Run == nil { ... } // respond with decision
//	decision.Run.Finish(recorder.RunResult{State: messenger.RecordDone, ...})
//
// The listener for other routers must pass KindRecord and KindRecover streams to
// [Recorder.Handle].
package recorder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recorder")

const (
	// MaxResponseBytes is the maximum size in bytes of a stored response.
	MaxResponseBytes = 4 << 10
	// DefaultEntries is the default maximum number of entries that a router holds, as
	// an owner and as a recorder.
	DefaultEntries = 200_000
	// storeTimeout is the timeout for storing a record at one recorder.
	storeTimeout = 300 * time.Millisecond
	// recoverTimeout is the timeout of one query to a survivor.
	recoverTimeout = 300 * time.Millisecond
	// copyTimeout is the timeout for copying one batch of records.
	copyTimeout = 2 * time.Second
	// reconcileInterval is the maximum time between two checks for records to recover,
	// copy or delete.
	reconcileInterval = 250 * time.Millisecond
)

// LeaseSource returns the lease of the router.
type LeaseSource interface {
	Lease() *keeper.Lease
}

// Options are the dependencies of a Recorder.
type Options struct {
	Locator     *locator.Locator
	LeaseSource LeaseSource
	Opener      linker.Opener
	// OnChange is called when the content of the heartbeat has changed. It must not
	// block.
	OnChange func()
	Log      *logger.Log
	Metrics  *metrics.Set
	// Entries is the maximum number of entries; 0 means DefaultEntries.
	Entries int
}

// Recorder holds the records of one router as an owner, and those that it stores for
// other owners. Its methods are safe for concurrent use.
type Recorder struct {
	options Options
	attempt atomic.Uint64
	// pending are the rows of this router whose records have not been recovered.
	pending atomic.Pointer[[]messenger.ShardRow]
	wake    chan struct{}
	// lastStoreFailure is when a recorder last failed to store a record, nil if none
	// has.
	lastStoreFailure atomic.Pointer[timer.Instant]

	mu sync.Mutex
	// own are the records of this router, peers those of other owners by session.
	own   *recordSet
	peers map[uint64]*recordSet
	// highestFences are the highest fences seen by shard.
	highestFences map[shardID]uint64
	// sessions are all sessions that this process has had.
	sessions map[uint64]struct{}
	// recovered are grants whose records were read and stored; copied are joining
	// recorders that hold all records. Both are reported in heartbeats.
	recovered map[messenger.ShardRef]struct{}
	copied    map[uint64]struct{}
	// missed counts the records that each joining recorder failed to store.
	missed map[uint64]int
}

// shardID identifies a shard regardless of the fence of its grant.
type shardID struct {
	service string
	number  uint32
}

// New returns a Recorder without records.
func New(options Options) *Recorder {
	if options.Entries == 0 {
		options.Entries = DefaultEntries
	}
	if options.OnChange == nil {
		options.OnChange = func() {}
	}
	recorder := &Recorder{
		options:       options,
		wake:          make(chan struct{}, 1),
		own:           newRecordSet(),
		peers:         make(map[uint64]*recordSet),
		highestFences: make(map[shardID]uint64),
		sessions:      make(map[uint64]struct{}),
		recovered:     make(map[messenger.ShardRef]struct{}),
		copied:        make(map[uint64]struct{}),
		missed:        make(map[uint64]int),
	}
	recorder.pending.Store(new([]messenger.ShardRow))
	return recorder
}

// SetRows updates the rows that the router owns, after each change of the routing
// table.
func (r *Recorder) SetRows(rows []messenger.ShardRow) {
	var pending []messenger.ShardRow
	for i := range rows {
		if IsRecovering(&rows[i]) {
			pending = append(pending, rows[i])
		}
	}
	r.pending.Store(&pending)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// AddSession registers a session of this process.
func (r *Recorder) AddSession(session uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[session] = struct{}{}
}

// Report adds the recovered grants and the copied recorders to a heartbeat.
func (r *Recorder) Report(heartbeat *messenger.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref := range r.recovered {
		heartbeat.Recovered = append(heartbeat.Recovered, ref)
	}
	for session := range r.copied {
		heartbeat.Copied = append(heartbeat.Copied, session)
	}
}

// Size returns the number of entries.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size()
}

// size returns the number of entries. The caller must hold r.mu.
func (r *Recorder) size() int {
	total := len(r.own.entries)
	for _, records := range r.peers {
		total += len(records.entries)
	}
	return total
}

// Run recovers, copies and expires records until ctx ends. It must be called once.
func (r *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.reconcile(ctx)
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile expires records, and recovers and copies those that the current routing
// table requires.
func (r *Recorder) reconcile(ctx context.Context) {
	lease := r.options.LeaseSource.Lease()
	table := r.options.Locator.Load()
	r.expire(timer.Now())
	if table.Session(lease.Session) == nil {
		return
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { r.recoverAll(ctx, table, lease.Session) })
	tasks.Go(func() { r.copyAll(ctx, table, lease.Session) })
	tasks.Wait()
}

// expire deletes records whose retention is over.
func (r *Recorder) expire(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.own.expire(now)
	for session, records := range r.peers {
		total += records.expire(now)
		if len(records.entries) == 0 {
			delete(r.peers, session)
		}
	}
	r.count("expired", total)
}

func (r *Recorder) count(reason string, total int) {
	if total > 0 {
		r.options.Metrics.GetOrCreateCounter(`marigold_records_total{reason="` + reason + `"}`).Add(total)
	}
}
