// Package assigner holds the state that the control group replicates: sessions
// of routers, ownership of shards, promoted keys, recorder sets, profiles,
// services, quarantines, drains and events.
//
// [State.Apply] is deterministic: it uses nothing but the state, the log index
// and the command, so each replica that applied the same log holds the same
// state. Wall-clock times are part of the commands. A command that no longer
// fits the state, such as a grant of a shard that got an owner meanwhile, changes
// nothing; so a command of an earlier leader that is committed late does no harm.
//
// The number of a session, the fence of a grant and the revision of a profile are
// log indexes, so none is ever used twice.
//
// # Usage
//
//	state := assigner.New("derwent")
//	data, err := assigner.Encode(&assigner.Command{Time: now, Open: &assigner.Open{...}})
//	result := state.Apply(index, data)
//	delta, more := state.Delta(from, assigner.DeltaRows)
package assigner

import (
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assigner")

const (
	// MaxEvents is how many events are kept.
	MaxEvents = 1024
	// MaxAnswers is how many answers to operators' changes are kept for resends.
	MaxAnswers = 1024
	// MaxTombstones is how many removals are kept for deltas.
	MaxTombstones = 16384
	// MaxRecent is how many changed shards are kept for cheap deltas.
	MaxRecent = 65536
	// MaxSuspects is how many fingerprints that were at one death are kept.
	MaxSuspects = 4096
	// MaxHistory is how many changes of owner are kept for explanations.
	MaxHistory = 256
	// DeltaRows is the number of shard rows after which a delta is cut.
	DeltaRows = 16384
)

// Versioned is a value with the revision of its last change.
type Versioned[T any] struct {
	Value    T
	Revision uint64
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	// revision is the index of the last command that changed the routing table.
	revision uint64
	// applied is the index of the last command.
	applied uint64
	// time is the newest time of a command in milliseconds.
	time int64

	sessions map[uint64]*Session
	// sorted is the list of sessions in order, nil when it must be made anew.
	sorted   []*Session
	routers  map[string]uint64
	tables   map[string]*Table
	profiles map[string]Versioned[messenger.Profile]
	drains   map[string]bool

	// configuration is the whole configuration in force and source what the
	// operator sent; configured is the revision of both.
	configuration *messenger.Configuration
	source        []byte
	configured    uint64
	ranges        map[string]*Ranges

	quarantines map[string]Versioned[messenger.QuarantineRow]
	suspects    map[string]Versioned[messenger.QuarantineRow]

	answers    ring[keptAnswer]
	events     ring[messenger.ClusterEvent]
	history    ring[OwnerChange]
	tombstones ring[tombstone]
	// forgotten is the newest revision of a tombstone that was dropped.
	forgotten uint64

	recent recentShards
	deltas deltaCache
}

// New returns an empty state.
func New() *State {
	return &State{
		sessions:    make(map[uint64]*Session),
		routers:     make(map[string]uint64),
		tables:      make(map[string]*Table),
		profiles:    make(map[string]Versioned[messenger.Profile]),
		drains:      make(map[string]bool),
		ranges:      make(map[string]*Ranges),
		quarantines: make(map[string]Versioned[messenger.QuarantineRow]),
		suspects:    make(map[string]Versioned[messenger.QuarantineRow]),
		answers:     ring[keptAnswer]{limit: MaxAnswers},
		events:      ring[messenger.ClusterEvent]{limit: MaxEvents},
		history:     ring[OwnerChange]{limit: MaxHistory},
		tombstones:  ring[tombstone]{limit: MaxTombstones},
	}
}

// Revision is the revision of the routing table.
func (s *State) Revision() uint64 {
	return s.revision
}

// Applied is the index of the last command.
func (s *State) Applied() uint64 {
	return s.applied
}

// Time is the newest time that a command carried, in milliseconds.
func (s *State) Time() int64 {
	return s.time
}
