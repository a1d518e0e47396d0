package queuer

import (
	"slices"
	"time"
)

// windowSpan is the span in which the starts at a cold server are counted.
const windowSpan = time.Second

// window counts the jobs that were started within the last windowSpan, and bounds them
// while the server is cold. It is exact: no span of that length has more starts than
// allowed, so a server that crashes above a rate gets no burst either. A token bucket like
// limiter would allow its burst on top of the rate.
//
// Starts are remembered while the server is warm too, since a report that it is cold again
// arrives late. A new process does not know what the previous one sent, and takes the
// window to be full at its start.
//
// The zero value has no bound, and is full at time 0.
type window struct {
	// most is the number of starts allowed; 0 without a bound.
	most int
	// sent are the times of requests that were sent, in order, and open is the number of
	// jobs that were started but not sent yet. These may be sent at any time.
	sent []time.Duration
	open int
}

// prune forgets the starts that no longer count.
func (w *window) prune(now time.Duration) {
	expired := 0
	for expired < len(w.sent) && w.sent[expired]+windowSpan <= now {
		expired++
	}
	w.sent = w.sent[expired:]
}

// begin counts the start of a job.
func (w *window) begin(now time.Duration) {
	w.prune(now)
	w.open++
}

// send counts a job that was started before as sent at a time, which may be in the past.
func (w *window) send(at time.Duration) {
	w.open--
	index, _ := slices.BinarySearch(w.sent, at)
	w.sent = slices.Insert(w.sent, index, at)
}

// wait returns the time until a job can start that has others ahead of it.
func (w *window) wait(now time.Duration, ahead int) time.Duration {
	if w.most == 0 {
		return 0
	}
	w.prune(now)
	// Each of the allowed starts is free again a span after its last use. The jobs take
	// them in the order in which they become free, and then again a span later.
	cycles, index := ahead/w.most, ahead%w.most
	// Starts above the bound, from before the server became cold, expire first.
	used := len(w.sent) + w.open
	index += max(used-w.most, 0) - max(w.most-used, 0)
	free := now
	switch {
	case index < 0:
	case index < len(w.sent):
		free = w.sent[index] + windowSpan
	default:
		free = now + windowSpan
	}
	// Until a span after its start, the process assumes that its predecessor used all.
	free = max(free, windowSpan)
	return free + time.Duration(cycles)*windowSpan - now
}
