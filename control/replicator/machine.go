// Package replicator runs one replica of the control group: the goroutine that
// owns the control state, with its log, its snapshots and its messages to the
// other replicas.
//
// The control goroutine takes typed inputs from one channel and steps the
// elector and the machine. A writer goroutine writes and syncs what they want
// stored, all that has gathered in one go, and reports back; messages that rest
// on a write wait for it. One goroutine a peer sends messages over a stream that
// stays open; its queue is bounded and drops the oldest.
//
// # Usage
//
//	replica, err := replicator.New(replicator.Options{...})
//	replica.Start()
//	proposal, err := replica.Propose(ctx, command)
//	answer, err := replica.Query(ctx, heartbeat)
package replicator

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Standing is what a replica knows of its place in the group.
type Standing struct {
	// Name is the name of this replica.
	Name string
	// Leading says that it is the leader of Term and has committed an entry
	// of that term.
	Leading bool
	// Confirmed says that, while leading, a majority has confirmed it within
	// the shortest election time-out by both clocks, and that no transfer of
	// leadership is under way. Only then may leases be renewed.
	Confirmed bool
	// Since is when it became leader.
	Since timer.Instant
	Term  uint64
	// Leader is the leader as far as it is known; its Name is empty otherwise.
	Leader messenger.Member
	// Commit and Applied are log indexes.
	Commit  uint64
	Applied uint64
	// Members are all voting members.
	Members []messenger.Member
	// Progress has, while leading, what is known of each member by name.
	Progress map[string]Progress
}

// Progress is what a leader knows of one member.
type Progress struct {
	// Match is the highest log index known to be synced there.
	Match uint64
	// Heard is when it last answered.
	Heard timer.Instant
}

// Machine is the state that the log replicates, with the decisions that a
// leader takes on it. All methods are called from the control goroutine, so
// none may block or do I/O.
type Machine interface {
	// Apply applies a committed command. It must give the same result on each
	// replica. The result is handed to the proposer.
	Apply(index uint64, command []byte) (result any)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, snapshot []byte) error
	// Tick is called at each TickInterval. A leader returns commands to
	// propose.
	Tick(now timer.Instant, standing Standing) (commands [][]byte)
	// Query answers a typed question, such as a heartbeat, from the state as it
	// is. A leader may return commands to propose.
	Query(now timer.Instant, standing Standing, query any) (answer any, commands [][]byte)
}

// Proposal is a command that was committed and applied.
type Proposal struct {
	Index  uint64
	Result any
}
