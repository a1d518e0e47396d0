package messenger

// Phase is the phase of a shard's ownership.
type Phase uint8

// The phases.
const (
	// PhaseFree means that nobody owns the shard.
	PhaseFree Phase = iota
	// PhaseOwned means that Owner owns it under Fence.
	PhaseOwned
	// PhaseMoving means that Owner still owns it under Fence, admits nothing
	// new for it and gives it back when its work there has ended; Next owns it
	// then.
	PhaseMoving
)

// ShardRow is the ownership of one shard. Numbers below Service.Shards are hash
// shards; those from there on are promoted keys.
type ShardRow struct {
	Service string
	Shard   uint32
	Phase   Phase
	// Owner is a session number, 0 when free.
	Owner uint64
	// Fence is the log index of the grant. It grows with each grant.
	Fence uint64
	// Next is the session that a moving shard goes to.
	Next uint64
	// Survivors are the sessions that hold the records of the last owner when
	// the shard was granted after a loss: the new owner reads one of them before
	// it serves non-idempotent work. Empty after a planned move.
	Survivors []uint64
	// Forgotten says that all holders of the records were lost, so resends may
	// not be recognized: keyed non-idempotent work is answered as unknown until
	// ForgottenUntil.
	Forgotten bool
	// ForgottenUntil is in milliseconds of the control group's wall clock.
	ForgottenUntil int64
	// Previous is the session that the shard was moved from as planned, which
	// then holds its records; 0 otherwise.
	Previous uint64
	// Last is the session whose records the survivors, or the previous
	// session, hold; 0 when nothing is to be recovered.
	Last uint64
}

// KeyRow gives a promoted key a shard of its own.
type KeyRow struct {
	Service string
	Key     string
	Shard   uint32
	// Gone says that the key is back in its hash shard.
	Gone bool
}

// SessionRow is one router with a session.
type SessionRow struct {
	// Session is the number of the session: the log index that opened it.
	Session uint64
	// Router is the name of the router.
	Router string
	// Address is where other routers reach it, host:port.
	Address string
	Domain  string
	Region  string
	// Server is its backend server, or nil before one was announced.
	Server *ServerRow
	// Leaving says that it gets no new shards: drained, or stopping.
	Leaving bool
	// Recorders are the sessions that keep its records, in order.
	Recorders []uint64
	// Joining are sessions that become recorders once the records were copied
	// to them, which the owner reports in Heartbeat.Copied.
	Joining []uint64
	// Gone says that the session is closed.
	Gone bool
}

// ServerRow is what a backend server said of itself.
type ServerRow struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// URL is its base URL, reachable from its own VM.
	URL string `json:"url"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Fences says that it refuses requests with an old fence.
	Fences bool `json:"fences"`
	// Cold says that it starts cold, so its load grows slowly.
	Cold bool `json:"cold"`
	// Born is the start of the server in milliseconds of its wall clock, 0 when
	// it does not say. A server of another start holds nothing of before.
	Born int64 `json:"born,omitempty"`
}

// QuarantineRow is one quarantined fingerprint.
type QuarantineRow struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	Route       string `json:"route"`
	// Since is in milliseconds of the wall clock of the control leader.
	Since int64 `json:"since"`
	// Gone says that it was lifted.
	Gone bool `json:"-"`
}

// TableDelta changes a routing table of revision From to one of revision To.
// A full delta replaces the table.
type TableDelta struct {
	Full bool
	From uint64
	To   uint64

	Sessions    []SessionRow
	Shards      []ShardRow
	Keys        []KeyRow
	Profiles    []Profile
	Services    []Service
	Quarantines []QuarantineRow
	// Configuration is the one in force, when it changed.
	Configuration *Configuration
	Ranges        []RangeRow
	// Suspects were in flight at one death of a backend server. They run alone.
	Suspects []QuarantineRow
	// GoneProfiles and GoneServices are names of removed ones.
	GoneProfiles []string
	GoneServices []string
}
