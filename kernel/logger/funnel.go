package logger

import (
	"io"
	"sync"
)

const (
	// maxQueued is how many bytes of lines wait for the output. A reader that
	// takes nothing for long costs lines, and never time of a request.
	maxQueued = 1 << 20
	// spareSize is the largest buffer that is kept for the next lines.
	spareSize = 64 << 10
)

// funnel writes lines to an output from a goroutine that runs while there are
// any. Lines that find no room are dropped and counted.
type funnel struct {
	output io.Writer

	mu      sync.Mutex
	idle    sync.Cond
	queued  []byte
	spare   []byte
	dropped int
	writing bool
	closed  bool
}

func newFunnel(output io.Writer) *funnel {
	f := &funnel{output: output}
	f.idle.L = &f.mu
	return f
}

// Write implements io.Writer. It never blocks.
func (f *funnel) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.queued)+len(line) > maxQueued {
		f.dropped++
		return len(line), nil
	}
	f.queued = append(f.queued, line...)
	if !f.writing {
		f.writing = true
		go f.drain()
	}
	return len(line), nil
}

// takeDropped returns how many lines were dropped since the last call.
func (f *funnel) takeDropped() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	dropped := f.dropped
	f.dropped = 0
	return dropped
}

// drain writes lines until there are none left.
func (f *funnel) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.queued) > 0 {
		lines := f.queued
		f.queued = f.spare[:0]
		f.mu.Unlock()
		// An output that fails leaves nowhere to say so.
		_, _ = f.output.Write(lines)
		f.mu.Lock()
		f.spare = lines
		if cap(lines) > spareSize {
			f.spare = nil
		}
	}
	f.writing = false
	f.idle.Broadcast()
}

// close waits until what is queued is written. Later lines are dropped.
func (f *funnel) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for f.writing {
		f.idle.Wait()
	}
}
