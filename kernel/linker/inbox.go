package linker

import (
	"sync"

	"marigoldhill/kernel/framer"
)

// smallPart is the largest part that is not kept in a buffer of the pool, in
// bytes.
const smallPart = 4 << 10

// parts are the buffers of large parts.
var parts = sync.Pool{New: func() any { return new([framer.MaxPayload]byte) }}

// inbox has the bytes of a stream that arrived and were not read yet, in the
// parts that they came in.
type inbox struct {
	queue []part
}

type part struct {
	// data are the bytes that are left.
	data []byte
	// buffer goes back to the pool in the end; nil for a small part.
	buffer *[framer.MaxPayload]byte
}

func (i *inbox) isEmpty() bool {
	return len(i.queue) == 0
}

// add copies data.
func (i *inbox) add(data []byte) {
	if len(data) == 0 {
		return
	}
	if len(data) <= smallPart {
		i.queue = append(i.queue, part{data: append([]byte(nil), data...)})
		return
	}
	buffer := parts.Get().(*[framer.MaxPayload]byte)
	n := copy(buffer[:], data)
	i.queue = append(i.queue, part{data: buffer[:n], buffer: buffer})
}

// take moves bytes to data, as many as there are.
func (i *inbox) take(data []byte) int {
	taken := 0
	for taken < len(data) && len(i.queue) > 0 {
		head := &i.queue[0]
		n := copy(data[taken:], head.data)
		taken += n
		head.data = head.data[n:]
		if len(head.data) == 0 {
			i.pop()
		}
	}
	return taken
}

func (i *inbox) pop() {
	if buffer := i.queue[0].buffer; buffer != nil {
		parts.Put(buffer)
	}
	i.queue[0] = part{}
	i.queue = i.queue[1:]
}
