// Package replicator runs one replica of the control group: the goroutine that
// owns the control state, with its log, its snapshots and its messages to the
// other replicas.
//
// The control goroutine receives typed inputs from one channel and steps the
// elector and the machine. A writer goroutine writes and syncs their updates to
// the journal, with all pending writes in one batch, and reports completion.
// Messages that depend on a write are sent after its sync. One goroutine per peer
// sends messages over a long-lived stream; its queue is bounded and drops the
// oldest messages.
//
// # Usage
//
//	replica, err := replicator.New(replicator.Options{...})
//	replica.Start()
//	proposal, err := replica.Propose(ctx, command)
//	response, err := replica.Query(ctx, heartbeat)
package replicator

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// RaftStatus is the status of a replica within the group.
type RaftStatus struct {
	Name string
	// Leading is set if the replica is the leader of Term and has committed an
	// entry of that term.
	Leading bool
	// Confirmed is set if the replica is leading, a majority has confirmed it
	// within the shortest election timeout by both clocks, and no leadership
	// transfer is in progress. Leases may be renewed only then.
	Confirmed bool
	// Since is the time at which it became leader.
	Since timer.Instant
	Term  uint64
	// Leader is the leader; its Name is empty if it is not known.
	Leader messenger.Member
	// Commit and Applied are the log indexes of the last committed and the last
	// applied entry.
	Commit  uint64
	Applied uint64
	// Members are the voting members.
	Members []messenger.Member
	// InForce are the members of all groups in force, including one whose removal may not be
	// committed.
	InForce []messenger.Member
	// Lost are the names of the members that have lost their disks and were not removed yet.
	Lost []string
	// Progress is the progress of each member by name; nil unless the replica
	// is the leader.
	Progress map[string]Progress
}

// Progress is the replication progress of one member as tracked by the leader.
type Progress struct {
	// Match is the highest log index known to be synced on the member.
	Match uint64
	// LastContact is the time of its last response.
	LastContact timer.Instant
	// Outdated is set if the member is known to run a version that does not apply
	// evacuations.
	Outdated bool
}

// Machine is the replicated state machine, with the decisions that a leader makes
// from its state. All methods are called from the control goroutine, so none may
// block or do I/O.
type Machine interface {
	// Apply applies a committed command. It must be deterministic across
	// replicas. The result is returned to the proposer.
	Apply(index uint64, command []byte) (result any)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, snapshot []byte) error
	// Tick is called every TickInterval. The returned commands are proposed if
	// the replica is leading.
	Tick(now timer.Instant, raftStatus RaftStatus) (commands [][]byte)
	// Query responds to a typed query, such as a heartbeat, from the current state.
	// The returned commands are proposed if the replica is leading.
	Query(now timer.Instant, raftStatus RaftStatus, query any) (response any, commands [][]byte)
}

// Proposal is the log index and result of a committed and applied command.
type Proposal struct {
	Index  uint64
	Result any
}
