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
	// SnapshotEntries and SnapshotBytes are how much is applied between two
	// snapshots, whichever comes first.
	SnapshotEntries = 20_000
	SnapshotBytes   = 32 << 20
	// TailEntries is how many entries stay in the log behind a snapshot.
	TailEntries = 2_000
	// maxInputs is how many inputs wait for the control goroutine.
	maxInputs = 4096
	// maxBatch is how many inputs are taken in one go.
	maxBatch = 512
)

// Options are what a Replica is made of.
type Options struct {
	// Member is this replica.
	Member  messenger.Member
	Machine Machine
	Journal *journaler.Journal
	Stored  *journaler.Stored
	// Opener opens streams to other replicas.
	Opener  linker.Opener
	Log     *logger.Log
	Metrics *metrics.Set
	// Seed seeds the election time-outs.
	Seed uint64
	// SnapshotEntries and TailEntries replace the constants when not 0.
	SnapshotEntries int
	TailEntries     uint64
}

// Replica is one replica of the control group. Its methods are safe for
// concurrent use.
type Replica struct {
	options  Options
	core     *elector.Elector
	counters counters

	ctx      context.Context
	cancel   context.CancelCauseFunc
	tasks    sync.WaitGroup
	inputs   chan input
	done     chan struct{}
	standing atomic.Pointer[published]

	// What follows belongs to the control goroutine.
	view      elector.View
	applied   uint64
	writer    writer
	waiters   waiters
	commands  []elector.Command
	senders   map[string]*sender
	addresses map[string]string
	// entries and bytes were applied since the last snapshot.
	entries int
	bytes   int
}

// published is a Standing with what is needed to judge confirmation when it is
// read.
type published struct {
	standing Standing
	quorum   timer.Instant
}

// New returns a Replica whose machine is restored from what is stored.
func New(options Options) (*Replica, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = SnapshotEntries
	}
	if options.TailEntries == 0 {
		options.TailEntries = TailEntries
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &Replica{
		options:   options,
		counters:  newCounters(options.Metrics),
		ctx:       ctx,
		cancel:    cancel,
		inputs:    make(chan input, maxInputs),
		done:      make(chan struct{}),
		waiters:   newWaiters(),
		senders:   make(map[string]*sender),
		addresses: make(map[string]string),
	}
	if err := r.restore(options.Stored); err != nil {
		return nil, err
	}
	r.core = elector.New(r.config(), electorStored(options.Stored), timer.Now())
	r.writer = newWriter(options.Journal)
	r.publish(timer.Now())
	return r, nil
}

func (r *Replica) config() elector.Config {
	identity := r.options.Stored.Identity
	return elector.Config{
		Name:        r.options.Member.Name,
		Incarnation: identity.Incarnation,
		Join:        identity.Join,
		Tail:        r.options.TailEntries,
		Rand:        rand.New(rand.NewPCG(r.options.Seed, identity.Incarnation)),
	}
}

// electorStored is what the elector starts from.
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
	return nil
}

// Start starts the goroutines.
func (r *Replica) Start() {
	r.tasks.Go(r.writer.run)
	r.tasks.Go(r.run)
}

// Stop ends the replica and waits for its goroutines.
func (r *Replica) Stop() {
	r.cancel(Error.New("%w", ErrStopped))
	r.tasks.Wait()
}

// Done is closed when the replica has stopped, by itself or by Stop.
func (r *Replica) Done() <-chan struct{} {
	return r.done
}

// Err says why the replica has stopped: nil while it runs.
func (r *Replica) Err() error {
	return context.Cause(r.ctx)
}

// Standing returns what the replica knows of its place in the group. Whether it
// is confirmed is judged at the moment of the call.
func (r *Replica) Standing() Standing {
	latest := r.standing.Load()
	standing := latest.standing
	if standing.Confirmed && timer.Now().Since(latest.quorum) >= elector.ConfirmTime {
		standing.Confirmed = false
	}
	return standing
}

// run is the control goroutine.
func (r *Replica) run() {
	defer close(r.done)
	defer r.end()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case result := <-r.writer.results:
			r.written(result)
		case first := <-r.inputs:
			r.takeBatch(first)
		}
		r.publish(timer.Now())
	}
}

// end stops the senders and the writer and answers all that wait.
func (r *Replica) end() {
	for _, s := range r.senders {
		s.stop()
	}
	close(r.writer.work)
	r.waiters.failAll(Error.New("%w: %w", ErrUnknownResult, ErrStopped))
	standing := r.standing.Load().standing
	standing.Leading = false
	standing.Confirmed = false
	r.standing.Store(&published{standing: standing})
}

// fail ends the replica with a cause.
func (r *Replica) fail(cause error) {
	if r.ctx.Err() != nil {
		return
	}
	r.cancel(cause)
	r.options.Log.Emit(logger.ReplicaFailed, "cause", cause)
}

// takeBatch takes an input and what else waits, so that proposals share one
// write.
func (r *Replica) takeBatch(first input) {
	r.take(first)
	for range min(len(r.inputs), maxBatch) {
		r.take(<-r.inputs)
	}
	r.flushCommands()
}

func (r *Replica) tick() {
	r.step(elector.Tick{})
	now := timer.Now()
	r.proposeOwn(r.options.Machine.Tick(now, r.standingAt(now)))
	r.flushCommands()
}

// proposeOwn proposes commands for which nobody waits.
func (r *Replica) proposeOwn(commands [][]byte) {
	if !r.view.Leading {
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
