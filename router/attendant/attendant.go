// Package attendant knows the backend server beside the router: which one it is,
// and whether it takes work.
//
// A server announces itself again and again. Announcements may come late, from an
// earlier life of the server or out of order; those are ignored. One that says it
// leaves gets no new work soon after. A server whose port refuses connections is
// down, with all that it held.
//
// # Usage
//
//	server := attendant.New(attendant.Options{Address: "10.0.0.1:8080", Changed: changed, Log: log})
//	server.Announce(attendant.Announcement{Row: row, Sequence: 4})
//	view := server.View()
//	if !view.Accepts(timer.Now(), ranged) { ... }
package attendant

import (
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// silentTime is the silence after which a server counts as down: three
	// announcements at about one a second.
	silentTime = 3 * time.Second
	// refusals is how many dials in a row must be refused, over refusalTime, for
	// a server to count as down. A single one may be a full queue of
	// connections.
	refusals    = 2
	refusalTime = 100 * time.Millisecond
	// rangedLeave and plainLeave are how long a leaving server still gets work.
	// Ranges need two heartbeats to move; other routers learn of a leaving
	// server within one.
	rangedLeave = 1200 * time.Millisecond
	plainLeave  = 500 * time.Millisecond
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	Row messenger.ServerRow
	// Sequence grows with each announcement of a life.
	Sequence uint64
	// Leaving says that it wants no new work.
	Leaving bool
}

// View is an immutable view of the server.
type View struct {
	State messenger.ServerState
	// Row is nil while the server is absent. It stays the same pointer until the
	// row changes.
	Row *messenger.ServerRow
	// Left is when it said that it leaves.
	Left timer.Instant
}

// Accepts reports whether the server gets new work, for a service that is
// divided by ranges or not.
func (v *View) Accepts(now timer.Instant, ranged bool) bool {
	switch v.State {
	case messenger.ServerReady:
		return true
	case messenger.ServerLeaving:
		if ranged {
			return now.Since(v.Left) < rangedLeave
		}
		return now.Since(v.Left) < plainLeave
	}
	return false
}

// Options are the parts that an Attendant works with.
type Options struct {
	// Address is where the server must listen: host:port.
	Address string
	// Changed is called with each new View, Gone when the server is down with
	// all that it held. They must not block.
	Changed func(view *View)
	Gone    func()
	Log     *logger.Log
}

// Attendant is safe for concurrent use.
type Attendant struct {
	options Options
	view    atomic.Pointer[View]

	mu       sync.Mutex
	sequence uint64
	heard    timer.Instant
	// gone is the newest life that ended, so that late announcements of it do not
	// bring it back.
	gone     int64
	refused  int
	refusing timer.Instant
}

// New returns an Attendant without a server.
func New(options Options) *Attendant {
	a := &Attendant{options: options}
	a.view.Store(&View{State: messenger.ServerAbsent})
	return a
}

// View returns the newest View.
func (a *Attendant) View() *View {
	return a.view.Load()
}

// Announce takes an announcement. It reports whether it was news, and not late or
// of another server.
func (a *Attendant) Announce(now timer.Instant, said Announcement) bool {
	if said.Row.URL != a.options.Address || said.Row.Service == "" || said.Row.Name == "" {
		a.ignore(said, "it names no server of this VM")
		return false
	}
	a.mu.Lock()
	before := a.view.Load()
	if !a.isNews(before, said) {
		a.mu.Unlock()
		a.ignore(said, "it is late")
		return false
	}
	a.sequence = said.Sequence
	a.heard = now
	after := &View{State: messenger.ServerReady, Row: before.Row}
	if before.Row == nil || *before.Row != said.Row {
		row := said.Row
		after.Row = &row
		a.refused = 0
	}
	if said.Leaving {
		after.State = messenger.ServerLeaving
		after.Left = now
		if before.State == messenger.ServerLeaving && before.Row == after.Row {
			after.Left = before.Left
		}
	}
	a.set(before, after)
	return true
}

// ignore logs an announcement that changes nothing.
func (a *Attendant) ignore(said Announcement, cause string) {
	a.options.Log.Emit(logger.AnnouncementIgnored, "server", said.Row.Name, "service", said.Row.Service,
		"address", said.Row.URL, "born", said.Row.Born, "sequence", said.Sequence, "cause", cause)
}

func (a *Attendant) isNews(before *View, said Announcement) bool {
	if said.Row.Born < a.gone || (said.Row.Born == a.gone && a.gone != 0) {
		return false
	}
	if before.Row == nil || before.Row.Born < said.Row.Born {
		return true
	}
	if before.Row.Born > said.Row.Born {
		return false
	}
	return said.Sequence > a.sequence && !(before.State == messenger.ServerLeaving && !said.Leaving)
}

// Withdraw takes note that the server called name leaves.
func (a *Attendant) Withdraw(now timer.Instant, name string) {
	a.mu.Lock()
	before := a.view.Load()
	if before.Row == nil || before.Row.Name != name {
		a.mu.Unlock()
		return
	}
	a.gone = before.Row.Born
	after := *before
	after.State = messenger.ServerLeaving
	if before.State != messenger.ServerLeaving {
		after.Left = now
	}
	a.set(before, &after)
}

// Refused takes note of a dial that the server's port refused.
func (a *Attendant) Refused(now timer.Instant) {
	a.mu.Lock()
	before := a.view.Load()
	if a.refused == 0 {
		a.refusing = now
	}
	a.refused++
	if a.refused < refusals || now.Since(a.refusing) < refusalTime || !isUp(before) {
		a.mu.Unlock()
		return
	}
	after := *before
	after.State = messenger.ServerDown
	a.set(before, &after)
	a.options.Gone()
}

func isUp(view *View) bool {
	return view.State == messenger.ServerReady || view.State == messenger.ServerLeaving
}

// Answered takes note that the server is there.
func (a *Attendant) Answered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = 0
}

// Tick notices a server that fell silent.
func (a *Attendant) Tick(now timer.Instant) {
	a.mu.Lock()
	before := a.view.Load()
	if before.State != messenger.ServerReady || now.Steady(a.heard) < silentTime {
		a.mu.Unlock()
		return
	}
	after := *before
	after.State = messenger.ServerFrozen
	a.set(before, &after)
}

// set stores a view, gives mu back and tells of the change.
func (a *Attendant) set(before, after *View) {
	a.view.Store(after)
	a.mu.Unlock()
	if before.State == after.State && before.Row == after.Row {
		return
	}
	a.options.Log.Emit(logger.ServerChanged, "server", after.Row.Name, "service", after.Row.Service,
		"state", after.State, "was", before.State, "born", after.Row.Born)
	a.options.Changed(after)
}
