package supervisor_test

import (
	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
)

// deltaReader is a routing table that follows a state by deltas of a few rows.
type deltaReader struct {
	revision uint64
	rows     deltaRows
}

type deltaRows struct {
	Sessions    map[uint64]messenger.SessionRow
	Shards      map[messenger.ShardRef]messenger.ShardRow
	Keys        map[string]uint32
	Profiles    map[string]messenger.Profile
	Services    map[string]messenger.Service
	Quarantines map[string]bool
	Suspects    map[string]bool
}

func newDeltaReader() *deltaReader {
	return &deltaReader{rows: deltaRows{
		Sessions:    make(map[uint64]messenger.SessionRow),
		Shards:      make(map[messenger.ShardRef]messenger.ShardRow),
		Keys:        make(map[string]uint32),
		Profiles:    make(map[string]messenger.Profile),
		Services:    make(map[string]messenger.Service),
		Quarantines: make(map[string]bool),
		Suspects:    make(map[string]bool),
	}}
}

// follow applies deltas until there are no more.
func (r *deltaReader) follow(c *chaos, state *assigner.State, limit int) {
	for {
		delta, more := state.Delta(r.revision, limit)
		if delta == nil {
			return
		}
		qt.Assert(c.h.t, delta.Full || delta.From == r.revision, qt.IsTrue)
		qt.Assert(c.h.t, delta.To > r.revision, qt.IsTrue)
		if delta.Full {
			*r = *newDeltaReader()
			c.counts["full deltas"]++
		}
		r.apply(delta)
		c.counts["deltas"]++
		if !more {
			return
		}
	}
}

func (r *deltaReader) apply(delta *messenger.TableDelta) {
	r.revision = delta.To
	for _, row := range delta.Sessions {
		set(r.rows.Sessions, row.Session, row, row.Gone)
	}
	for _, row := range delta.Shards {
		set(r.rows.Shards, messenger.ShardRef{Service: row.Service, Shard: row.Shard}, row, row.Phase == messenger.PhaseFree)
	}
	for _, row := range delta.Keys {
		set(r.rows.Keys, row.Key, row.Shard, row.Gone)
	}
	for _, profile := range delta.Profiles {
		r.rows.Profiles[profile.Name] = profile
	}
	for _, name := range delta.GoneProfiles {
		delete(r.rows.Profiles, name)
	}
	for _, service := range delta.Services {
		r.rows.Services[service.Name] = service
	}
	for _, row := range delta.Quarantines {
		set(r.rows.Quarantines, row.Fingerprint, true, row.Gone)
	}
	for _, row := range delta.Suspects {
		set(r.rows.Suspects, row.Fingerprint, true, row.Gone)
	}
}

func set[K comparable, V any](values map[K]V, key K, value V, gone bool) {
	if gone {
		delete(values, key)
		return
	}
	values[key] = value
}
