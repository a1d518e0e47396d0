package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errBodyTooLarge is returned by Read when the body exceeds its limit.
var errBodyTooLarge = errors.New("body is longer than allowed")

// limitedBody is the body of a caller's request with a limit on its size. It is read
// by one goroutine; isComplete and isExceeded are safe for concurrent use.
type limitedBody struct {
	source    io.Reader
	remaining int64
	complete  atomic.Bool
	exceeded  atomic.Bool
}

func newLimitedBody(r *http.Request, limit int64) *limitedBody {
	b := &limitedBody{source: r.Body, remaining: limit}
	b.complete.Store(r.ContentLength == 0)
	return b
}

func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.exceeded.Store(true)
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}

// isComplete reports whether the whole body was read.
func (b *limitedBody) isComplete() bool {
	return b.complete.Load()
}

// isExceeded reports whether the body exceeded its limit.
func (b *limitedBody) isExceeded() bool {
	return b.exceeded.Load()
}
