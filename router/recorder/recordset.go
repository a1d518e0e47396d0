package recorder

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// recordKey identifies a request by the values that its caller chose.
type recordKey struct {
	service        string
	key            string
	idempotencyKey string
}

func recordKeyOf(record *messenger.RecordEntry) recordKey {
	return recordKey{service: record.Service, key: record.Key, idempotencyKey: record.Idempotency}
}

// entry is the record of one request.
type entry struct {
	recordKey recordKey
	// print is the fingerprint of the request.
	print string
	state messenger.RecordState
	// attempt orders the attempts of one owner.
	attempt   uint64
	createdAt timer.Instant
	retention time.Duration
	// storedResponse is the response, nil if there is none or it is too large.
	storedResponse *storedResponse
	// run is the run in progress at this router, nil without one.
	run *Run
	// reason is why the outcome of a finished run is unknown.
	reason messenger.Reason
}

// storedResponse is the response to a request that ran.
type storedResponse struct {
	status int
	header []messenger.Header
	body   []byte
}

// age returns the time since the record was created. It uses only the monotonic clock:
// a wall clock that is set forward must not end the retention early.
func (e *entry) age(now timer.Instant) time.Duration {
	return now.Mono - e.createdAt.Mono
}

// isExpired reports whether the retention of a finished request is over.
func (e *entry) isExpired(now timer.Instant) bool {
	return e.run == nil && e.age(now) >= e.retention
}

// message returns the entry in its wire form at now.
func (e *entry) message(now timer.Instant) messenger.RecordEntry {
	message := messenger.RecordEntry{
		Service:     e.recordKey.service,
		Key:         e.recordKey.key,
		Idempotency: e.recordKey.idempotencyKey,
		Print:       e.print,
		State:       e.state,
		Large:       e.state == messenger.RecordDone && e.storedResponse == nil,
		Run:         e.attempt,
		Age:         e.age(now),
		Retention:   e.retention,
	}
	if e.storedResponse != nil {
		message.Status = e.storedResponse.status
		message.Header = e.storedResponse.header
		message.Body = e.storedResponse.body
	}
	return message
}

func newEntry(now timer.Instant, message *messenger.RecordEntry) *entry {
	record := &entry{
		recordKey: recordKeyOf(message),
		print:     message.Print,
		state:     message.State,
		attempt:   message.Run,
		createdAt: now.Add(-message.Age),
		retention: message.Retention,
	}
	if message.State == messenger.RecordDone && !message.Large {
		record.storedResponse = &storedResponse{status: message.Status, header: message.Header, body: message.Body}
	}
	return record
}

// bucketDuration is the granularity of expiry.
const bucketDuration = time.Second

// recordSet is a set of entries. It is not safe for concurrent use.
type recordSet struct {
	entries map[recordKey]*entry
	// buckets hold the entries by the end of their retention, so that expiry visits
	// each of them only once.
	buckets map[int64][]*entry
}

func newRecordSet() *recordSet {
	return &recordSet{entries: make(map[recordKey]*entry), buckets: make(map[int64][]*entry)}
}

func (s *recordSet) get(now timer.Instant, id recordKey) *entry {
	record := s.entries[id]
	if record == nil || record.isExpired(now) {
		return nil
	}
	return record
}

// put adds an entry and replaces an earlier one with the same ID.
func (s *recordSet) put(record *entry) {
	s.entries[record.recordKey] = record
	bucket := bucketOf(record.createdAt.Add(record.retention))
	s.buckets[bucket] = append(s.buckets[bucket], record)
}

// storeReplica stores an entry that the owner of the records sent. Entries may arrive
// out of order.
func (s *recordSet) storeReplica(record *entry) {
	old := s.entries[record.recordKey]
	if old != nil && (old.attempt > record.attempt || old.state == messenger.RecordDone) {
		return
	}
	if record.state == messenger.RecordRefused {
		delete(s.entries, record.recordKey)
		return
	}
	s.put(record)
}

// addRecovered adds an entry of an earlier owner. It never replaces the result of a
// finished request, nor a run in progress.
func (s *recordSet) addRecovered(record *entry) {
	old := s.entries[record.recordKey]
	if old != nil && (old.run != nil || old.state == messenger.RecordDone) {
		return
	}
	s.put(record)
}

// remove deletes an entry if it is the newest with its ID.
func (s *recordSet) remove(record *entry) {
	if s.entries[record.recordKey] == record {
		delete(s.entries, record.recordKey)
	}
}

// expire deletes the entries whose retention is over and returns their number.
func (s *recordSet) expire(now timer.Instant) int {
	last := bucketOf(now) - 1
	total := 0
	for bucket := range s.buckets {
		if bucket > last {
			continue
		}
		total += s.expireBucket(now, bucket)
	}
	return total
}

func (s *recordSet) expireBucket(now timer.Instant, bucket int64) int {
	total := 0
	var remaining []*entry
	for _, e := range s.buckets[bucket] {
		switch {
		case s.entries[e.recordKey] != e:
		case e.isExpired(now):
			delete(s.entries, e.recordKey)
			total++
		default:
			remaining = append(remaining, e)
		}
	}
	delete(s.buckets, bucket)
	if len(remaining) > 0 {
		next := bucketOf(now) + 1
		s.buckets[next] = append(s.buckets[next], remaining...)
	}
	return total
}

// bucketOf returns the bucket of an instant on the monotonic clock.
func bucketOf(instant timer.Instant) int64 {
	return int64(instant.Mono / bucketDuration)
}
