package elector

import "marigoldhill/kernel/messenger"

// Event is what an [Elector] takes: one of the types of this file.
type Event interface {
	event()
}

// Tick lets time pass. It should come at least each 25 ms.
type Tick struct{}

// Received is a message of another replica.
type Received struct {
	Message Message
}

// Synced says that all writes up to number Write are on the disk.
type Synced struct {
	Write uint64
}

// Propose asks the leader to append commands.
type Propose struct {
	Commands []Command
}

// Command is a proposed command. ID comes back in [Proposed].
type Command struct {
	ID   uint64
	Data []byte
}

// Compact hands in a snapshot of the machine after the entry at Index.
type Compact struct {
	Index uint64
	Data  []byte
}

// AddMember asks the leader to add a member once it has caught up.
type AddMember struct {
	ID     uint64
	Member messenger.Member
}

// RemoveMember asks the leader to remove a member.
type RemoveMember struct {
	ID   uint64
	Name string
}

// Transfer asks the leader to hand leadership to another member.
type Transfer struct {
	ID   uint64
	Name string
}

func (Tick) event()         {}
func (Received) event()     {}
func (Synced) event()       {}
func (Propose) event()      {}
func (Compact) event()      {}
func (AddMember) event()    {}
func (RemoveMember) event() {}
func (Transfer) event()     {}

// Effects is what must be done after a step. Writes are done in the order of
// their numbers, in this order within one: Snapshot, Save, Append.
type Effects struct {
	// Save is the hard state to write.
	Save *HardState
	// Append are entries to write. The first replaces whatever is stored at its
	// index and after.
	Append []Entry
	// Snapshot is a snapshot to store. Install says that it came from the
	// leader: the machine must be restored from it before Committed is applied,
	// and the stored log is void. Otherwise Tail are the entries to keep.
	Snapshot *Snapshot
	Install  bool
	Tail     []Entry
	// Write is the number of the newest write; After waits until it is synced.
	Write uint64
	// Before are messages that may be sent at once.
	Before []Message
	// After are messages that may be sent once Write was synced.
	After []Message
	// Committed are entries to apply, in order.
	Committed []Entry
	// Proposed tells what became of proposals.
	Proposed []Proposed
	// Refusals are reasons for which messages were refused, for the counters.
	Refusals []Refusal
	// Fatal stops the replica.
	Fatal error
}

// Proposed tells what became of a proposal: it was appended at Index in Term,
// or Err says why not.
type Proposed struct {
	ID    uint64
	Index uint64
	Term  uint64
	Err   error
}

// Refusal is a reason for which a message was refused.
type Refusal string

// The reasons.
const (
	RefusalIdentity  Refusal = "identity"
	RefusalStaleTerm Refusal = "stale_term"
	RefusalWithheld  Refusal = "vote_withheld"
	RefusalVoted     Refusal = "voted"
	RefusalRival     Refusal = "rival"
	RefusalOldLog    Refusal = "old_log"
	RefusalMismatch  Refusal = "log_mismatch"
	RefusalSnapshot  Refusal = "snapshot"
)

// pendingWrite is a write that was not synced yet, with the last entry then.
type pendingWrite struct {
	number uint64
	index  uint64
	term   uint64
}
