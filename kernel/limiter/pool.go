package limiter

import "sync/atomic"

// Pool bounds memory that is not tied to a connection of a client, such as that of requests
// from other processes. Its methods are safe for concurrent use. A nil *Pool has no bound.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a Pool of a size in bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit}
}

// Take takes bytes, which must be given back, or returns false if there are not as many.
func (p *Pool) Take(bytes int64) bool {
	if p == nil {
		return true
	}
	if p.used.Add(bytes) <= p.limit {
		return true
	}
	p.used.Add(-bytes)
	return false
}

// Give gives back bytes that were taken.
func (p *Pool) Give(bytes int64) {
	if p != nil {
		p.used.Add(-bytes)
	}
}
