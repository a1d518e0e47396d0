package queuer

import "time"

// SetLimit sets the limit that the backend server has named, in requests per second; 0
// means none. It starts no jobs; see [Queue.StartWaiting].
func (q *Queue) SetLimit(now time.Duration, limit float64) {
	q.limiter.set(now, limit)
}

// SetCold bounds the jobs that start within any second, as a cold backend server
// requires; 0 means no bound. It starts no jobs; see [Queue.StartWaiting].
func (q *Queue) SetCold(most int) {
	q.window.most = most
}

// NamedLimit returns the limit that the backend server has named, or 0 if there is none.
func (q *Queue) NamedLimit() float64 {
	return q.limiter.rate
}

// Limit returns the limit in requests per second, or 0 if there is none. It is the tighter
// one of the limit that the backend server has named and the bound for a cold one.
func (q *Queue) Limit() float64 {
	cold := float64(q.window.most) / windowSpan.Seconds()
	if q.limiter.rate == 0 || (cold > 0 && cold < q.limiter.rate) {
		return cold
	}
	return q.limiter.rate
}

// LimitWait returns the time until one more job could start under the limits.
func (q *Queue) LimitWait(now time.Duration) time.Duration {
	return q.limitWait(now, len(q.waiting))
}

// limitWait returns the time until a job can start under the limits that has others ahead
// of it.
func (q *Queue) limitWait(now time.Duration, ahead int) time.Duration {
	return max(q.limiter.wait(now, float64(ahead)), q.window.wait(now, ahead))
}

// NextStart returns the time until a waiting job can start under the limits. It reports
// false if no job waits for that.
func (q *Queue) NextStart(now time.Duration) (time.Duration, bool) {
	if q.Limit() == 0 || len(q.waiting) == 0 || len(q.running) >= q.slots {
		return 0, false
	}
	return q.limitWait(now, 0), true
}

// canStart reports whether a slot is free and the limits allow a start.
func (q *Queue) canStart(now time.Duration) bool {
	return len(q.running) < q.slots && q.limitWait(now, 0) == 0
}

// count counts the start of a job for the limits.
func (q *Queue) count(now time.Duration) {
	q.limiter.take(now)
	q.window.begin(now)
	if q.window.most > 0 {
		q.coldStarts++
	}
}

// Send records that a running job is sent to the backend server now, if it was not sent
// before. A job may start long before it is sent; the bound for a cold server counts what
// is sent.
func (q *Queue) Send(now time.Duration, entry *Entry) {
	if !entry.sent {
		entry.sent = true
		q.window.send(now)
	}
}

// IsRunning reports whether the job has started.
func (e *Entry) IsRunning() bool {
	return e.running
}

// isColdLimit reports whether the bound for a cold server is what a job that has others
// ahead of it waits for.
func (q *Queue) isColdLimit(now time.Duration, ahead int) bool {
	return q.window.wait(now, ahead) > q.limiter.wait(now, float64(ahead))
}
