package forwarder

import (
	"bytes"
	"io"
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// initialBufferBytes is the size of the first buffer for a body that is large or
// of unknown length.
const initialBufferBytes = 4 << 10

// replayBody is the body of a caller's request. Its first BufferSize+1 bytes are
// kept, so that an attempt that read no more can be repeated.
type replayBody struct {
	prefix []byte
	// complete is true if prefix is the whole body.
	complete bool
	// rest reads the bytes after prefix.
	rest io.Reader

	mu sync.Mutex
	// restRead is true once an attempt has read from rest.
	restRead bool
	// attempt counts the readers. Only the last one may read from rest.
	attempt int
}

// newReplayBody reads the first bytes of body. length is a hint, or -1 when
// unknown.
func newReplayBody(body io.Reader, length int64) (*replayBody, error) {
	if body == nil || length == 0 {
		return &replayBody{complete: true}, nil
	}
	prefix, complete, err := readPrefix(body, length)
	if err != nil {
		return nil, Error.New("reading the body: %w", err)
	}
	return &replayBody{prefix: prefix, complete: complete, rest: body}, nil
}

// readPrefix reads a body of up to BufferSize bytes completely. Of a larger body
// it reads BufferSize+1 bytes and reports complete as false. length is a hint, or
// -1 when unknown.
func readPrefix(body io.Reader, length int64) (prefix []byte, complete bool, err error) {
	const maxBytes = BufferSize + 1
	if length < 0 || length >= maxBytes {
		length = initialBufferBytes
	}
	// One spare byte lets Read return io.EOF without a larger buffer.
	buffer := make([]byte, 0, length+1)
	for len(buffer) < maxBytes {
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, min(len(buffer), maxBytes-len(buffer)))
		}
		n, err := body.Read(buffer[len(buffer):min(cap(buffer), maxBytes)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF:
			return buffer, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return buffer, false, nil
}

// reader returns a reader of the whole body from its start. It must not be called after
// rewind has reported false. Earlier readers read no more from rest: an attempt may go on
// sending its body in the background after it was refused.
func (r *replayBody) reader() io.Reader {
	if r.complete {
		return bytes.NewReader(r.prefix)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt++
	return io.MultiReader(bytes.NewReader(r.prefix), restReader{r, r.attempt})
}

// rewind reports whether the body can be read again from its start, for another attempt. If
// so, the readers so far read no more from rest.
func (r *replayBody) rewind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restRead {
		return false
	}
	r.attempt++
	return true
}

// claimRest reports whether an attempt may read from rest. The body is no longer
// replayable then.
func (r *replayBody) claimRest(attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt {
		return false
	}
	r.restRead = true
	return true
}

// restReader reads the bytes after the prefix for one attempt.
type restReader struct {
	body    *replayBody
	attempt int
}

var errAttemptEnded = errs.New("the attempt that reads the body has ended")

func (r restReader) Read(data []byte) (int, error) {
	if !r.body.claimRest(r.attempt) {
		return 0, Error.New("reading the body: %w", errAttemptEnded)
	}
	return r.body.rest.Read(data)
}
