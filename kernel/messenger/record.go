package messenger

import "time"

// RecordState is the state of a recorded request.
type RecordState uint8

// The states of a record.
const (
	// RecordStarted means that the request may have run.
	RecordStarted RecordState = iota + 1
	// RecordDone means that the request ran and its response is known.
	RecordDone
	// RecordRefused means that the request was recorded but did not run.
	RecordRefused
)

// RecordEntry is the record of a non-idempotent request.
type RecordEntry struct {
	Service string
	Key     string
	// Idempotency is the Idempotency-Key of the request.
	Idempotency string
	// Print is the fingerprint of the first request with this Idempotency-Key.
	Print string
	State RecordState
	// Status, Header and Body are the stored response in state RecordDone. Large
	// means that the response was too large to store.
	Status int
	Header []Header
	Body   []byte
	Large  bool
	// Run increases with each attempt of the owner to run a request. A recorder
	// ignores entries of an attempt before the latest that it has received.
	Run uint64
	// Age is the age of the record when it was sent.
	Age time.Duration
	// Retention is how long the record is kept.
	Retention time.Duration
}

// Record stores entries at a recorder. The recorder rejects it after it has
// received a newer fence for the shard.
type Record struct {
	Owner uint64
	// Peer is the session of the recorder. A process that never had this session
	// rejects the entries: it was restarted and has lost the earlier ones.
	Peer    uint64
	Shard   ShardRef
	Entries []RecordEntry
}

// RecordResponse is the response to a Record.
type RecordResponse struct {
	Accepted bool
	// Fence is the newest fence that the recorder has received, when it did not
	// accept the entries.
	Fence uint64
}

// RecoverQuery reads the entries of shards and seals them: from then on, the
// recorder rejects records whose fence is lower than the fence in Shards.
type RecoverQuery struct {
	// Owner is the session of the previous owner.
	Owner uint64
	// Peer is the session of the recorder; see Record.
	Peer uint64
	// Shards are the shards to read, with the fences of the new grants.
	Shards []ShardRef
	// Splits maps the name of each service to its number of hash shards.
	Splits map[string]uint32
	// Keys are the promoted keys among Shards.
	Keys []KeyRow
}

// RecoverResponse is the response to a RecoverQuery.
type RecoverResponse struct {
	// Accepted is false when the recorder has received a newer fence or does not
	// hold records of the owner.
	Accepted bool
	Entries  []RecordEntry
}
