package elector

import "marigoldhill/kernel/timer"

// Message is a message between replicas. Exactly one of the bodies is set.
type Message struct {
	From            string
	FromIncarnation uint64
	To              string
	// ToIncarnation is the receiver's incarnation on record at the sender, or 0
	// if unknown.
	ToIncarnation uint64
	// Term is the term of the sender.
	Term uint64

	Vote         *Vote         `msgpack:",omitempty"`
	VoteAnswer   *VoteAnswer   `msgpack:",omitempty"`
	Append       *Append       `msgpack:",omitempty"`
	AppendAnswer *AppendAnswer `msgpack:",omitempty"`
	Chunk        *Chunk        `msgpack:",omitempty"`
	ChunkAnswer  *ChunkAnswer  `msgpack:",omitempty"`
	Campaign     *Campaign     `msgpack:",omitempty"`
	Resign       *Resign       `msgpack:",omitempty"`
	Stranger     *Stranger     `msgpack:",omitempty"`
}

// Vote requests a vote (RequestVote in the Raft paper).
type Vote struct {
	// Pre marks a pre-vote, which changes neither the term nor the vote of the
	// receiver.
	Pre bool
	// Term is the term for which the sender is a candidate.
	Term uint64
	// LastIndex and LastTerm are those of the last entry in the sender's log.
	LastIndex uint64
	LastTerm  uint64
	// Forced is set if the leader asked the sender to campaign, so votes are
	// not withheld.
	Forced bool
}

// VoteAnswer is the response to Vote.
type VoteAnswer struct {
	Pre bool
	// Term is copied from the Vote.
	Term    uint64
	Granted bool
}

// Append carries entries from the leader, or none as a heartbeat (AppendEntries
// in the Raft paper).
type Append struct {
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	Entries   []Entry
	// Sent is when the message was sent, by the leader's clocks.
	Sent timer.Instant
}

// AppendAnswer is the response to Append and to the last Chunk of a snapshot.
type AppendAnswer struct {
	Accepted bool
	// Match is the highest synced index at which the log matches the leader's.
	Match uint64
	// Prev is the refused PrevIndex. Hint is the highest index at which the log
	// may match the leader's.
	Prev uint64
	Hint uint64
	// Sent is copied from the Append or Chunk.
	Sent timer.Instant
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Index  uint64
	Term   uint64
	Group  Group
	Offset int
	Data   []byte
	// Total and Sum are the length and the xxhash of the complete snapshot
	// data.
	Total int
	Sum   uint64
	Sent  timer.Instant
}

// ChunkAnswer reports how many bytes of the snapshot at Index have been
// received.
type ChunkAnswer struct {
	Index  uint64
	Offset int
	Sent   timer.Instant
}

// Campaign asks a follower to start an election immediately.
type Campaign struct{}

// Resign notifies followers that the leader of the term has stepped down, so
// that they elect another one without waiting for a timeout.
type Resign struct {
	// Rank is the receiver's position, from 0, in the order in which the
	// followers become candidates.
	Rank int
}

// Stranger notifies a replica that the group has another incarnation on record
// for its name.
type Stranger struct{}
