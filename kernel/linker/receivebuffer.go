package linker

import (
	"sync"

	"marigoldhill/kernel/framer"
)

// maxUnpooledSize is the size in bytes up to which a chunk is allocated rather than
// stored in a pooled buffer.
const maxUnpooledSize = 4 << 10

// payloadBuffers holds the buffers for large chunks.
var payloadBuffers = sync.Pool{New: func() any { return new([framer.MaxPayloadBytes]byte) }}

// receiveBuffer holds the data of a stream that was received and not read yet, one
// chunk per data frame.
type receiveBuffer struct {
	chunks []chunk
}

type chunk struct {
	// data is the unread rest of the chunk.
	data []byte
	// buffer is returned to the pool once all data is read; nil for a small chunk.
	buffer *[framer.MaxPayloadBytes]byte
}

func (b *receiveBuffer) isEmpty() bool {
	return len(b.chunks) == 0
}

// add appends a copy of data.
func (b *receiveBuffer) add(data []byte) {
	if len(data) == 0 {
		return
	}
	if len(data) <= maxUnpooledSize {
		b.chunks = append(b.chunks, chunk{data: append([]byte(nil), data...)})
		return
	}
	buffer := payloadBuffers.Get().(*[framer.MaxPayloadBytes]byte)
	n := copy(buffer[:], data)
	b.chunks = append(b.chunks, chunk{data: buffer[:n], buffer: buffer})
}

// read moves up to len(data) bytes into data and returns their number.
func (b *receiveBuffer) read(data []byte) int {
	copied := 0
	for copied < len(data) && len(b.chunks) > 0 {
		first := &b.chunks[0]
		n := copy(data[copied:], first.data)
		copied += n
		first.data = first.data[n:]
		if len(first.data) == 0 {
			b.removeFirst()
		}
	}
	return copied
}

func (b *receiveBuffer) removeFirst() {
	if buffer := b.chunks[0].buffer; buffer != nil {
		payloadBuffers.Put(buffer)
	}
	b.chunks[0] = chunk{}
	b.chunks = b.chunks[1:]
}
