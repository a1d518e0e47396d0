// Package assigner holds the state that the control group replicates: sessions
// of routers, ownership of shards, promoted keys, recorder sets, profiles,
// services, quarantines, drains, evacuations and events.
//
// [State.Apply] is deterministic: it depends only on the state, the log index
// and the command, so all replicas that have applied the same log have the same
// state. Wall-clock times are part of the commands. A command whose preconditions
// no longer hold, such as a grant of a shard that has been given an owner since,
// is a no-op, so a command of an earlier leader that is committed late is
// harmless.
//
// Session numbers, fences of grants and revisions of profiles are log indexes and
// are therefore never reused.
//
// # Usage
//
//	state := assigner.New()
//	data, err := assigner.Encode(&assigner.Command{Time: now, Open: &assigner.Open{...}})
//	result := state.Apply(index, data)
//	delta, more := state.Delta(from, assigner.MaxDeltaRows)
package assigner

import (
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assigner")

const (
	// MaxEvents is the number of events kept.
	MaxEvents = 1024
	// MaxStoredResults is the number of results of operators' changes kept for retries.
	MaxStoredResults = 1024
	// MaxTombstones is the number of removals kept for deltas.
	MaxTombstones = 16384
	// MaxRecentChanges is the number of recent shard changes kept, so that small deltas
	// need no scan of the tables.
	MaxRecentChanges = 65536
	// MaxSuspects is the number of fingerprints kept that were in flight at one
	// crash of a backend server.
	MaxSuspects = 4096
	// MaxHistory is the number of owner changes kept for explanations.
	MaxHistory = 256
	// MaxEvacuations is the number of failure domains that can be evacuated at once.
	// It bounds the rows in full deltas and far exceeds the domains of a deployment.
	MaxEvacuations = 64
	// MaxWithdrawals is the number of starts of backend servers kept that leave. Late
	// announcements of older ones no longer arrive.
	MaxWithdrawals = 4096
	// MaxDeltaRows is the number of shard rows after which a delta is truncated.
	MaxDeltaRows = 16384
)

// Versioned is a value with the revision at which it last changed.
type Versioned[T any] struct {
	Value    T
	Revision uint64
}

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	// revision is the log index of the last command that changed the routing table.
	revision uint64
	// applied is the log index of the last applied command.
	applied uint64
	// time is the latest time of any applied command, in milliseconds.
	time int64

	sessions map[uint64]*Session
	// sorted caches the sessions in order; nil when it must be rebuilt.
	sorted   []*Session
	routers  map[string]uint64
	tables   map[string]*Table
	profiles map[string]Versioned[messenger.Profile]
	drains   map[string]bool
	// withdrawn are the starts of backend servers that leave, withdrawals the same in
	// order.
	withdrawn   map[messenger.ServerStart]bool
	withdrawals ring[messenger.ServerStart]
	// evacuations are the evacuated failure domains.
	evacuations map[string]Versioned[messenger.EvacuationRow]

	// configuration is the active configuration and source its text as the
	// operator sent it; configured is the revision of both.
	configuration *messenger.Configuration
	source        []byte
	configured    uint64
	ranges        map[string]*Ranges

	quarantines map[string]Versioned[messenger.QuarantineRow]
	suspects    map[string]Versioned[messenger.QuarantineRow]
	// deaths is the number of crashes that each suspect was in flight at.
	deaths map[string]int

	results    ring[storedResult]
	events     ring[messenger.ClusterEvent]
	history    ring[OwnerChange]
	tombstones ring[tombstone]
	// compactRevision is the highest revision of a dropped tombstone. Deltas
	// from an earlier revision must be full.
	compactRevision uint64

	recent recentShards
	deltas deltaCache
}

func New() *State {
	return &State{
		sessions:    make(map[uint64]*Session),
		routers:     make(map[string]uint64),
		tables:      make(map[string]*Table),
		profiles:    make(map[string]Versioned[messenger.Profile]),
		drains:      make(map[string]bool),
		withdrawn:   make(map[messenger.ServerStart]bool),
		withdrawals: ring[messenger.ServerStart]{limit: MaxWithdrawals},
		evacuations: make(map[string]Versioned[messenger.EvacuationRow]),
		ranges:      make(map[string]*Ranges),
		quarantines: make(map[string]Versioned[messenger.QuarantineRow]),
		suspects:    make(map[string]Versioned[messenger.QuarantineRow]),
		deaths:      make(map[string]int),
		results:     ring[storedResult]{limit: MaxStoredResults},
		events:      ring[messenger.ClusterEvent]{limit: MaxEvents},
		history:     ring[OwnerChange]{limit: MaxHistory},
		tombstones:  ring[tombstone]{limit: MaxTombstones},
	}
}

// Revision returns the revision of the routing table.
func (s *State) Revision() uint64 {
	return s.revision
}

// Applied returns the log index of the last applied command.
func (s *State) Applied() uint64 {
	return s.applied
}

// Time returns the latest time of any applied command, in milliseconds.
func (s *State) Time() int64 {
	return s.time
}
