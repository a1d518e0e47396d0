package monitor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/monitor"
)

const address = "10.0.0.1:8080"

func at(d time.Duration) timer.Instant {
	return timer.Instant{Mono: time.Hour + d, Wall: 1000*time.Hour + d}
}

type fixture struct {
	*monitor.Monitor
	downCalls int
	connected bool
}

func newFixture() *fixture {
	f := new(fixture)
	f.Monitor = monitor.New(monitor.Options{
		Address: address,
		OnChange: func(view *monitor.View) {
			if view.State == messenger.ServerDown {
				f.downCalls++
			}
		},
		IsConnected: func() bool { return f.connected },
		Log:         logger.Discard(),
	})
	return f
}

func announcement(name string, born int64, sequence uint64) monitor.Announcement {
	return monitor.Announcement{
		Row:      messenger.ServerRow{Name: name, Service: "findings", URL: address, Slots: 6, Born: born},
		Sequence: sequence,
	}
}

func leaving(a monitor.Announcement) monitor.Announcement {
	a.Leaving = true
	return a
}

func TestAnnouncements(t *testing.T) {
	foreign := announcement("x", 900, 1)
	foreign.Row.URL = "10.0.0.2:8080"
	tests := []struct {
		name         string
		announcement monitor.Announcement
		applied      bool
		state        messenger.ServerState
		born         int64
	}{
		{name: "another address", announcement: foreign, state: messenger.ServerAbsent},
		{name: "first", announcement: announcement("a", 100, 1), applied: true, state: messenger.ServerReady, born: 100},
		{name: "again", announcement: announcement("a", 100, 3), applied: true, state: messenger.ServerReady, born: 100},
		{name: "late", announcement: leaving(announcement("a", 100, 2)), state: messenger.ServerReady, born: 100},
		{name: "leaves", announcement: leaving(announcement("a", 100, 4)), applied: true, state: messenger.ServerLeaving, born: 100},
		{name: "ready after leaving", announcement: announcement("a", 100, 5), state: messenger.ServerLeaving, born: 100},
		{name: "new incarnation with the same name", announcement: announcement("a", 200, 1), applied: true, state: messenger.ServerReady, born: 200},
		{name: "late, from the earlier incarnation", announcement: announcement("a", 100, 9), state: messenger.ServerReady, born: 200},
	}
	f := newFixture()
	for _, test := range tests {
		qt.Check(t, f.Announce(at(0), test.announcement), qt.Equals, test.applied, qt.Commentf(test.name))
		view := f.View()
		qt.Check(t, view.State, qt.Equals, test.state, qt.Commentf(test.name))
		if view.Row != nil {
			qt.Check(t, view.Row.Born, qt.Equals, test.born, qt.Commentf(test.name))
		}
	}
}

// TestServerWithOpenConnectionsIsNotDown refuses new connections while others are still
// open, as a server does that stops to listen before it ends its work.
func TestServerWithOpenConnectionsIsNotDown(t *testing.T) {
	f := newFixture()
	f.connected = true
	f.Announce(at(0), announcement("a", 100, 1))
	for n := range 5 {
		f.DialRefused(at(time.Duration(n) * time.Second))
	}
	qt.Check(t, f.View().State, qt.Equals, messenger.ServerReady)
	qt.Check(t, f.downCalls, qt.Equals, 0)
	f.connected = false
	f.DialRefused(at(5 * time.Second))
	qt.Check(t, f.View().State, qt.Equals, messenger.ServerDown)
	qt.Check(t, f.downCalls, qt.Equals, 1)
}

// TestRefusalsFarApartAreNoOutage refuses two connections with a long time between them,
// in which the server announced itself.
func TestRefusalsFarApartAreNoOutage(t *testing.T) {
	f := newFixture()
	f.Announce(at(0), announcement("a", 100, 1))
	f.DialRefused(at(time.Second))
	f.Announce(at(30*time.Second), announcement("a", 100, 2))
	f.DialRefused(at(time.Minute))
	qt.Check(t, f.View().State, qt.Equals, messenger.ServerReady)
	f.DialRefused(at(time.Minute + 200*time.Millisecond))
	qt.Check(t, f.View().State, qt.Equals, messenger.ServerDown)
}

func TestWithdrawnServerIsNotRestored(t *testing.T) {
	f := newFixture()
	f.Announce(at(0), announcement("a", 100, 1))
	f.Withdraw(at(0), "b")
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerReady)
	f.Withdraw(at(0), "a")
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerLeaving)
	qt.Assert(t, f.Announce(at(0), announcement("a", 100, 2)), qt.IsFalse)
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerLeaving)
	qt.Assert(t, f.Announce(at(0), announcement("a", 101, 1)), qt.IsTrue)
}

// TestLeavingServerGetsNoNewRequests checks the grace periods of a leaving server. The
// users allow it new requests for at most two seconds; the limits leave a margin.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	f := newFixture()
	f.Announce(at(0), announcement("a", 100, 1))
	f.Announce(at(time.Second), leaving(announcement("a", 100, 2)))
	f.Announce(at(1900*time.Millisecond), leaving(announcement("a", 100, 3)))
	view := f.View()
	qt.Check(t, view.Accepts(at(1400*time.Millisecond), false), qt.IsTrue)
	qt.Check(t, view.Accepts(at(1600*time.Millisecond), false), qt.IsFalse)
	qt.Check(t, view.Accepts(at(2100*time.Millisecond), true), qt.IsTrue)
	qt.Check(t, view.Accepts(at(2300*time.Millisecond), true), qt.IsFalse)
}

func TestRefusedDials(t *testing.T) {
	f := newFixture()
	f.Announce(at(0), announcement("a", 100, 1))
	f.DialRefused(at(0))
	f.DialRefused(at(50 * time.Millisecond))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerReady)
	f.ResponseReceived()
	f.DialRefused(at(200 * time.Millisecond))
	qt.Assert(t, f.downCalls, qt.Equals, 0)
	f.DialRefused(at(320 * time.Millisecond))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerDown)
	qt.Assert(t, f.downCalls, qt.Equals, 1)
	f.Announce(at(time.Second), announcement("a", 100, 2))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerReady)
}

func TestServerWithoutAnnouncementsIsFrozen(t *testing.T) {
	f := newFixture()
	f.Announce(at(0), announcement("a", 100, 1))
	f.Tick(at(2900 * time.Millisecond))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerReady)
	f.Tick(at(3 * time.Second))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerFrozen)
	qt.Assert(t, f.downCalls, qt.Equals, 0)
}

// A server that says in a response that it leaves stays so, whatever it announces, until
// it is started again.
func TestLeaveByResponse(t *testing.T) {
	f := newFixture()
	f.Announce(at(0), announcement("a", 1000, 1))
	row := f.View().Row
	f.Leave(at(time.Second), &messenger.ServerRow{Name: "a", Born: 900})
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerReady)
	f.Leave(at(time.Second), row)
	f.Leave(at(2*time.Second), row)
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerLeaving)
	qt.Assert(t, f.View().LeavingSince, qt.Equals, at(time.Second))
	f.Announce(at(2*time.Second), announcement("a", 1000, 2))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerLeaving)
	qt.Assert(t, f.View().Accepts(at(4*time.Second), true), qt.IsFalse)
	f.Announce(at(4*time.Second), announcement("a", 1100, 1))
	qt.Assert(t, f.View().State, qt.Equals, messenger.ServerReady)
}
