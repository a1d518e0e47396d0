// Package supervisor takes the decisions of the control leader: whose lease is
// renewed, whose session is closed, who gets which shard. It implements
// replicator.Machine over the replicated state of package assigner.
//
// What only the leader knows, such as when a router was last heard of, is held
// here and is not replicated; a new leader starts without it. So it closes no
// session until a whole lease and margin have passed since its election.
//
// # Usage
//
//	machine := supervisor.New(supervisor.Options{Cluster: "derwent", Log: log, Metrics: set})
//	replica := replicator.New(machine, ...)
//	answer, err := replica.Query(ctx, &messenger.Heartbeat{...})
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
	// Timing replaces the default times where it is not zero.
	Timing messenger.Timing
	Log    *logger.Log
	// Metrics gets the counters; nil counts nothing.
	Metrics *metrics.Set
}

// Supervisor is the state machine of one replica. It is not safe for concurrent
// use; the replicator calls it from one goroutine.
type Supervisor struct {
	options  Options
	counters *counters
	state    *assigner.State

	// What follows is kept only while leading, and starts anew in each term.
	leading bool
	term    uint64
	// calm is the start of the time in which no session is closed: the
	// election, or when this process last ran again after a pause.
	calm     timer.Instant
	ticked   timer.Instant
	routers  map[uint64]*router
	pending  *pending
	services map[string]*service
	// demands has what is known of the load on ranges, by service.
	demands map[string]*demand
	// weighed is when loads were last weighed.
	weighed timer.Instant
}

// New returns a Supervisor with an empty state.
func New(options Options) *Supervisor {
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	options.Timing = options.Timing.Complete()
	s := &Supervisor{
		options:  options,
		counters: newCounters(options.Metrics),
		state:    assigner.New(),
	}
	s.forget()
	return s
}

// forget drops what only a leader knows.
func (s *Supervisor) forget() {
	s.routers = make(map[uint64]*router)
	s.pending = newPending()
	s.services = make(map[string]*service)
	s.demands = make(map[string]*demand)
	s.weighed = timer.Instant{}
}

// Apply implements [replicator.Machine]. The result is an assigner.Result.
func (s *Supervisor) Apply(index uint64, command []byte) any {
	result := s.state.Apply(index, command)
	s.pending.done(command)
	s.logEvents(index)
	return result
}

// logEvents writes the events of the command at index, on the leader only.
func (s *Supervisor) logEvents(index uint64) {
	if !s.leading {
		return
	}
	for _, event := range s.state.Events(index - 1) {
		s.options.Log.Emit(logger.Lookup(event.Number), "subject", event.Subject, "text", event.Text, "revision", event.Revision)
	}
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
func (s *Supervisor) Tick(now timer.Instant, standing replicator.Standing) [][]byte {
	if !s.lead(now, standing) {
		return nil
	}
	s.notePause(now)
	batch := newBatch(s.pending, now)
	s.closeLapsed(now, batch)
	if standing.Confirmed {
		s.judgeReach(now, batch)
		s.grantFree(now, batch)
		s.joinRecorders(batch)
		s.drainLeaving(now, batch)
		s.balance(now, batch)
		s.placeRanges(now, batch)
	}
	return batch.commands
}

// lead notes a change of leadership and reports whether this replica leads.
func (s *Supervisor) lead(now timer.Instant, standing replicator.Standing) bool {
	if s.leading == standing.Leading && s.term == standing.Term {
		return standing.Leading
	}
	s.forget()
	s.leading = standing.Leading
	s.term = standing.Term
	s.calm = standing.Since
	s.ticked = now
	return standing.Leading
}

// notePause moves the calm time when this process did not run for a while, so
// that routers whose heartbeats waited for it are not closed.
func (s *Supervisor) notePause(now timer.Instant) {
	if now.Since(s.ticked) > pauseTime {
		s.calm = now
	}
	s.ticked = now
}

// Query implements [replicator.Machine].
func (s *Supervisor) Query(now timer.Instant, standing replicator.Standing, query any) (any, [][]byte) {
	leading := s.lead(now, standing)
	switch question := query.(type) {
	case *messenger.Heartbeat:
		return s.heartbeat(now, standing, question)
	case *messenger.Report:
		return s.report(now, standing, question)
	}
	if !leading || !standing.Confirmed {
		return &NotLeading{Leader: standing.Leader}, nil
	}
	return s.answer(now, standing, query), nil
}
