package elector

import "marigoldhill/kernel/messenger"

// Event is an input of [Elector.Step]: one of the types in this file.
type Event interface {
	event()
}

// Tick triggers the checks of timeouts. It should be sent at least every 25 ms.
type Tick struct{}

// Received delivers a message from another replica.
type Received struct {
	Message Message
}

// Synced reports that all writes up to number Write are synced.
type Synced struct {
	Write uint64
}

// Propose asks the leader to append commands.
type Propose struct {
	Commands []Command
}

// Command is a proposed command. ID is returned in [Proposed].
type Command struct {
	ID   uint64
	Data []byte
}

// Compact provides a snapshot of the state machine after the entry at Index.
type Compact struct {
	Index uint64
	Data  []byte
}

// AddMember asks the leader to add a member once it has caught up.
type AddMember struct {
	ID     uint64
	Member messenger.Member
}

// CancelAddition asks the leader to give up the addition of a member that has not caught up
// yet.
type CancelAddition struct {
	Name string
}

// RemoveMember asks the leader to remove a member.
type RemoveMember struct {
	ID   uint64
	Name string
}

// Transfer asks the leader to transfer leadership to another member.
type Transfer struct {
	ID   uint64
	Name string
}

// DiskLost reports that a member has lost its disk: a replica with another identity requests to
// join from its address.
type DiskLost struct {
	Name string
}

// MemberPresent reports that a member runs with its disk: it polls the others.
type MemberPresent struct {
	Name string
}

func (MemberPresent) event()  {}
func (Tick) event()           {}
func (Received) event()       {}
func (Synced) event()         {}
func (Propose) event()        {}
func (Compact) event()        {}
func (AddMember) event()      {}
func (CancelAddition) event() {}
func (RemoveMember) event()   {}
func (Transfer) event()       {}
func (DiskLost) event()       {}

// Effects are the actions required by a step. Writes must be done in the order
// of their numbers, and the parts of a write in this order: Snapshot, Save,
// Append.
type Effects struct {
	// Save is the hard state to write.
	Save *HardState
	// Append are entries to write. The first replaces the stored entries at its
	// index and after it.
	Append []Entry
	// Snapshot is a snapshot to store. If Install is set, it came from the
	// leader: the stored log is void, and the state machine must be restored
	// from the snapshot before Committed is applied. Otherwise TrailingEntries are
	// the log entries to keep.
	Snapshot        *Snapshot
	Install         bool
	TrailingEntries []Entry
	// Write is the number of the newest write. MessagesAfterSync may be sent once
	// it is synced.
	Write uint64
	// MessagesBeforeSync are messages that may be sent immediately.
	MessagesBeforeSync []Message
	// MessagesAfterSync are messages that may be sent once Write is synced.
	MessagesAfterSync []Message
	// Committed are entries to apply, in order.
	Committed []Entry
	// Proposed are the results of proposals.
	Proposed []Proposed
	// Refusals are the reasons for which messages were refused, for the
	// metrics.
	Refusals []Refusal
	// Fatal is an error after which the replica must stop.
	Fatal error
}

// Proposed is the result of a proposal: it was appended at Index in Term, or
// rejected with Err.
type Proposed struct {
	ID    uint64
	Index uint64
	Term  uint64
	Err   error
}

// Refusal is a reason for which a message was refused.
type Refusal string

// Reasons for refusing a message.
const (
	RefusalIdentity  Refusal = "identity"
	RefusalStaleTerm Refusal = "stale_term"
	RefusalWithheld  Refusal = "vote_withheld"
	RefusalVoted     Refusal = "voted"
	RefusalPriority  Refusal = "rival"
	RefusalLogBehind Refusal = "old_log"
	RefusalMismatch  Refusal = "log_mismatch"
	RefusalSnapshot  Refusal = "snapshot"
)

// pendingWrite is a write that is not synced yet. index and term are those of
// the last log entry at the time of the write.
type pendingWrite struct {
	number uint64
	index  uint64
	term   uint64
}
