package recorder

import (
	"context"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Handle serves a KindRecord or KindRecover stream of another router. It is a
// [linker.Handler].
func (r *Recorder) Handle(_ context.Context, _ *linker.Link, stream *linker.Stream) {
	switch stream.Kind() {
	case messenger.KindRecord:
		// A failed stream is reset; the owner then treats the record as not stored.
		_ = linker.Respond(stream, func(record *messenger.Record) (*messenger.RecordResponse, error) {
			return r.storeReplica(timer.Now(), record), nil
		})
	case messenger.KindRecover:
		_ = linker.Respond(stream, func(query *messenger.RecoverQuery) (*messenger.RecoverResponse, error) {
			return r.recoverResponse(timer.Now(), query), nil
		})
	}
}

// storeReplica stores entries for another owner.
func (r *Recorder) storeReplica(now timer.Instant, record *messenger.Record) *messenger.RecordResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOwnSession(record.Peer) {
		r.count("stranger", 1)
		return &messenger.RecordResponse{}
	}
	if newest := r.raiseFence(record.Shard); newest > record.Shard.Fence {
		r.count("sealed", 1)
		return &messenger.RecordResponse{Fence: newest}
	}
	if r.size()+len(record.Entries) > r.options.Entries {
		r.count("full", 1)
		return &messenger.RecordResponse{}
	}
	records := r.peers[record.Owner]
	if records == nil {
		records = newRecordSet()
		r.peers[record.Owner] = records
	}
	for i := range record.Entries {
		records.storeReplica(newEntry(now, &record.Entries[i]))
	}
	return &messenger.RecordResponse{Accepted: true}
}

// recoverResponse returns the entries of an old owner to the new one.
func (r *Recorder) recoverResponse(now timer.Instant, query *messenger.RecoverQuery) *messenger.RecoverResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOwnSession(query.Peer) {
		r.count("stranger", 1)
		return &messenger.RecoverResponse{}
	}
	for _, ref := range query.Shards {
		if r.raiseFence(ref) > ref.Fence {
			r.count("sealed", 1)
			return &messenger.RecoverResponse{}
		}
	}
	return &messenger.RecoverResponse{Accepted: true, Entries: r.selectEntries(now, query)}
}

// selectEntries returns the entries of an owner in the queried shards. The caller must
// hold r.mu.
func (r *Recorder) selectEntries(now timer.Instant, query *messenger.RecoverQuery) []messenger.RecordEntry {
	records := r.peers[query.Owner]
	if r.isOwnSession(query.Owner) {
		records = r.own
	}
	if records == nil {
		return nil
	}
	selected := newSelection(query)
	var entries []messenger.RecordEntry
	for _, e := range records.entries {
		if selected.contains(e.recordKey) && !e.isExpired(now) {
			entries = append(entries, e.message(now))
		}
	}
	return entries
}

// raiseFence registers the fence of a grant and returns the highest one seen for its
// shard. The caller must hold r.mu.
func (r *Recorder) raiseFence(ref messenger.ShardRef) uint64 {
	id := shardID{service: ref.Service, number: ref.Shard}
	r.highestFences[id] = max(r.highestFences[id], ref.Fence)
	return r.highestFences[id]
}

// isOwnSession reports whether a session is, or was, one of this process. The caller
// must hold r.mu.
func (r *Recorder) isOwnSession(session uint64) bool {
	_, ok := r.sessions[session]
	return ok
}

// selection is the set of keys that a query selects.
type selection struct {
	shards       map[shardID]struct{}
	shardCounts  map[string]uint32
	promotedKeys map[recordKey]struct{}
}

func newSelection(query *messenger.RecoverQuery) *selection {
	s := &selection{
		shards:       make(map[shardID]struct{}, len(query.Shards)),
		shardCounts:  query.Splits,
		promotedKeys: make(map[recordKey]struct{}, len(query.Keys)),
	}
	for _, ref := range query.Shards {
		s.shards[shardID{service: ref.Service, number: ref.Shard}] = struct{}{}
	}
	for _, row := range query.Keys {
		s.promotedKeys[recordKey{service: row.Service, key: row.Key}] = struct{}{}
	}
	return s
}

// contains reports whether a key is in one of the shards. Promoted keys also match
// their hash shard; returning their entries as well does no harm.
func (s *selection) contains(key recordKey) bool {
	if _, ok := s.promotedKeys[recordKey{service: key.service, key: key.key}]; ok {
		return true
	}
	shardCount := s.shardCounts[key.service]
	if shardCount == 0 {
		return false
	}
	_, ok := s.shards[shardID{service: key.service, number: hasher.Shard(key.key, shardCount)}]
	return ok
}
