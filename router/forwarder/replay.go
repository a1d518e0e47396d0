package forwarder

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

// firstRead is how many bytes of a body of unknown length are expected.
const firstRead = 4 << 10

// replay is the body of a caller's request. Its first BufferSize bytes are
// kept, so that they can be sent again.
type replay struct {
	prefix []byte
	// whole says that prefix is the whole body.
	whole bool
	// rest are the bytes after prefix.
	rest    io.Reader
	touched atomic.Bool
}

// newReplay reads the first bytes of body. Length is a hint, -1 when unknown.
func newReplay(body io.Reader, length int64) (*replay, error) {
	if body == nil || length == 0 {
		return &replay{whole: true}, nil
	}
	prefix, whole, err := readPrefix(body, length)
	if err != nil {
		return nil, Error.New("reading the body: %w", err)
	}
	return &replay{prefix: prefix, whole: whole, rest: body}, nil
}

// readPrefix reads a body of the given length, which may be -1 and is no more
// than a hint, as long as it has no more than BufferSize bytes. Of a larger one
// it reads one byte more and reports that prefix is not the whole.
func readPrefix(body io.Reader, length int64) (prefix []byte, whole bool, err error) {
	const most = BufferSize + 1
	if length < 0 || length >= most {
		length = firstRead
	}
	// One byte more than expected has room for the end to show.
	buffer := make([]byte, 0, length+1)
	for len(buffer) < most {
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, min(len(buffer), most-len(buffer)))
		}
		n, err := body.Read(buffer[len(buffer):min(cap(buffer), most)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return buffer, false, nil
}

// reader returns a reader of the whole body from its start. It must not be
// called once canReplay reports false.
func (r *replay) reader() io.Reader {
	if r.whole {
		return bytes.NewReader(r.prefix)
	}
	return io.MultiReader(bytes.NewReader(r.prefix), restReader{r})
}

// canReplay reports whether the body can be read again from its start.
func (r *replay) canReplay() bool {
	return !r.touched.Load()
}

// restReader notes that bytes after the prefix were read.
type restReader struct {
	body *replay
}

func (r restReader) Read(data []byte) (int, error) {
	r.body.touched.Store(true)
	return r.body.rest.Read(data)
}
