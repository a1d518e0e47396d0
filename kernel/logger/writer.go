package logger

import (
	"io"
	"sync"
)

const (
	// maxQueuedBytes is the maximum size of the lines that wait for the output. When
	// the output is blocked for long, lines are dropped, so that requests are never
	// delayed.
	maxQueuedBytes = 1 << 20
	// maxSpareBytes is the largest buffer that is reused for the next lines.
	maxSpareBytes = 64 << 10
)

// writer writes lines to an output asynchronously, from a goroutine that runs while
// lines are queued. Lines that exceed maxQueuedBytes are dropped and counted.
type writer struct {
	output io.Writer

	mu      sync.Mutex
	idle    sync.Cond
	queued  []byte
	spare   []byte
	dropped int
	writing bool
	closed  bool
}

func newWriter(output io.Writer) *writer {
	w := &writer{output: output}
	w.idle.L = &w.mu
	return w
}

// Write implements io.Writer. It never blocks.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queued)+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	w.queued = append(w.queued, line...)
	if !w.writing {
		w.writing = true
		go w.flush()
	}
	return len(line), nil
}

// takeDropped returns the number of lines dropped since the last call.
func (w *writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := w.dropped
	w.dropped = 0
	return dropped
}

// flush writes lines until none are queued.
func (w *writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) > 0 {
		lines := w.queued
		w.queued = w.spare[:0]
		w.mu.Unlock()
		// There is nowhere else to report a failing output.
		_, _ = w.output.Write(lines)
		w.mu.Lock()
		w.spare = lines
		if cap(lines) > maxSpareBytes {
			w.spare = nil
		}
	}
	w.writing = false
	w.idle.Broadcast()
}

// close waits until the queued lines are written. Later lines are dropped.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for w.writing {
		w.idle.Wait()
	}
}
