package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// TickInterval is the time between two ticks of the machine.
	TickInterval = 25 * time.Millisecond
	// SnapshotEntries and SnapshotBytes are the number and size of the entries
	// applied after which a snapshot is taken, whichever is reached first.
	SnapshotEntries = 20_000
	SnapshotBytes   = 32 << 20
	// TailEntries is the number of entries kept in the log before a snapshot.
	TailEntries = 2_000
	// maxQueuedInputs is the size of the input queue of the control goroutine.
	maxQueuedInputs = 4096
	// maxBatchInputs is the maximum number of queued inputs added to a batch.
	maxBatchInputs = 512
)

// Options configure a Replica.
type Options struct {
	// Member is this replica.
	Member  messenger.Member
	Machine Machine
	Journal *journaler.Journal
	Stored  *journaler.Stored
	// ToleratedLosses is the number of disks that may be lost at once.
	ToleratedLosses int
	// Opener opens streams to other replicas.
	Opener  linker.Opener
	Log     *logger.Log
	Metrics *metrics.Set
	// Seed seeds the random election timeouts.
	Seed uint64
	// SnapshotEntries and TailEntries override the constants if not 0.
	SnapshotEntries int
	TailEntries     uint64
}

// Replica is one replica of the control group. Its methods are safe for
// concurrent use.
type Replica struct {
	options   Options
	consensus *elector.Elector
	counters  counters

	ctx        context.Context
	cancel     context.CancelCauseFunc
	tasks      sync.WaitGroup
	inputs     chan input
	done       chan struct{}
	raftStatus atomic.Pointer[publishedRaftStatus]
	// onMisdirected is called with the address of a replica that sends messages to another
	// identity.
	onMisdirected func(address string)
	// diskFull is set from the first write that a full disk refused to the next one that
	// it took.
	diskFull atomic.Bool

	// The following fields are accessed by the control goroutine only.
	status    elector.Status
	applied   uint64
	writer    writer
	waiters   waiters
	commands  []elector.Command
	senders   map[string]*sender
	addresses map[string]string
	// outdated are the replicas whose last message came from a version that does not
	// apply evacuations.
	outdated   map[string]bool
	leaderless leaderless
	// entries and bytes count what was applied since the last snapshot, which has snapshotBytes.
	entries       int
	bytes         int
	snapshotBytes int
}

// publishedRaftStatus is a RaftStatus with the time of its confirmation by a quorum,
// which readers use to check whether it is still confirmed.
type publishedRaftStatus struct {
	raftStatus  RaftStatus
	confirmedAt timer.Instant
}

// New returns a Replica with its machine restored from the stored snapshot.
func New(options Options) (*Replica, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = SnapshotEntries
	}
	if options.TailEntries == 0 {
		options.TailEntries = TailEntries
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &Replica{
		options:    options,
		counters:   newCounters(options.Metrics),
		ctx:        ctx,
		cancel:     cancel,
		inputs:     make(chan input, maxQueuedInputs),
		done:       make(chan struct{}),
		waiters:    newWaiters(),
		senders:    make(map[string]*sender),
		addresses:  make(map[string]string),
		outdated:   make(map[string]bool),
		leaderless: newLeaderless(timer.Now()),
	}
	if err := r.restore(options.Stored); err != nil {
		return nil, err
	}
	r.consensus = elector.New(r.config(), electorStored(options.Stored), timer.Now())
	r.writer = newWriter(options.Journal)
	options.Journal.OnFull(r.waitForSpace)
	r.publish(timer.Now())
	return r, nil
}

func (r *Replica) config() elector.Config {
	identity := r.options.Stored.Identity
	return elector.Config{
		Name:            r.options.Member.Name,
		Incarnation:     identity.Incarnation,
		Join:            identity.Join,
		TrailingEntries: r.options.TailEntries,
		ToleratedLosses: r.options.ToleratedLosses,
		Rand:            rand.New(rand.NewPCG(r.options.Seed, identity.Incarnation)),
	}
}

// electorStored returns the stored state from which the elector starts.
func electorStored(stored *journaler.Stored) elector.Stored {
	return elector.Stored{
		Hard:     stored.Hard,
		Founders: elector.Founders(stored.Identity.Founders),
		Snapshot: stored.Snapshot,
		Entries:  stored.Entries,
	}
}

