package acceptor

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errOversize ends the reading of a body that is longer than allowed.
var errOversize = errors.New("body is longer than allowed")

// bounded is the body of a caller's request with its limit. One goroutine reads
// it; others may ask how far it is.
type bounded struct {
	source io.Reader
	left   int64
	read   atomic.Bool
	over   atomic.Bool
}

func newBounded(r *http.Request, limit int64) *bounded {
	b := &bounded{source: r.Body, left: limit}
	b.read.Store(r.ContentLength == 0)
	return b
}

func (b *bounded) Read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	b.left -= int64(n)
	if b.left < 0 {
		b.over.Store(true)
		return 0, errOversize
	}
	if errors.Is(err, io.EOF) {
		b.read.Store(true)
	}
	return n, err
}

// isRead reports whether the whole body was read.
func (b *bounded) isRead() bool {
	return b.read.Load()
}

// isOver reports whether the body is longer than allowed.
func (b *bounded) isOver() bool {
	return b.over.Load()
}
