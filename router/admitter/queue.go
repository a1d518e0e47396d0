package admitter

import "marigoldhill/kernel/timer"

// queue holds the waiting requests of one profile. It implements start-time fair
// queueing by key and by caller: the start tag of a request is the highest of the
// virtual time and the finish tags of its key and its caller, and the lowest start
// tag runs first.
type queue struct {
	// startTag is the virtual time: the highest start tag of the admitted requests.
	startTag     float64
	keyFinish    map[string]float64
	callerFinish map[string]float64
	// ascending and descending hold the same requests, ordered by start tag.
	// Removed requests stay in them until they reach the top.
	ascending  heap[*entry]
	descending heap[*entry]
	size       int
}

func newQueue() *queue {
	return &queue{
		keyFinish:    make(map[string]float64),
		callerFinish: make(map[string]float64),
		ascending:    heap[*entry]{less: isBefore},
		descending:   heap[*entry]{less: func(a, b *entry) bool { return isBefore(b, a) }},
	}
}

func isBefore(a, b *entry) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.sequence < b.sequence
}

// startTagOf returns the start tag of a request that arrives now.
func (q *queue) startTagOf(job *Job) float64 {
	return max(q.startTag, q.keyFinish[job.Key], q.callerFinish[job.Caller])
}

func (q *queue) push(e *entry) {
	e.startTag = q.startTagOf(&e.job)
	q.keyFinish[e.job.Key] = e.startTag + 1
	q.callerFinish[e.job.Caller] = e.startTag + 1
	q.ascending.push(e)
	q.descending.push(e)
	q.size++
}

// peek returns the waiting request with the lowest start tag, or nil.
func (q *queue) peek() *entry {
	return firstWaiting(&q.ascending)
}

// last returns the waiting request with the highest start tag, or nil.
func (q *queue) last() *entry {
	return firstWaiting(&q.descending)
}

// firstWaiting pops removed requests and returns the first waiting one, or nil.
func firstWaiting(h *heap[*entry]) *entry {
	for len(h.items) > 0 {
		if h.items[0].waiting {
			return h.items[0]
		}
		h.pop()
	}
	return nil
}

// remove removes a waiting request.
func (q *queue) remove(e *entry) {
	e.waiting = false
	q.size--
	if q.size > 0 {
		return
	}
	// With no request waiting there is no share to even out, so the tags are reset.
	*q = *newQueue()
}

// each calls visit for each waiting request, in no particular order.
func (q *queue) each(visit func(e *entry)) {
	for _, e := range q.ascending.items {
		if e.waiting {
			visit(e)
		}
	}
}

// isStalled reports whether a request has waited longer than half its timeout.
func isStalled(now timer.Instant, e *entry) bool {
	return now.Since(e.arrived) > e.job.Timeout/2
}
