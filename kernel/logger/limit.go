package logger

import (
	"sync"
	"time"
)

// perSecond is how many lines of an event that happens with requests are written a
// second. At some 400 bytes a line that is 10 KB a second for each such event.
const perSecond = 25

// limiter bounds the lines of events that happen with requests. Changes of what a
// process believes are never bounded.
type limiter struct {
	mu     sync.Mutex
	events map[int]*window
}

// window counts the lines of an event in the current second.
type window struct {
	start   time.Time
	written int
	skipped int
}

func newLimiter() *limiter {
	return &limiter{events: make(map[int]*window)}
}

// allow reports whether a line may be written now, and how many lines of the event
// were left out in the second that has just ended.
func (l *limiter) allow(now time.Time, event Event) (allowed bool, skipped int) {
	if !event.isFrequent() {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.events[event.Number]
	if known == nil {
		known = &window{start: now}
		l.events[event.Number] = known
	}
	if now.Sub(known.start) >= time.Second {
		skipped = known.skipped
		*known = window{start: now}
	}
	if known.written >= perSecond {
		known.skipped++
		return false, skipped
	}
	known.written++
	return true, skipped
}

// isFrequent reports whether an event happens with requests.
func (e Event) isFrequent() bool {
	switch e.Number {
	case RequestEnded.Number, RequestFailed.Number, RangeCalled.Number, AnnouncementIgnored.Number, ConfigurationRefused.Number,
		EnrolmentUnanswered.Number:
		return true
	}
	return false
}