func (r *Replica) restore(stored *journaler.Stored) error {
	if stored.Snapshot == nil {
		return nil
	}
	if err := r.options.Machine.Restore(stored.Snapshot.Index, stored.Snapshot.Data); err != nil {
		return Error.New("restoring the snapshot at %d: %w", stored.Snapshot.Index, err)
	}
	r.applied = stored.Snapshot.Index
	r.snapshotBytes = len(stored.Snapshot.Data)
	return nil
}

// Start starts the goroutines of the replica.
func (r *Replica) Start() {
	r.tasks.Go(r.writer.run)
	r.tasks.Go(r.run)
}

// Stop stops the replica and waits for its goroutines.
func (r *Replica) Stop() {
	r.cancel(Error.New("%w", ErrStopped))
	r.tasks.Wait()
}

// Done returns a channel that is closed when the replica has stopped, after Stop
// or a failure.
func (r *Replica) Done() <-chan struct{} {
	return r.done
}

// Err returns the reason why the replica has stopped, or nil while it runs.
func (r *Replica) Err() error {
	return context.Cause(r.ctx)
}

// RaftStatus returns the last published status of the replica. Confirmed is
// evaluated at the time of the call.
func (r *Replica) RaftStatus() RaftStatus {
	current := r.raftStatus.Load()
	raftStatus := current.raftStatus
	if raftStatus.Confirmed && timer.Now().Since(current.confirmedAt) >= elector.ConfirmationTimeout {
		raftStatus.Confirmed = false
	}
	return raftStatus
}

// spaceInterval is the time between two attempts to write to a full disk.
const spaceInterval = 200 * time.Millisecond

// waitForSpace waits before a write to a full disk is tried again. It returns false when
// the replica stops. The replica keeps its role meanwhile, but acknowledges nothing that
// it has not stored.
func (r *Replica) waitForSpace(err error) bool {
	if !r.diskFull.Swap(true) {
		r.options.Log.Emit(logger.DiskUnwritable, "error", err)
	}
	select {
	case <-time.After(spaceInterval):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// run is the loop of the control goroutine.
func (r *Replica) run() {
	defer close(r.done)
	defer r.shutDown()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case result := <-r.writer.results:
			r.handleWriteResult(result)
		case first := <-r.inputs:
			r.handleBatch(first)
		}
		r.publish(timer.Now())
	}
}

// shutDown stops the senders and the writer and fails all waiters.
func (r *Replica) shutDown() {
	for _, s := range r.senders {
		s.stop()
	}
	close(r.writer.work)
	r.waiters.failAll(Error.New("%w: %w", ErrUnknownResult, ErrStopped))
	raftStatus := r.raftStatus.Load().raftStatus
	raftStatus.Leading = false
	raftStatus.Confirmed = false
	r.raftStatus.Store(&publishedRaftStatus{raftStatus: raftStatus})
}

// fail stops the replica with an error.
func (r *Replica) fail(cause error) {
	if r.ctx.Err() != nil {
		return
	}
	r.cancel(cause)
	r.options.Log.Emit(logger.ReplicaFailed, "cause", cause)
}

// handleBatch handles an input and those queued behind it, so that their proposals
// share one write.
func (r *Replica) handleBatch(first input) {
	r.handleInput(first)
	for range min(len(r.inputs), maxBatchInputs) {
		r.handleInput(<-r.inputs)
	}
	r.flushCommands()
}

func (r *Replica) tick() {
	r.step(elector.Tick{})
	now := timer.Now()
	r.proposeInternal(r.options.Machine.Tick(now, r.raftStatusAt(now)))
	r.flushCommands()
	r.logLeaderless(now)
}

// proposeInternal proposes commands of the machine, which have no waiter.
func (r *Replica) proposeInternal(commands [][]byte) {
	if !r.status.Leading {
		return
	}
	for _, command := range commands {
		r.commands = append(r.commands, elector.Command{Data: command})
	}
}

func (r *Replica) flushCommands() {
	if len(r.commands) == 0 {
		return
	}
	commands := r.commands
	r.commands = nil
	r.step(elector.Propose{Commands: commands})
}
