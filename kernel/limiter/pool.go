package limiter

import "sync/atomic"

// Pool bounds memory that is not tied to a connection of a client, such as that of requests
// from other processes. Its methods are safe for concurrent use. A nil *Pool has no bound. A
// [Reservation] takes memory of it.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a Pool of a size in bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit}
}

// Used returns how many bytes are taken.
func (p *Pool) Used() int64 {
	return p.used.Load()
}

// Reservation is memory of a Pool for one message. Its zero value with a Pool holds none.
type Reservation struct {
	Pool *Pool
	// Asked is what was asked for last, in bytes, and held what was taken.
	Asked, held int64
}

// TakeMessage takes the memory that a message takes at most when it is decoded, or returns
// false if there is not as much. It is meant for linker.Stream.ReceiveWithin.
func (r *Reservation) TakeMessage(size, elements int) bool {
	r.Asked = MessageCost(size, elements)
	if r.Pool == nil {
		return true
	}
	if r.Pool.used.Add(r.Asked) > r.Pool.limit {
		r.Pool.used.Add(-r.Asked)
		return false
	}
	r.held += r.Asked
	return true
}

// Release gives back all that was taken.
func (r *Reservation) Release() {
	if r.Pool != nil {
		r.Pool.used.Add(-r.held)
	}
	r.held = 0
}
