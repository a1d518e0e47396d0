package linker

import (
	"sync"

	"marigoldhill/kernel/framer"
)

const (
	// maxPendingSize is the number of pending bytes above which writers of stream
	// data block. Small responses are queued behind these bytes, which delays them
	// by 64 ms at 1 MB/s.
	maxPendingSize = 64 << 10
	// maxQueuedSize is the maximum number of bytes in the queue, including those
	// being written. Only frames that respond to frames of the peer are added
	// beyond maxPendingSize.
	maxQueuedSize = 8 << 20
	// maxReusedSize is the capacity up to which a buffer is reused for the next
	// batch. Each idle connection keeps two such buffers.
	maxReusedSize = 4 << 10
)

// sendQueue holds the encoded frames that have not been written to the connection
// yet.
type sendQueue struct {
	mu         sync.Mutex
	spaceFreed sync.Cond
	pending    []byte
	// writingSize is the size of the batch returned by the last takeBatch. The next
	// call shows that this batch has been written.
	writingSize int
	sequence    uint32
	closed      bool
	ready       chan struct{}
}

func (q *sendQueue) init() {
	q.spaceFreed.L = &q.mu
	q.ready = make(chan struct{}, 1)
}

// add assigns the next sequence number to a frame and appends it; a closed queue
// drops it. It returns true for the frame that makes the queue exceed maxQueuedSize.
func (q *sendQueue) add(frame framer.Frame) bool {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return false
	}
	sizeBefore := len(q.pending) + q.writingSize
	frame.Sequence = q.sequence
	q.sequence++
	q.pending = framer.Append(q.pending, frame)
	overflows := sizeBefore <= maxQueuedSize && len(q.pending)+q.writingSize > maxQueuedSize
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return overflows
}

// takeBatch returns all pending bytes, and uses spare as the buffer for the frames
// added next.
func (q *sendQueue) takeBatch(spare []byte) []byte {
	if cap(spare) > maxReusedSize {
		spare = nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.pending
	q.writingSize = len(batch)
	q.pending = spare[:0]
	q.spaceFreed.Broadcast()
	return batch
}

// waitForSpace blocks a writer of stream data while more than maxPendingSize bytes
// are pending.
func (q *sendQueue) waitForSpace() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.pending) > maxPendingSize && !q.closed {
		q.spaceFreed.Wait()
	}
}

// close drops all pending bytes and unblocks all writers.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.pending = nil
	q.spaceFreed.Broadcast()
}
