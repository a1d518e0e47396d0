package elector

import "marigoldhill/kernel/timer"

// Message is a message between replicas. Exactly one of the bodies is set.
type Message struct {
	From            string
	FromIncarnation uint64
	To              string
	// ToIncarnation is the incarnation that the sender knows of the receiver,
	// or 0.
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

// Vote asks for a vote.
type Vote struct {
	// Pre asks whether the vote would be given, and changes nothing.
	Pre bool
	// Term is the term that the sender wants to lead.
	Term uint64
	// LastIndex and LastTerm are of the last entry of the sender.
	LastIndex uint64
	LastTerm  uint64
	// Forced says that the leader asked the sender to take over, so votes are
	// not withheld.
	Forced bool
}

// VoteAnswer answers Vote.
type VoteAnswer struct {
	Pre bool
	// Term is the one of the Vote.
	Term    uint64
	Granted bool
}

// Append carries entries from the leader, or none as a heartbeat.
type Append struct {
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	Entries   []Entry
	// Sent is when the leader sent it, by the leader's clocks.
	Sent timer.Instant
}

// AppendAnswer answers Append and the last Chunk.
type AppendAnswer struct {
	Accepted bool
	// Match is the last synced entry that agrees with the leader's.
	Match uint64
	// Prev is the PrevIndex that was refused, and Hint the last index that may
	// agree.
	Prev uint64
	Hint uint64
	// Sent comes from the Append.
	Sent timer.Instant
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Index  uint64
	Term   uint64
	Group  Group
	Offset int
	Data   []byte
	// Total and Sum are length and xxhash of the whole snapshot's data.
	Total int
	Sum   uint64
	Sent  timer.Instant
}

// ChunkAnswer says how much of the snapshot at Index has arrived.
type ChunkAnswer struct {
	Index  uint64
	Offset int
	Sent   timer.Instant
}

// Campaign tells a follower to take over leadership at once.
type Campaign struct{}

// Resign tells the followers that the leader of the term has stepped down, so
// they need not wait before they elect another.
type Resign struct {
	// Rank is the receiver's turn to be a candidate, from 0.
	Rank int
}

// Stranger tells a replica that the group knows it under another identity.
type Stranger struct{}
