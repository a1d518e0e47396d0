package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"marigoldhill/router/executor"
)

// copySize is the size of the buffers that answers pass through, in bytes.
const copySize = 32 << 10

// buffers are reused from answer to answer.
var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// copyAnswer passes the body of an answer on. A body of unknown length is passed
// on as it comes, since a caller may wait for a part of it.
func copyAnswer(w http.ResponseWriter, answer executor.Answer) error {
	if answer.Body == nil {
		return nil
	}
	buffer := buffers.Get().(*[copySize]byte)
	defer buffers.Put(buffer)
	var flusher http.Flusher
	if answer.Response.Length < 0 {
		flusher, _ = w.(http.Flusher)
	}
	for {
		n, err := answer.Body.Read(buffer[:])
		if err := writePart(w, flusher, buffer[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return Error.New("reading the answer: %w", err)
		}
	}
}

func writePart(w http.ResponseWriter, flusher http.Flusher, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := w.Write(part); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return Error.New("writing the answer: %w", err)
	}
	if flusher != nil {
		flusher.Flush()
	}
	return nil
}
