package linker

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/framer"
)

// A batch that the writer has taken and the peer does not read stays in memory, so
// it must count against maxQueuedSize until it is written.
func TestSendQueueCountsBatchBeingWritten(t *testing.T) {
	frame := framer.Frame{Type: framer.TypeData, Payload: make([]byte, framer.MaxPayloadBytes)}
	fill := func(queue *sendQueue, size int) (overflowed bool) {
		for queue.mu.Lock(); len(queue.pending) < size; queue.mu.Lock() {
			queue.mu.Unlock()
			overflowed = queue.add(frame) || overflowed
		}
		queue.mu.Unlock()
		return overflowed
	}
	tests := []struct {
		name    string
		written bool
		want    bool
	}{
		{name: "batch is still being written", want: true},
		{name: "batch has been written", written: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := new(sendQueue)
			queue.init()
			qt.Assert(t, fill(queue, maxQueuedSize/2), qt.IsFalse)
			queue.takeBatch(nil)
			if test.written {
				queue.takeBatch(nil)
			}
			qt.Assert(t, fill(queue, maxQueuedSize/2), qt.Equals, test.want)
		})
	}
}
