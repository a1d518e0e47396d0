// Package recorder sees to it that a non-idempotent request with an
// Idempotency-Key runs at most once.
//
// Before such a request goes to the backend server, its owner records it, and
// has the record stored by all of its recorder peers, which the control group
// names. A send of the same request then finds the record: it waits for the run
// in progress, gets the kept answer, or is answered as unknown. A new owner
// reads the records of the last one from a survivor, stores them at its own
// peers, reports so, and serves such requests only once the control group took
// that report, so that a second loss at any moment loses nothing. A peer that
// was read rejects what an older owner still sends.
//
// Records are kept for the retention of their service and never evicted early:
// when there is no room, new requests are refused.
//
// # Usage
//
//	records := recorder.New(recorder.Options{Locator: locator, Leaser: keeper, Opener: pool, Metrics: set})
//	go records.Run(ctx)
//	records.Follow(rows) // each new routing table
//
//	verdict := records.Begin(ctx, ctx, work)
//	if verdict.Run == nil { ... } // answer with verdict
//	verdict.Run.Finish(recorder.Ended{State: messenger.RecordDone, ...})
//
// The listener for other routers hands KindRecord and KindRecover streams to
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
	// MaxAnswer is the largest answer in bytes that is kept.
	MaxAnswer = 4 << 10
	// DefaultEntries is the most entries that a router holds, for itself and
	// for others.
	DefaultEntries = 200_000
	// recordTime bounds the storing of a record at one peer.
	recordTime = 300 * time.Millisecond
	// recoverTime bounds one question to a survivor.
	recoverTime = 300 * time.Millisecond
	// copyTime bounds the copying of one batch of records.
	copyTime = 2 * time.Second
	// workInterval is the longest time between two looks at what is to be
	// recovered, copied and dropped.
	workInterval = 250 * time.Millisecond
)

// Leaser tells the lease of the router.
type Leaser interface {
	Lease() *keeper.Lease
}

// Options are the parts that a Recorder works with.
type Options struct {
	Locator *locator.Locator
	Leaser  Leaser
	Opener  linker.Opener
	// Changed is called when there is something new for the heartbeat. It must
	// not block.
	Changed func()
	Log     *logger.Log
	Metrics *metrics.Set
	// Entries is the most entries held; 0 takes DefaultEntries.
	Entries int
}

// Recorder holds the records of one router as an owner, and those that it keeps
// for other owners. Its methods are safe for concurrent use.
type Recorder struct {
	options Options
	attempt atomic.Uint64
	// pending are the rows of this router whose records are elsewhere.
	pending atomic.Pointer[[]messenger.ShardRow]
	wake    chan struct{}
	// unstored is when a recorder last failed to store a record, or nil.
	unstored atomic.Pointer[timer.Instant]

	mu sync.Mutex
	// own are the records of this router, peers those of other owners by
	// session.
	own   *book
	peers map[uint64]*book
	// seals are the newest fences that were seen.
	seals map[shard]uint64
	// sessions are all sessions that this process had.
	sessions map[uint64]struct{}
	// recovered are grants whose records were read and stored, copied are
	// joining recorders that hold all records. Both are reported.
	recovered map[messenger.ShardRef]struct{}
	copied    map[uint64]struct{}
	// failed counts the records that joining recorders missed.
	failed map[uint64]int
}

// shard is a shard without a fence.
type shard struct {
	service string
	number  uint32
}

// New returns a Recorder without records.
func New(options Options) *Recorder {
	if options.Entries == 0 {
		options.Entries = DefaultEntries
	}
	if options.Changed == nil {
		options.Changed = func() {}
	}
	recorder := &Recorder{
		options:   options,
		wake:      make(chan struct{}, 1),
		own:       newBook(),
		peers:     make(map[uint64]*book),
		seals:     make(map[shard]uint64),
		sessions:  make(map[uint64]struct{}),
		recovered: make(map[messenger.ShardRef]struct{}),
		copied:    make(map[uint64]struct{}),
		failed:    make(map[uint64]int),
	}
	recorder.pending.Store(new([]messenger.ShardRow))
	return recorder
}

// Follow takes the rows that the router owns in a new routing table.
func (r *Recorder) Follow(rows []messenger.ShardRow) {
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

// Opened notes a session of this process.
func (r *Recorder) Opened(session uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[session] = struct{}{}
}

// Report fills in what the control group has to know.
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

// Size is the number of entries held.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size()
}

// size needs the lock.
func (r *Recorder) size() int {
	total := len(r.own.entries)
	for _, book := range r.peers {
		total += len(book.entries)
	}
	return total
}

// Run recovers, copies and drops records until ctx ends. It must be called
// once.
func (r *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(workInterval)
	defer ticker.Stop()
	for {
		r.work(ctx)
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// work does what the newest routing table asks for.
func (r *Recorder) work(ctx context.Context) {
	lease := r.options.Leaser.Lease()
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

// expire drops records whose retention is over.
func (r *Recorder) expire(now timer.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.own.expire(now)
	for session, book := range r.peers {
		total += book.expire(now)
		if len(book.entries) == 0 {
			delete(r.peers, session)
		}
	}
	r.count("expired", total)
}

func (r *Recorder) count(event string, total int) {
	if total > 0 {
		r.options.Metrics.GetOrCreateCounter(`marigold_records_total{reason="` + event + `"}`).Add(total)
	}
}
