package pacer

import "time"

// Load is the state of a link.
type Load struct {
	// Backlog is how long the link needs to send what was written.
	Backlog time.Duration
	// Waiting is the total size in bytes of the chunks of large writes that wait.
	Waiting int
	// Written is the total size in bytes of everything written so far, Paced that of the
	// chunks of large writes in it, which give way to small writes.
	Written uint64
	Paced   uint64
}

// Rate returns the rate in bytes per second at which the link sends what is written, or 0
// if it has no limit.
func (b *Bucket) Rate() float64 {
	return b.payloadRate
}

// Backlog returns how long the link needs to send what was written. Chunks of large writes
// that still wait don't count, since small writes are sent before them.
func (b *Bucket) Backlog(now time.Time) time.Duration {
	return b.Load(now).Backlog
}

// Load returns the state of the link.
func (b *Bucket) Load(now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Load{Backlog: max(b.sentAt.Sub(now), 0), Waiting: b.waiting, Written: b.written, Paced: b.paced}
}

// countWritten accounts for size bytes that are passed to the link. paced is set for a
// chunk of a large write.
func (b *Bucket) countWritten(now time.Time, size int, paced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sentAt.Before(now) {
		b.sentAt = now
	}
	b.sentAt = b.sentAt.Add(time.Duration(float64(size) / b.payloadRate * float64(time.Second)))
	b.written += uint64(size)
	if paced {
		b.paced += uint64(size)
	}
}

// addWaiting changes the total size of the chunks that wait.
func (b *Bucket) addWaiting(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += size
}
