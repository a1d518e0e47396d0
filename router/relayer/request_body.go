package relayer

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxInlineBytes is the size of the largest body that is read before a server is
	// chosen and sent with the header of its request. Larger ones stay with the caller
	// until the router of the server invites them.
	maxInlineBytes = 16 << 10
	// maxReplayBytes is the size of the largest body that is kept for a retry once it was
	// read.
	maxReplayBytes = 64 << 10
)

// errOversize is the read error of a body that exceeds the limit of the configuration.
var errOversize = errors.New("body exceeds the limit of the configuration")

// requestBody is the body of a call. A small one is read once and can be sent any number
// of times. A larger one can be sent again until its first byte was read.
type requestBody struct {
	source io.Reader
	// length is in bytes, -1 when unknown.
	length int64
	// remaining is how many bytes a body of unknown length may still have.
	remaining int64
	limited   bool
	oversize  atomic.Bool
	started   atomic.Bool

	load sync.Once
	data []byte
	err  error
}

// newRequestBody returns the body of a call. limit bounds its size if it is positive.
func newRequestBody(call *Call, limit int64) *requestBody {
	return &requestBody{source: call.Body, length: call.Length, remaining: limit, limited: limit > 0 && call.Length < 0}
}

// isInline reports whether the body is sent with the header of the request.
func (b *requestBody) isInline() bool {
	return isInline(b.length)
}

func isInline(length int64) bool {
	return length >= 0 && length <= maxInlineBytes
}

// isReplayable reports whether the body is kept once it was read.
func (b *requestBody) isReplayable() bool {
	return b.length >= 0 && b.length <= maxReplayBytes
}

// canResend reports whether the body can be sent from its start.
func (b *requestBody) canResend() bool {
	return b.isReplayable() || !b.started.Load()
}

// bytes reads a replayable body.
func (b *requestBody) bytes() ([]byte, error) {
	b.load.Do(func() {
		b.data = make([]byte, b.length)
		if b.length == 0 {
			return
		}
		if _, err := io.ReadFull(b.source, b.data); err != nil {
			b.err = Error.New("reading the caller's body: %w", err)
		}
	})
	return b.data, b.err
}

// bytesWithin is like bytes, but stops waiting for the caller when ctx is done.
func (b *requestBody) bytesWithin(ctx context.Context) ([]byte, error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.bytes()
	}()
	select {
	case <-done:
		return b.bytes()
	case <-ctx.Done():
		return nil, Error.New("waiting for the caller's body: %w", context.Cause(ctx))
	}
}

// reader returns a reader from the start of the body. A body that is not replayable can
// be read once.
func (b *requestBody) reader() io.Reader {
	if b.isReplayable() {
		return &replayReader{body: b}
	}
	return b
}

// Read implements io.Reader for a body that is not replayable.
func (b *requestBody) Read(data []byte) (int, error) {
	b.started.Store(true)
	n, err := b.source.Read(data)
	if !b.limited {
		return n, err
	}
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.oversize.Store(true)
		return 0, Error.New("%w", errOversize)
	}
	return n, err
}

// replayReader reads a replayable body from its start.
type replayReader struct {
	body   *requestBody
	offset int
}

// Read implements io.Reader.
func (r *replayReader) Read(data []byte) (int, error) {
	content, err := r.body.bytes()
	if err != nil {
		return 0, err
	}
	if r.offset == len(content) {
		return 0, io.EOF
	}
	n := copy(data, content[r.offset:])
	r.offset += n
	return n, nil
}
