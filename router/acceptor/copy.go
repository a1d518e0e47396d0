package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"marigoldhill/router/executor"
)

// copyBufferBytes is the size of the buffers for copying response bodies.
const copyBufferBytes = 32 << 10

// copyBuffers holds buffers for reuse.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyBody copies the body of a response to w. A body of unknown length is flushed
// after each read, since the caller may be waiting for the part that has arrived.
func copyBody(w http.ResponseWriter, answer executor.Answer) error {
	if answer.Body == nil {
		return nil
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var flusher http.Flusher
	if answer.Response.Length < 0 {
		flusher, _ = w.(http.Flusher)
	}
	for {
		n, err := answer.Body.Read(buffer[:])
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
