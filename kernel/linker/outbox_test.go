package linker

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/framer"
)

// A writer that runs late has taken a large batch which the peer does not read.
// Those bytes are still held in memory, so they count against the bound.
func TestOutboxCountsTheBatchBeingWritten(t *testing.T) {
	frame := framer.Frame{Type: framer.TypeData, Payload: make([]byte, framer.MaxPayload)}
	fill := func(box *outbox, size int) (overflowed bool) {
		for box.mu.Lock(); len(box.pending) < size; box.mu.Lock() {
			box.mu.Unlock()
			overflowed = box.add(frame) || overflowed
		}
		box.mu.Unlock()
		return overflowed
	}
	tests := []struct {
		name    string
		written bool
		want    bool
	}{
		{name: "batch is still being written", want: true},
		{name: "batch was written", written: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			box := new(outbox)
			box.init()
			qt.Assert(t, fill(box, overflow/2), qt.IsFalse)
			box.take(nil)
			if test.written {
				box.take(nil)
			}
			qt.Assert(t, fill(box, overflow/2), qt.Equals, test.want)
		})
	}
}
