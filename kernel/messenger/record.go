package messenger

import "time"

// RecordState is the state of one recorded request.
type RecordState uint8

// The states of a record.
const (
	// RecordStarted means that the request may have run.
	RecordStarted RecordState = iota + 1
	// RecordDone means that it ran and its answer is known.
	RecordDone
	// RecordRefused means that it was recorded but certainly not run.
	RecordRefused
)

// RecordEntry is the record of one non-idempotent request.
type RecordEntry struct {
	Service string
	Key     string
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
	// Print is the fingerprint of the request that used it first.
	Print string
	State RecordState
	// Status, Header and Body are the kept answer when done. Large says that
	// the answer was too large to keep.
	Status int
	Header []Header
	Body   []byte
	Large  bool
	// Run grows with each attempt of the owner to run a request. A peer ignores
	// what belongs to an earlier attempt than it knows of.
	Run uint64
	// Age is how long ago the record was made, when it was sent.
	Age time.Duration
	// Retention is how long it is kept.
	Retention time.Duration
}

// Record stores entries at a recorder peer. The peer rejects it when it has
// seen a newer fence for the shard.
type Record struct {
	Owner uint64
	// Peer is the session that the entries are for. A process that never had
	// it rejects them: it was restarted and lost the entries before.
	Peer    uint64
	Shard   ShardRef
	Entries []RecordEntry
}

// RecordAnswer answers a Record.
type RecordAnswer struct {
	Accepted bool
	// Fence is the newest fence seen when not accepted.
	Fence uint64
}

// RecoverQuery reads the entries of a shard and seals the set: from then on,
// records with a fence below Shard.Fence are rejected.
type RecoverQuery struct {
	// Owner is the session of the old owner.
	Owner uint64
	// Peer is the session that is asked; see Record.
	Peer uint64
	// Shards are the shards, with the fences of the new grants.
	Shards []ShardRef
	// Splits names the hash shards: Service to the number of shards.
	Splits map[string]uint32
	// Keys are the promoted keys among Shards.
	Keys []KeyRow
}

// RecoverAnswer has the entries.
type RecoverAnswer struct {
	// Accepted is false when the peer has seen a newer fence or does not hold
	// records of the owner.
	Accepted bool
	Entries  []RecordEntry
}
