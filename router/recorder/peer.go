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
		// A stream that fails is reset; its owner counts the record as not
		// stored.
		_ = linker.Answer(stream, func(record *messenger.Record) (*messenger.RecordAnswer, error) {
			return r.store(timer.Now(), record), nil
		})
	case messenger.KindRecover:
		_ = linker.Answer(stream, func(query *messenger.RecoverQuery) (*messenger.RecoverAnswer, error) {
			return r.answer(timer.Now(), query), nil
		})
	}
}

// store takes the entries of another owner.
func (r *Recorder) store(now timer.Instant, record *messenger.Record) *messenger.RecordAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOwnSession(record.Peer) {
		r.count("stranger", 1)
		return &messenger.RecordAnswer{}
	}
	if newest := r.seal(record.Shard); newest > record.Shard.Fence {
		r.count("sealed", 1)
		return &messenger.RecordAnswer{Fence: newest}
	}
	if r.size()+len(record.Entries) > r.options.Entries {
		r.count("full", 1)
		return &messenger.RecordAnswer{}
	}
	kept := r.peers[record.Owner]
	if kept == nil {
		kept = newBook()
		r.peers[record.Owner] = kept
	}
	for i := range record.Entries {
		kept.store(entryOf(now, &record.Entries[i]))
	}
	return &messenger.RecordAnswer{Accepted: true}
}

// answer reads the entries of an old owner for the new one.
func (r *Recorder) answer(now timer.Instant, query *messenger.RecoverQuery) *messenger.RecoverAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOwnSession(query.Peer) {
		r.count("stranger", 1)
		return &messenger.RecoverAnswer{}
	}
	for _, ref := range query.Shards {
		if r.seal(ref) > ref.Fence {
			r.count("sealed", 1)
			return &messenger.RecoverAnswer{}
		}
	}
	return &messenger.RecoverAnswer{Accepted: true, Entries: r.selectEntries(now, query)}
}

// selectEntries lists the entries of an owner for some shards. It needs the
// lock.
func (r *Recorder) selectEntries(now timer.Instant, query *messenger.RecoverQuery) []messenger.RecordEntry {
	source := r.peers[query.Owner]
	if r.isOwnSession(query.Owner) {
		source = r.own
	}
	if source == nil {
		return nil
	}
	wanted := newSelection(query)
	var entries []messenger.RecordEntry
	for _, e := range source.entries {
		if wanted.has(e.id) && !e.isExpired(now) {
			entries = append(entries, e.message(now))
		}
	}
	return entries
}

// seal notes the fence of a grant and returns the newest that was seen. It
// needs the lock.
func (r *Recorder) seal(ref messenger.ShardRef) uint64 {
	place := shard{service: ref.Service, number: ref.Shard}
	r.seals[place] = max(r.seals[place], ref.Fence)
	return r.seals[place]
}

// isOwnSession needs the lock.
func (r *Recorder) isOwnSession(session uint64) bool {
	_, ok := r.sessions[session]
	return ok
}

// selection is the set of keys that a query asks for.
type selection struct {
	shards map[shard]struct{}
	splits map[string]uint32
	own    map[id]struct{}
}

func newSelection(query *messenger.RecoverQuery) *selection {
	s := &selection{
		shards: make(map[shard]struct{}, len(query.Shards)),
		splits: query.Splits,
		own:    make(map[id]struct{}, len(query.Keys)),
	}
	for _, ref := range query.Shards {
		s.shards[shard{service: ref.Service, number: ref.Shard}] = struct{}{}
	}
	for _, row := range query.Keys {
		s.own[id{service: row.Service, key: row.Key}] = struct{}{}
	}
	return s
}

// has reports whether a key is in one of the shards. Keys with a shard of their
// own are given with their old hash shard as well, which does no harm.
func (s *selection) has(key id) bool {
	if _, ok := s.own[id{service: key.service, key: key.key}]; ok {
		return true
	}
	split := s.splits[key.service]
	if split == 0 {
		return false
	}
	_, ok := s.shards[shard{service: key.service, number: hasher.Shard(key.key, split)}]
	return ok
}
