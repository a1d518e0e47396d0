package recorder

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// id names a request by what its caller chose.
type id struct {
	service     string
	key         string
	idempotency string
}

func idOf(e *messenger.RecordEntry) id {
	return id{service: e.Service, key: e.Key, idempotency: e.Idempotency}
}

// entry is the record of one request.
type entry struct {
	id    id
	print string
	state messenger.RecordState
	// attempt orders the attempts of one owner.
	attempt   uint64
	made      timer.Instant
	retention time.Duration
	// kept is the answer, nil when there is none or it is too large.
	kept *kept
	// run is the run in progress at this router, nil without one.
	run *Run
	// reason is why the outcome of a run that ended is unknown.
	reason messenger.Reason
}

// kept is the answer of a request that ran.
type kept struct {
	status int
	header []messenger.Header
	body   []byte
}

// age is how long ago the record was made. It goes by the monotonic clock
// alone: a wall clock that is set forward must not end the retention early.
func (e *entry) age(now timer.Instant) time.Duration {
	return now.Mono - e.made.Mono
}

// isExpired reports whether the record need not be kept any more.
func (e *entry) isExpired(now timer.Instant) bool {
	return e.run == nil && e.age(now) >= e.retention
}

// message is the entry as it is sent at now.
func (e *entry) message(now timer.Instant) messenger.RecordEntry {
	message := messenger.RecordEntry{
		Service:     e.id.service,
		Key:         e.id.key,
		Idempotency: e.id.idempotency,
		Print:       e.print,
		State:       e.state,
		Large:       e.state == messenger.RecordDone && e.kept == nil,
		Run:         e.attempt,
		Age:         e.age(now),
		Retention:   e.retention,
	}
	if e.kept != nil {
		message.Status = e.kept.status
		message.Header = e.kept.header
		message.Body = e.kept.body
	}
	return message
}

func entryOf(now timer.Instant, message *messenger.RecordEntry) *entry {
	e := &entry{
		id:        idOf(message),
		print:     message.Print,
		state:     message.State,
		attempt:   message.Run,
		made:      now.Add(-message.Age),
		retention: message.Retention,
	}
	if message.State == messenger.RecordDone && !message.Large {
		e.kept = &kept{status: message.Status, header: message.Header, body: message.Body}
	}
	return e
}

// bucketTime is how exactly entries expire.
const bucketTime = time.Second

// book is a set of entries. It is not safe for concurrent use.
type book struct {
	entries map[id]*entry
	// buckets hold the entries by the end of their retention, so that expiry
	// looks at each of them once.
	buckets map[int64][]*entry
}

func newBook() *book {
	return &book{entries: make(map[id]*entry), buckets: make(map[int64][]*entry)}
}

func (b *book) get(now timer.Instant, key id) *entry {
	e := b.entries[key]
	if e == nil || e.isExpired(now) {
		return nil
	}
	return e
}

// put adds an entry, in place of an earlier one.
func (b *book) put(e *entry) {
	b.entries[e.id] = e
	bucket := bucketOf(e.made.Add(e.retention))
	b.buckets[bucket] = append(b.buckets[bucket], e)
}

// store takes an entry that the owner of the book sent. Entries may arrive out
// of order.
func (b *book) store(e *entry) {
	old := b.entries[e.id]
	if old != nil && (old.attempt > e.attempt || old.state == messenger.RecordDone) {
		return
	}
	if e.state == messenger.RecordRefused {
		delete(b.entries, e.id)
		return
	}
	b.put(e)
}

// adopt takes an entry of an earlier owner. What is known of a finished request
// is never replaced by less.
func (b *book) adopt(e *entry) {
	old := b.entries[e.id]
	if old != nil && (old.run != nil || old.state == messenger.RecordDone) {
		return
	}
	b.put(e)
}

// remove takes an entry out, if it is the newest of its id.
func (b *book) remove(e *entry) {
	if b.entries[e.id] == e {
		delete(b.entries, e.id)
	}
}

// expire drops the entries whose retention is over and returns how many.
func (b *book) expire(now timer.Instant) int {
	last := bucketOf(now) - 1
	total := 0
	for bucket := range b.buckets {
		if bucket > last {
			continue
		}
		total += b.sweep(now, bucket)
	}
	return total
}

func (b *book) sweep(now timer.Instant, bucket int64) int {
	total := 0
	var left []*entry
	for _, e := range b.buckets[bucket] {
		switch {
		case b.entries[e.id] != e:
		case e.isExpired(now):
			delete(b.entries, e.id)
			total++
		default:
			left = append(left, e)
		}
	}
	delete(b.buckets, bucket)
	if len(left) > 0 {
		next := bucketOf(now) + 1
		b.buckets[next] = append(b.buckets[next], left...)
	}
	return total
}

// bucketOf is the bucket of an instant, by the clock that does not jump.
func bucketOf(at timer.Instant) int64 {
	return int64(at.Mono / bucketTime)
}
