package logger

import (
	"sync"
	"time"
)

// maxLinesPerSecond is the maximum number of lines per second of each rate-limited
// event. At about 400 bytes per line this is 10 KB per second for each such event.
const maxLinesPerSecond = 25

// limiter limits the rate of frequent events, such as those that can occur with
// every request. Events that report a change of state are never limited.
type limiter struct {
	mu     sync.Mutex
	events map[int]*window
}

// window holds the number of lines of an event in the current second.
type window struct {
	start   time.Time
	written int
	dropped int
}

func newLimiter() *limiter {
	return &limiter{events: make(map[int]*window)}
}

// allow reports whether a line may be written now. For the first line of a new
// window, dropped is the number of lines dropped in the previous window.
func (l *limiter) allow(now time.Time, event Event) (allowed bool, dropped int) {
	if !event.isRateLimited() {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.events[event.Number]
	if current == nil {
		current = &window{start: now}
		l.events[event.Number] = current
	}
	if now.Sub(current.start) >= time.Second {
		dropped = current.dropped
		*current = window{start: now}
	}
	if current.written >= maxLinesPerSecond {
		current.dropped++
		return false, dropped
	}
	current.written++
	return true, dropped
}

// isRateLimited reports whether the rate of an event is limited, because it can
// occur with every request, call or announcement.
func (e Event) isRateLimited() bool {
	switch e.Number {
	case RequestUnanswered.Number, RequestFailed.Number, RangeCallCompleted.Number, AnnouncementIgnored.Number, ConfigurationRejected.Number,
		JoinFailed.Number, ResponseOversized.Number, ClientClosed.Number:
		return true
	}
	return false
}
