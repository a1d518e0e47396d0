package requester

import (
	"hash/maphash"
	"slices"
	"time"
)

const (
	// maxRefusals bounds the memory of a refusals.
	maxRefusals = 8192
	// refusalMargin is how long after the deadline of a request its next attempt may still
	// arrive: the time left of an attempt counts from its arrival over the link.
	refusalMargin = 5 * time.Second
)

// refusals remembers on which connections the server refused which requests. All attempts
// of a request have the same ID, so the next one must use another connection: on the same
// one, a late copy of the refusal could be taken for its response while it runs. It is not
// safe for concurrent use.
type refusals struct {
	// conns holds the connections by the hash of the ID of the request. IDs are as long as
	// callers make them; two with the same hash only cost a new connection.
	conns map[uint64][]*conn
	seed  maphash.Seed
	// queue holds all refusals in order.
	queue []refusal
}

// refusal is a request that the server refused.
type refusal struct {
	// hash is that of the ID of the request.
	hash uint64
	conn *conn
	// expiresAt is when no further attempt can follow, zero if that is not known.
	expiresAt time.Time
}

func newRefusals() refusals {
	return refusals{conns: make(map[uint64][]*conn), seed: maphash.MakeSeed()}
}

// add adds a refusal. If there are too many, it forgets the oldest and returns its
// connection, which must not carry further requests.
func (r *refusals) add(now time.Time, added refusal) (forgotten *conn) {
	for len(r.queue) > 0 && !r.queue[0].expiresAt.IsZero() && now.After(r.queue[0].expiresAt) {
		r.forgetOldest()
	}
	if len(r.queue) >= maxRefusals {
		forgotten = r.forgetOldest()
	}
	r.conns[added.hash] = append(r.conns[added.hash], added.conn)
	r.queue = append(r.queue, added)
	return forgotten
}

func (r *refusals) forgetOldest() *conn {
	oldest := r.queue[0]
	r.queue[0] = refusal{}
	r.queue = r.queue[1:]
	conns := r.conns[oldest.hash]
	if len(conns) == 1 {
		delete(r.conns, oldest.hash)
	} else {
		r.conns[oldest.hash] = conns[1:] // in order, like the queue
	}
	return oldest.conn
}

// hasRequest reports whether the server refused the request with an ID.
func (r *refusals) hasRequest(id string) bool {
	return len(r.connsOf(id)) > 0
}

// has reports whether the server refused the request with an ID on a connection.
func (r *refusals) has(id string, conn *conn) bool {
	return slices.Contains(r.connsOf(id), conn)
}

// connsOf returns the connections on which the server refused the request with an ID.
func (r *refusals) connsOf(id string) []*conn {
	if len(r.conns) == 0 {
		return nil
	}
	return r.conns[r.hash(id)]
}

func (r *refusals) hash(id string) uint64 {
	return maphash.String(r.seed, id)
}
