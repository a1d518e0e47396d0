// Package supervisor makes the decisions of the control leader: which leases are
// renewed, which sessions are closed and which servers own which shards and ranges.
// It implements replicator.Machine over the replicated state of package assigner.
//
// State that only the leader has, such as the time of each router's last heartbeat,
// is kept here and is not replicated. A new leader starts without it, so it closes
// no session until a whole lease and margin have passed since its election.
//
// # Usage
//
//	machine := supervisor.New(supervisor.Options{Cluster: "derwent", Log: log, Metrics: set})
//	replica := replicator.New(machine, ...)
//	response, err := replica.Query(ctx, &messenger.Heartbeat{...})
package supervisor

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("supervisor")

var _ replicator.Machine = (*Supervisor)(nil)

// Options are the settings of a Supervisor.
type Options struct {
	// Cluster is the name of the cluster.
	Cluster string
	// Timing overrides the default times where it is not zero.
	Timing messenger.Timing
	Log    *logger.Log
	// Metrics gets the metrics. They are discarded when it is nil.
	Metrics *metrics.Set
}

// Supervisor is the state machine of one replica. It is not safe for concurrent
// use; the replicator calls it from one goroutine.
type Supervisor struct {
	options  Options
	counters *counters
	state    *assigner.State

	// The fields below are kept only while this replica leads, and are reset in
	// each term.
	leading bool
	term    uint64
	// graceStart is the start of the grace period, in which no session is closed:
	// the election, or when this process last resumed after a pause.
	graceStart timer.Instant
	lastTick   timer.Instant
	routers    map[uint64]*routerState
	// replaced are the processes whose session another one adopts or has adopted.
	// Their heartbeats may still arrive.
	replaced map[sessionProcess]bool
	pending  *pending
	services map[string]*serviceState
	// demands is the measured load on ranges, by service.
	demands map[string]*rangeDemand
	// emptied are the revisions of the evacuations whose domains have no keys left.
	emptied map[string]uint64
	// lastMeasured is when the mean loads were last updated.
	lastMeasured timer.Instant
}

// New returns a Supervisor with an empty state.
func New(options Options) *Supervisor {
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	options.Timing = options.Timing.WithDefaults()
	s := &Supervisor{
		options:  options,
		counters: newCounters(options.Metrics),
		state:    assigner.New(),
	}
	s.resetLeaderState()
	return s
}

// resetLeaderState drops the state that only a leader keeps.
func (s *Supervisor) resetLeaderState() {
	s.routers = make(map[uint64]*routerState)
	s.replaced = make(map[sessionProcess]bool)
	s.pending = newPending()
	s.services = make(map[string]*serviceState)
	s.demands = make(map[string]*rangeDemand)
	s.emptied = make(map[string]uint64)
	s.lastMeasured = timer.Instant{}
	s.counters.removeEvacuations(nil)
}

// Apply implements [replicator.Machine]. The result is an assigner.Result.
func (s *Supervisor) Apply(index uint64, command []byte) any {
	result := s.state.Apply(index, command)
	s.pending.applied(command)
	s.logEvents(index)
	s.logOwners(index, command)
	return result
}

// Snapshot implements [replicator.Machine].
func (s *Supervisor) Snapshot() ([]byte, error) {
	return s.state.Snapshot()
}

// Restore implements [replicator.Machine].
func (s *Supervisor) Restore(_ uint64, snapshot []byte) error {
	if err := s.state.Restore(snapshot); err != nil {
		return Error.New("restoring the state: %w", err)
	}
	return nil
}

// Tick implements [replicator.Machine].
func (s *Supervisor) Tick(now timer.Instant, raftStatus replicator.RaftStatus) [][]byte {
	if !s.updateLeadership(now, raftStatus) {
		return nil
	}
	s.detectPause(now)
	batch := newBatch(s.pending, now)
	s.closeExpired(now, batch)
	if raftStatus.Confirmed {
		s.detectUnreachable(now, batch)
		s.grantFree(now, batch)
		s.assignRecorders(batch)
		s.drainLeaving(now, batch)
		s.balance(now, batch)
		s.placeRanges(now, batch)
	}
	return batch.commands
}

// updateLeadership records a change of leadership and reports whether this replica
// leads.
func (s *Supervisor) updateLeadership(now timer.Instant, raftStatus replicator.RaftStatus) bool {
	if s.leading == raftStatus.Leading && s.term == raftStatus.Term {
		return raftStatus.Leading
	}
	s.resetLeaderState()
	s.leading = raftStatus.Leading
	s.term = raftStatus.Term
	s.graceStart = raftStatus.Since
	s.lastTick = now
	return raftStatus.Leading
}

// detectPause restarts the grace period when this process did not run for a while,
// so that the sessions of routers whose heartbeats were queued meanwhile are not
// closed.
func (s *Supervisor) detectPause(now timer.Instant) {
	if now.Since(s.lastTick) > pauseThreshold {
		s.graceStart = now
	}
	s.lastTick = now
}

// Query implements [replicator.Machine].
func (s *Supervisor) Query(now timer.Instant, raftStatus replicator.RaftStatus, query any) (any, [][]byte) {
	leading := s.updateLeadership(now, raftStatus)
	switch request := query.(type) {
	case *messenger.Heartbeat:
		return s.onHeartbeat(now, raftStatus, request)
	case *messenger.Report:
		return s.report(now, raftStatus, request)
	}
	if !leading || !raftStatus.Confirmed {
		return &NotLeader{Leader: raftStatus.Leader}, nil
	}
	return s.answerQuery(now, raftStatus, query), nil
}
