// Package warmer decides whether the backend server of a router is cold: it has just
// started, or has lost its caches, and crashes at a rate of requests that it serves easily
// when it is warm.
//
// The load pattern that it addresses: a failure domain returns after an outage or an
// evacuation, and all of its servers are cold for some seconds. The reports of a server
// may be seconds old, so none of them proves that the server is warm after something has
// happened that may have made it cold. Such an [Event] makes the state uncertain. The
// server is then treated as cold, for as long as one can be, until a report that was
// certainly sent after the event decides. A health check is the fastest such report; it
// costs the server a little, so there is one for each event, and not a periodic one.
//
// A [Warmer] reads no clock and sends nothing. Times are durations since any fixed
// instant.
//
// # Usage
//
//	w := warmer.New(now)
//	w.SetCold(3 * time.Second)
//	w.Announced(now, left)
//	w.Happened(now, warmer.ConnectionBroken)
//	if wait, due := w.NextCheck(now); due && wait == 0 {
//		w.CheckStarted(now)
//		// Send a health check.
//		w.CheckEnded(now, left)
//	}
//	verdict := w.Verdict(now)
package warmer

import "time"

const (
	// announcementDelay is the time from an event in which an announcement may arrive
	// that was sent before it. Servers send one each 0.9 s.
	announcementDelay = 1200 * time.Millisecond
	// checkInterval is the least time between two health checks.
	checkInterval = time.Second
	// maxLeft bounds the time left that a report is believed.
	maxLeft = time.Minute
)

// Event is something after which the state of the server is uncertain.
type Event string

// The events.
const (
	RouterStarted     Event = "router started"
	ServerStarted     Event = "server started"
	ConnectionBroken  Event = "connection broken"
	ConnectionRefused Event = "connection refused"
	// EvacuationEnded also stands for the end of a drain, which looks the same to a
	// router.
	EvacuationEnded Event = "evacuation ended"
)

// Sources of a Verdict that are no Event.
const (
	SourceAnnouncement = "announcement"
	SourceHealth       = "health check"
	// SourceTime means that the server can't be cold any longer, although no report
	// said so.
	SourceTime = "time"
)

// Verdict is the state of the server at an instant.
type Verdict struct {
	Cold bool
	// Left is for how long the server stays cold, at most, without another report.
	Left time.Duration
	// Source is the Event or the source of the report that decided, and Age the time
	// since then.
	Source string
	Age    time.Duration
}

// Warmer holds what is known of one backend server. It is not safe for concurrent use.
type Warmer struct {
	// cold is how long a server of the service stays cold.
	cold time.Duration
	// uncertain is set from an event until a report decides. event is the last one, at
	// happened.
	uncertain bool
	event     Event
	happened  time.Duration
	// announced and checked are until when the server is cold according to the last
	// announcement and the last health check. announcedAt and answeredAt are when these
	// reports arrived.
	announced, announcedAt time.Duration
	checked, answeredAt    time.Duration
	// lastReport is the source of the last report that decided, if any did.
	lastReport string

	checkWanted  bool
	checking     bool
	everChecked  bool
	checkStarted time.Duration
}

// New returns the Warmer of a router that has just started.
func New(now time.Duration) *Warmer {
	w := new(Warmer)
	w.Happened(now, RouterStarted)
	return w
}

// SetCold sets how long a server of the service stays cold, from the last event on.
func (w *Warmer) SetCold(cold time.Duration) {
	w.cold = cold
}

// Happened records an event.
func (w *Warmer) Happened(now time.Duration, event Event) {
	w.uncertain, w.event, w.happened = true, event, now
	w.checkWanted = true
}

// Announced records an announcement with the time for which the server stays cold.
func (w *Warmer) Announced(now, left time.Duration) {
	until := now + bounded(left)
	if w.uncertain && now-w.happened < announcementDelay {
		// It may have been sent before the event: it can only show that the server is
		// cold.
		w.announced = max(w.announced, until)
		return
	}
	w.uncertain = false
	w.announced, w.announcedAt, w.lastReport = until, now, SourceAnnouncement
}

// NextCheck returns the time until a health check is due. It reports false if none is.
func (w *Warmer) NextCheck(now time.Duration) (time.Duration, bool) {
	if !w.checkWanted || w.checking {
		return 0, false
	}
	if !w.everChecked {
		return 0, true
	}
	return max(w.checkStarted+checkInterval-now, 0), true
}

// CheckStarted records that a health check is sent.
func (w *Warmer) CheckStarted(now time.Duration) {
	w.checking, w.everChecked, w.checkStarted = true, true, now
	w.checkWanted = false
}

// CheckEnded records the end of a health check. left is the time for which the server
// stays cold, nil if there was no answer or it did not say.
func (w *Warmer) CheckEnded(now time.Duration, left *time.Duration) {
	w.checking = false
	if left == nil {
		return
	}
	until := now + bounded(*left)
	if w.checkWanted {
		// The server may have answered before the event that happened meanwhile.
		w.checked = max(w.checked, until)
		return
	}
	w.uncertain = false
	w.announced = 0
	w.checked, w.answeredAt, w.lastReport = until, now, SourceHealth
}

func bounded(left time.Duration) time.Duration {
	return min(max(left, 0), maxLeft)
}

// Verdict returns the state of the server.
//
// A health check stands for the time that it named: an announcement without time left,
// which may be seconds late, does not end it earlier.
func (w *Warmer) Verdict(now time.Duration) Verdict {
	until, source, since := time.Duration(0), "", time.Duration(0)
	if w.uncertain {
		until, source, since = w.happened+w.cold, string(w.event), w.happened
	}
	if w.announced > max(until, now) {
		until, source, since = w.announced, SourceAnnouncement, w.announcedAt
	}
	if w.checked > max(until, now) {
		until, source, since = w.checked, SourceHealth, w.answeredAt
	}
	if until > now {
		return Verdict{Cold: true, Left: until - now, Source: source, Age: now - since}
	}
	return w.warm(now)
}

// warm returns the verdict on a server that is warm, with what it is based on.
func (w *Warmer) warm(now time.Duration) Verdict {
	switch {
	case w.uncertain || w.lastReport == "":
		return Verdict{Source: SourceTime, Age: now - w.happened}
	case w.lastReport == SourceHealth:
		return Verdict{Source: SourceHealth, Age: now - w.answeredAt}
	}
	return Verdict{Source: SourceAnnouncement, Age: now - w.announcedAt}
}
