package admitter

import "marigoldhill/kernel/timer"

// queue holds the requests of one profile that wait for a slot. It is fair to
// keys and to callers: each request is stamped with the turn at which its key
// and its caller have had their part, and the lowest turn goes first.
type queue struct {
	// turn is the turn of the request that left last.
	turn    float64
	keys    map[string]float64
	callers map[string]float64
	// first and last hold the same requests, lowest and highest turn first.
	// Requests that left otherwise stay there until they come up.
	first heap[*ticket]
	last  heap[*ticket]
	size  int
}

func newQueue() *queue {
	return &queue{
		keys:    make(map[string]float64),
		callers: make(map[string]float64),
		first:   heap[*ticket]{less: isBefore},
		last:    heap[*ticket]{less: func(a, b *ticket) bool { return isBefore(b, a) }},
	}
}

func isBefore(a, b *ticket) bool {
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.sequence < b.sequence
}

// turnOf is the turn that a request would get now.
func (q *queue) turnOf(job *Job) float64 {
	return max(q.turn, q.keys[job.Key], q.callers[job.Caller])
}

// push adds a request.
func (q *queue) push(t *ticket) {
	t.turn = q.turnOf(&t.job)
	q.keys[t.job.Key] = t.turn + 1
	q.callers[t.job.Caller] = t.turn + 1
	q.first.push(t)
	q.last.push(t)
	q.size++
}

// peek returns the request whose turn it is, or nil.
func (q *queue) peek() *ticket {
	return top(&q.first)
}

// hindmost returns the request whose turn is last, or nil.
func (q *queue) hindmost() *ticket {
	return top(&q.last)
}

// top drops requests that left and returns the first that waits.
func top(h *heap[*ticket]) *ticket {
	for len(h.items) > 0 {
		if h.items[0].waiting {
			return h.items[0]
		}
		h.pop()
	}
	return nil
}

// remove takes a request out that waits.
func (q *queue) remove(t *ticket) {
	t.waiting = false
	q.size--
	if q.size > 0 {
		return
	}
	// Nobody waits, so nobody has had more than a fair part.
	*q = *newQueue()
}

// each visits the requests that wait.
func (q *queue) each(visit func(t *ticket)) {
	for _, t := range q.first.items {
		if t.waiting {
			visit(t)
		}
	}
}

// isStalled reports whether a request has waited longer than half its time.
func isStalled(now timer.Instant, t *ticket) bool {
	return now.Since(t.arrived) > t.job.Timeout/2
}
