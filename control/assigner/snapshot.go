package assigner

import (
	"bytes"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/messenger"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshot is the encoded form of a State. All lists are in a deterministic order,
// so that equal states have equal snapshots.
type snapshot struct {
	Version     int
	Revision    uint64
	Applied     uint64
	Time        int64
	Forgotten   uint64
	Sessions    []*Session
	Tables      []tableSnapshot
	Profiles    []Versioned[messenger.Profile]
	Drains      []string
	Quarantines []Versioned[messenger.QuarantineRow]
	Suspects    []Versioned[messenger.QuarantineRow]
	Answers     []storedResult
	Events      []messenger.ClusterEvent
	History     []OwnerChange
	Tombstones  []tombstone
	// Configuration is nil if there is none yet.
	Configuration *messenger.Configuration
	Source        []byte
	Configured    uint64
	Ranges        []rangesSnapshot
	// Deaths has the suspects in the order of Suspects.
	Deaths []int
	// Evacuations is absent in snapshots of versions that accepted no evacuations.
	Evacuations []Versioned[messenger.EvacuationRow]
	// Withdrawals is absent in snapshots of versions that kept none.
	Withdrawals []messenger.ServerStart
}

// tableSnapshot is the encoded form of a Table.
type tableSnapshot struct {
	Service    messenger.Service
	Revision   uint64
	Names      []string
	Keyed      []uint64
	Shards     []byte
	Recoveries []recoverySnapshot
	Measures   Measures
}

// recoverySnapshot is a recovery with its shard.
type recoverySnapshot struct {
	Shard    uint32
	Recovery recovery
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{
		Version:     snapshotVersion,
		Revision:    s.revision,
		Applied:     s.applied,
		Time:        s.time,
		Forgotten:   s.compactRevision,
		Sessions:    s.Sessions(),
		Profiles:    sortedValues(s.profiles),
		Drains:      sortedKeys(s.drains),
		Quarantines: sortedValues(s.quarantines),
		Suspects:    sortedValues(s.suspects),
		Answers:     s.results.values,
		Events:      s.events.values,
		History:     s.history.values,
		Tombstones:  s.tombstones.values,

		Configuration: s.configuration,
		Source:        s.source,
		Configured:    s.configured,
		Evacuations:   s.Evacuations(),
		Withdrawals:   s.withdrawals.values,
	}
	for _, suspect := range image.Suspects {
		image.Deaths = append(image.Deaths, s.deaths[suspect.Value.Fingerprint])
	}
	for _, r := range s.AllRanges() {
		image.Ranges = append(image.Ranges, r.snapshot())
	}
	for _, t := range s.Tables() {
		image.Tables = append(image.Tables, t.snapshot())
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&image); err != nil {
		return nil, Error.New("encoding a snapshot: %w", err)
	}
	return buffer.Bytes(), nil
}

func (t *Table) snapshot() tableSnapshot {
	image := tableSnapshot{
		Service:  t.Service,
		Revision: t.Revision,
		Names:    t.keySlots,
		Shards:   t.encodeShards(),
		Measures: t.measures,
	}
	for _, name := range t.keySlots {
		image.Keyed = append(image.Keyed, t.promotedAt[name])
	}
	for _, number := range sortedNumbers(t.recoveries) {
		image.Recoveries = append(image.Recoveries, recoverySnapshot{Shard: number, Recovery: *t.recoveries[number]})
	}
	return image
}

// encodeShards run-length encodes the shards: each run has its length and the
// fields that its shards share.
func (t *Table) encodeShards() []byte {
	var data []byte
	for number := uint32(0); number < t.Size(); {
		next := t.next[number]
		run := uint32(1)
		for number+run < t.Size() && t.shards[number+run] == t.shards[number] && t.next[number+run] == next {
			run++
		}
		data = appendRun(data, &t.shards[number], next, run)
		number += run
	}
	return data
}

// runFields is the number of fields of a run.
const runFields = 8

func appendRun(data []byte, entry *shard, next uint64, run uint32) []byte {
	flags := uint64(entry.cause)<<8 | uint64(entry.phase)<<1
	if entry.recorded {
		flags |= 1
	}
	for _, value := range []uint64{uint64(run), flags, entry.owner, entry.fence, entry.changed, entry.last, uint64(entry.since), next} {
		data = binary.AppendUvarint(data, value)
	}
	return data
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var image snapshot
	if err := decoder.Unmarshal(data, &image); err != nil {
		return Error.New("decoding a snapshot: %w", err)
	}
	if image.Version != snapshotVersion {
		return Error.New("snapshot has version %d, this program reads %d", image.Version, snapshotVersion)
	}
	fresh := New()
	if err := fresh.load(&image); err != nil {
		return err
	}
	*s = *fresh
	return nil
}

func (s *State) load(image *snapshot) error {
	s.revision = image.Revision
	s.applied = image.Applied
	s.time = image.Time
	s.compactRevision = image.Forgotten
	s.results.values = image.Answers
	s.events.values = image.Events
	s.history.values = image.History
	s.tombstones.values = image.Tombstones
	s.configuration = image.Configuration
	s.source = image.Source
	s.configured = image.Configured
	for _, r := range image.Ranges {
		s.loadRanges(r)
	}
	s.recent.reset(image.Revision)
	for _, session := range image.Sessions {
		s.sessions[session.Row.Session] = session
		s.routers[session.Row.Router] = session.Row.Session
	}
	for _, profile := range image.Profiles {
		s.profiles[profile.Value.Name] = profile
	}
	for _, server := range image.Drains {
		s.drains[server] = true
	}
	for _, row := range image.Evacuations {
		s.evacuations[row.Value.Domain] = row
	}
	s.withdrawals.values = image.Withdrawals
	for _, start := range image.Withdrawals {
		s.withdrawn[start] = true
	}
	for _, row := range image.Quarantines {
		s.quarantines[row.Value.Fingerprint] = row
	}
	for n, row := range image.Suspects {
		s.suspects[row.Value.Fingerprint] = row
		if n < len(image.Deaths) && image.Deaths[n] > 0 {
			s.deaths[row.Value.Fingerprint] = image.Deaths[n]
		}
	}
	for n := range image.Tables {
		if err := s.loadTable(&image.Tables[n]); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) loadTable(image *tableSnapshot) error {
	t := newTable(image.Service)
	t.Revision = image.Revision
	t.keySlots = image.Names
	t.measures = image.Measures
	t.shards = make([]shard, int(image.Service.Shards)+len(image.Names))
	t.free = 0
	for n, name := range image.Names {
		if name != "" {
			t.shardOfKey[name] = image.Service.Shards + uint32(n)
			t.promotedAt[name] = image.Keyed[n]
		}
	}
	if err := t.decodeShards(image.Shards); err != nil {
		return Error.New("service %q: %w", image.Service.Name, err)
	}
	for _, entry := range image.Recoveries {
		pending := entry.Recovery
		t.recoveries[entry.Shard] = &pending
	}
	for number := range t.Size() {
		t.changed = max(t.changed, t.shards[number].changed)
		if t.InUse(number) {
			s.count(t, &t.shards[number], 1)
		}
	}
	s.tables[image.Service.Name] = t
	return nil
}

var errMalformedShards = Error.New("malformed shard list")

// decodeShards decodes the runs written by encodeShards.
func (t *Table) decodeShards(data []byte) error {
	number := uint64(0)
	for len(data) > 0 {
		var fields [runFields]uint64
		for n := range fields {
			value, size := binary.Uvarint(data)
			if size <= 0 {
				return errMalformedShards
			}
			fields[n] = value
			data = data[size:]
		}
		if fields[0] > uint64(t.Size())-number {
			return errMalformedShards
		}
		for range fields[0] {
			t.loadShard(uint32(number), &fields)
			number++
		}
	}
	if number != uint64(t.Size()) {
		return errMalformedShards
	}
	return nil
}

func (t *Table) loadShard(number uint32, fields *[runFields]uint64) {
	t.shards[number] = shard{
		phase:    messenger.Phase(fields[1] >> 1 & 0x7f),
		cause:    Cause(fields[1] >> 8),
		recorded: fields[1]&1 != 0,
		owner:    fields[2],
		fence:    fields[3],
		changed:  fields[4],
		last:     fields[5],
		since:    int64(fields[6]),
	}
	if fields[7] != 0 {
		t.next[number] = fields[7]
	}
}
