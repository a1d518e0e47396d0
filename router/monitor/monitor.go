// Package monitor tracks the backend server on the VM of the router: its
// identity, its state and whether it accepts new requests.
//
// A server announces itself periodically. Announcements that arrive late, out of
// order or from an earlier incarnation of the server are ignored. A server that
// announces that it is leaving gets no new requests after a short grace period. That is
// recorded by the control group before it is acknowledged: the next process of the router
// would otherwise take a late announcement for that of a ready server. A server whose port
// refuses connections, and to which none is open, is down and no longer holds any keys.
//
// # Usage
//
//	server := monitor.New(monitor.Options{Address: "10.0.0.1:8080", OnChange: onChange, Log: log})
//	server.Announce(timer.Now(), monitor.Announcement{Row: row, Sequence: 4})
//	view := server.View()
//	if !view.Accepts(timer.Now(), ranged) { ... }
package monitor

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("monitor")

const (
	// announcementTimeout is the time without an announcement after which a server is
	// treated as frozen: three announcements at about one per second.
	announcementTimeout = 3 * time.Second
	// refusalThreshold is the number of consecutive refused dials, over a span of at
	// least minRefusalSpan, after which a server is treated as down. A single refusal
	// can be caused by a full accept queue.
	refusalThreshold = 2
	minRefusalSpan   = 100 * time.Millisecond
	// refusalWindow is the maximum time from the first to the last of these dials.
	refusalWindow = 2 * time.Second
	// maxBornAhead is how far the start of a server may be in the future, since clocks may
	// jump. Announcements of an earlier start are ignored, so that one with a start far
	// ahead would lock the server out.
	maxBornAhead = time.Minute
	// maxSequence bounds the sequence for the same reason. It is the largest whole number
	// that all JSON encoders keep.
	maxSequence = 1 << 53
	// rangedLeaveGrace and unrangedLeaveGrace are how long a leaving server still
	// gets new requests. Moving ranges takes two heartbeats; other routers receive the
	// state of a leaving server within one.
	rangedLeaveGrace   = 1200 * time.Millisecond
	unrangedLeaveGrace = 500 * time.Millisecond
)

// Announcement is one announcement of a backend server.
type Announcement struct {
	Row messenger.ServerRow
	// Sequence increases with each announcement of one incarnation of the server.
	Sequence uint64
	// Leaving is set when the server asks to get no new requests.
	Leaving bool
	// ColdLeft is for how long the server stays cold; nil when it does not say.
	ColdLeft *time.Duration
}

// Check returns an error for an announcement that no server can have sent.
func (a *Announcement) Check(now timer.Instant) error {
	if problem := a.Row.Check(); problem != "" {
		return Error.New("%s", problem)
	}
	if a.Row.Born > (now.Wall + maxBornAhead).Milliseconds() {
		return Error.New("born is in the future")
	}
	if a.Sequence > maxSequence {
		return Error.New("sequence is above %d", uint64(maxSequence))
	}
	return nil
}

// View is an immutable snapshot of the state of the server.
type View struct {
	State messenger.ServerState
	// Row is nil while the server is absent. The pointer changes only when the row
	// does.
	Row *messenger.ServerRow
	// LeavingSince is when the server started to leave.
	LeavingSince timer.Instant
}

// Accepts reports whether the server gets new requests. ranged reports whether its
// service is divided into key ranges.
func (v *View) Accepts(now timer.Instant, ranged bool) bool {
	switch v.State {
	case messenger.ServerReady:
		return true
	case messenger.ServerLeaving:
		if ranged {
			return now.Since(v.LeavingSince) < rangedLeaveGrace
		}
		return now.Since(v.LeavingSince) < unrangedLeaveGrace
	}
	return false
}

// Options are the dependencies of an Monitor.
type Options struct {
	// Address is the address that the server must announce, host:port.
	Address string
	// OnChange is called when the state or the row of the server changed. A server that
	// is down no longer holds any keys. It must not block.
	OnChange func(view *View)
	// IsConnected reports whether a connection to the server is still open. Such a server
	// has not ended, even if its port refuses connections. It must not block.
	IsConnected func() bool
	// OnAnnounced, if not nil, is called with each announcement that was applied, after
	// OnChange, and OnRefused with each dial that the port of the server refused. They
	// must not block.
	OnAnnounced func(announcement Announcement)
	OnRefused   func()
	// RequestUpdate, if not nil, requests an early call of Monitor.SetRecord. Without it
	// leaves are not recorded. It must not block.
	RequestUpdate func()
	Log           *logger.Log
}

// Monitor tracks one backend server. It is safe for concurrent use.
type Monitor struct {
	options Options
	view    atomic.Pointer[View]

	mu            sync.Mutex
	sequence      uint64
	lastAnnounced timer.Instant
	// pausedBefore is timer.Paused at lastAnnounced.
	pausedBefore time.Duration
	// withdrawnBorn is the start time of the last incarnation that was withdrawn, so
	// that late announcements of it do not restore it.
	withdrawnBorn int64
	// early is the last withdrawal of a server that had not announced itself.
	early        *withdrawal
	record       Record
	hasRecord    bool
	refusedDials int
	firstRefused timer.Instant
	// recordChanged is closed and replaced when record changes.
	recordChanged chan struct{}
}

