package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copyBufferBytes is the size of the buffers for copying response bodies.
const copyBufferBytes = 32 << 10

// copyBuffers holds buffers for reuse.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody copies the body of a response to w. If flush is set, each part is flushed once it has
// been read, since the caller may be waiting for it.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	if body == nil {
		return nil
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var flusher http.Flusher
	if flush {
		flusher, _ = w.(http.Flusher)
	}
	for {
		n, err := body.Read(buffer[:])
		if err := writeAndFlush(w, flusher, buffer[:n]); err != nil {
			return err
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return Error.New("reading the response of the backend server: %w", err)
		}
	}
}

func writeAndFlush(w http.ResponseWriter, flusher http.Flusher, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return Error.New("writing the response to the caller: %w", err)
	}
	if flusher != nil {
		flusher.Flush()
	}
	return nil
}
