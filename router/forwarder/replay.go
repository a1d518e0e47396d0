package forwarder

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

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
	size := int64(BufferSize)
	if length > 0 && length < size {
		size = length
	}
	prefix, whole, err := readPrefix(body, size)
	if err != nil {
		return nil, Error.New("reading the body: %w", err)
	}
	return &replay{prefix: prefix, whole: whole, rest: body}, nil
}

// readPrefix reads at most size bytes; whole says that there are no more.
func readPrefix(body io.Reader, size int64) (prefix []byte, whole bool, err error) {
	buffer := bytes.NewBuffer(make([]byte, 0, min(size, 4<<10)+bytes.MinRead))
	if _, err := io.Copy(buffer, io.LimitReader(body, size)); err != nil {
		return nil, false, err
	}
	if int64(buffer.Len()) < size {
		return buffer.Bytes(), true, nil
	}
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	switch {
	case errors.Is(err, io.EOF):
		return buffer.Bytes(), true, nil
	case err != nil:
		return nil, false, err
	}
	return append(buffer.Bytes(), next[:n]...), false, nil
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