// New returns an Monitor whose server is absent until it is announced.
func New(options Options) *Monitor {
	a := &Monitor{options: options, recordChanged: make(chan struct{})}
	a.view.Store(&View{State: messenger.ServerAbsent})
	return a
}

// View returns the current state of the server.
func (a *Monitor) View() *View {
	return a.view.Load()
}

// Announce applies an announcement. It returns false when the announcement was
// ignored because it is late or does not name a server at Options.Address.
func (a *Monitor) Announce(now timer.Instant, announcement Announcement) bool {
	if announcement.Row.URL != a.options.Address || announcement.Row.Service == "" || announcement.Row.Name == "" {
		a.logIgnored(announcement, "it names no server of this VM")
		return false
	}
	a.mu.Lock()
	before := a.view.Load()
	if !a.supersedes(before, announcement) || before.Row == nil && a.early.covers(now, &announcement.Row) {
		a.mu.Unlock()
		a.logIgnored(announcement, "it is late")
		return false
	}
	a.sequence = announcement.Sequence
	a.lastAnnounced, a.pausedBefore = now, timer.Paused()
	after := &View{State: messenger.ServerReady, Row: before.Row}
	if before.Row == nil || *before.Row != announcement.Row {
		row := announcement.Row
		after.Row = &row
		a.refusedDials = 0
	}
	if announcement.Leaving {
		after.State = messenger.ServerLeaving
		after.LeavingSince = now
		if before.State == messenger.ServerLeaving && before.Row == after.Row {
			after.LeavingSince = before.LeavingSince
		}
	}
	a.publish(before, after)
	if a.options.OnAnnounced != nil {
		a.options.OnAnnounced(announcement)
	}
	return true
}

// Refuse logs an announcement, of a server with a name, that is none or fails its Check.
func (a *Monitor) Refuse(name string, cause error) {
	name = name[:min(len(name), messenger.MaxNameBytes)]
	a.options.Log.Emit(logger.AnnouncementIgnored, "server", name, "address", a.options.Address, "cause", cause.Error())
}

// logIgnored logs an announcement that was ignored.
func (a *Monitor) logIgnored(announcement Announcement, cause string) {
	a.options.Log.Emit(logger.AnnouncementIgnored, "server", announcement.Row.Name, "service", announcement.Row.Service,
		"address", announcement.Row.URL, "born", announcement.Row.Born, "sequence", announcement.Sequence, "cause", cause)
}

// supersedes reports whether an announcement is newer than the current state.
func (a *Monitor) supersedes(before *View, announcement Announcement) bool {
	if announcement.Row.Born < a.withdrawnBorn || (announcement.Row.Born == a.withdrawnBorn && a.withdrawnBorn != 0) {
		return false
	}
	if before.Row == nil || before.Row.Born < announcement.Row.Born {
		return true
	}
	if before.Row.Born > announcement.Row.Born {
		return false
	}
	return announcement.Sequence > a.sequence && !(before.State == messenger.ServerLeaving && !announcement.Leaving)
}

// DialRefused records a dial that the port of the server refused.
func (a *Monitor) DialRefused(now timer.Instant) {
	if a.options.OnRefused != nil {
		a.options.OnRefused()
	}
	a.mu.Lock()
	before := a.view.Load()
	if a.refusedDials == 0 || now.Since(a.firstRefused) > refusalWindow {
		a.refusedDials = 0
		a.firstRefused = now
	}
	a.refusedDials++
	if a.refusedDials < refusalThreshold || now.Since(a.firstRefused) < minRefusalSpan || !isUp(before) || a.options.IsConnected() {
		a.mu.Unlock()
		return
	}
	after := *before
	after.State = messenger.ServerDown
	a.publish(before, &after)
}

func isUp(view *View) bool {
	return view.State == messenger.ServerReady || view.State == messenger.ServerLeaving
}

// ResponseReceived resets the count of refused dials. It is called when the server
// responded.
func (a *Monitor) ResponseReceived() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusedDials = 0
}

// Tick marks a ready server as frozen when its announcements have stopped. Time in which this
// process did not run is no silence of the server.
func (a *Monitor) Tick(now timer.Instant) {
	a.mu.Lock()
	before := a.view.Load()
	silence := now.SinceMonotonic(a.lastAnnounced) - (timer.Paused() - a.pausedBefore)
	if before.State != messenger.ServerReady || silence < announcementTimeout {
		a.mu.Unlock()
		return
	}
	after := *before
	after.State = messenger.ServerFrozen
	a.publish(before, &after)
}

// publish stores a view, unlocks mu and reports the change, if any, to the log and
// to Options.OnChange.
func (a *Monitor) publish(before, after *View) {
	a.view.Store(after)
	a.mu.Unlock()
	if before.State == after.State && before.Row == after.Row {
		return
	}
	a.options.Log.Emit(logger.ServerStateChanged, "server", after.Row.Name, "service", after.Row.Service,
		"state", after.State, "was", before.State, "born", after.Row.Born)
	a.options.OnChange(after)
}
