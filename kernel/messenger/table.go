package messenger

import "maps"

// Phase is the phase of the ownership of a shard or range.
type Phase uint8

// The phases of a shard. They apply to a range in the same way.
const (
	// PhaseFree means that the shard has no owner.
	PhaseFree Phase = iota
	// PhaseOwned means that Owner owns the shard under Fence.
	PhaseOwned
	// PhaseMoving means that Owner still owns the shard under Fence, but admits no
	// new requests for it and releases it when those in flight have ended. Then
	// Next owns the shard.
	PhaseMoving
)

// ShardRow is the ownership of one shard. Numbers below Service.Shards are hash
// shards, numbers from there on are the shards of promoted keys.
type ShardRow struct {
	Service string
	Shard   uint32
	Phase   Phase
	// Owner is a session number; 0 when the shard is free.
	Owner uint64
	// Fence is the log index of the grant. It increases with each grant.
	Fence uint64
	// Next is the session that the shard is moving to.
	Next uint64
	// Survivors are the sessions that hold the records of the last owner, when the
	// shard was granted because that owner was lost. The new owner reads the records
	// from one of them before it serves non-idempotent requests. Empty after a
	// planned move.
	Survivors []uint64
	// Forgotten means that all sessions with the records were lost, so that retries
	// may not be recognized. Until ForgottenUntil, the outcome of non-idempotent
	// requests with an Idempotency-Key is OutcomeUnknown.
	Forgotten bool
	// ForgottenUntil is in milliseconds of the wall clock of the control group.
	ForgottenUntil int64
	// Previous is the session that the shard was moved from by a planned move. That
	// session holds the records. 0 otherwise.
	Previous uint64
	// Last is the session whose records Survivors or Previous hold; 0 when there is
	// nothing to recover.
	Last uint64
}

// KeyRow assigns a shard of its own to a promoted key.
type KeyRow struct {
	Service string
	Key     string
	Shard   uint32
	// Gone means that the key was demoted to its hash shard.
	Gone bool
}

// SessionRow is a router with a session.
type SessionRow struct {
	// Session is the session number: the index of the log entry that opened it.
	Session uint64
	Router  string
	// Address is where other routers connect to the router, host:port.
	Address string
	Domain  string
	Region  string
	// Server is the backend server of the router; nil until one has announced
	// itself.
	Server *ServerRow
	// Leaving means that the router receives no more shards, because it is drained
	// or shutting down.
	Leaving bool
	// Recorders are the sessions that store the records of the router, in order.
	Recorders []uint64
	// Joining are sessions that become recorders once the records have been copied
	// to them, which the router reports in Heartbeat.Copied.
	Joining []uint64
	// Gone means that the session is closed.
	Gone bool
	// Withdrawn means that the start of Server has said that it leaves.
	Withdrawn bool
}

// ServerRow is the announcement of a backend server.
type ServerRow struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// URL is the base URL of the server, reachable from its own VM.
	URL string `json:"url"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Fences means that the server refuses requests with an outdated fence.
	Fences bool `json:"fences"`
	// Cold means that the server starts cold, so its load is increased slowly. In routed
	// mode, if its service has a rate for cold servers, it means that it is cold now.
	Cold bool `json:"cold"`
	// Born is the start time of the server in milliseconds of its wall clock; 0 when
	// not reported. A server that was restarted no longer holds any keys.
	Born int64 `json:"born,omitempty"`
}

// QuarantineRow is a request fingerprint that is quarantined, or that was in flight
// when a backend server ended.
type QuarantineRow struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	Route       string `json:"route"`
	// Since is in milliseconds of the wall clock of the leader of the control group.
	Since int64 `json:"since"`
	// Gone means that the quarantine was lifted.
	Gone bool `json:"-"`
}

// UpdateQuarantines returns a copy of rows, which are by fingerprint, with the changes
// applied.
func UpdateQuarantines(rows map[string]QuarantineRow, changes []QuarantineRow) map[string]QuarantineRow {
	if len(changes) == 0 {
		return rows
	}
	updated := make(map[string]QuarantineRow, len(rows)+len(changes))
	maps.Copy(updated, rows)
	for _, row := range changes {
		if row.Gone {
			delete(updated, row.Fingerprint)
			continue
		}
		updated[row.Fingerprint] = row
	}
	return updated
}

// TableDelta changes a routing table from revision From to revision To. A full
// delta replaces the table.
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
	// Configuration is the configuration in force, if it changed.
	Configuration *Configuration
	Ranges        []RangeRow
	// Suspects are requests that were in flight when one backend server ended. They
	// run alone.
	Suspects []QuarantineRow
	// GoneProfiles and GoneServices are the names of removed profiles and services.
	GoneProfiles []string
	GoneServices []string
	// Evacuations are the failure domains that were evacuated, and those whose
	// evacuation has ended.
	Evacuations []EvacuationRow
	// Withdrawals means that the control group records which servers leave; see
	// SessionRow.Withdrawn. Earlier versions do not.
	Withdrawals bool
}

// EvacuationRow is an evacuated failure domain: its backend servers get no new requests.
type EvacuationRow struct {
	Domain string `json:"domain"`
	// By identifies the operator who gave the order.
	By string `json:"by"`
	// Since is in milliseconds of the wall clock of the leader of the control group.
	Since int64 `json:"since"`
	// Gone means that the evacuation has ended.
	Gone bool `json:"-"`
}
