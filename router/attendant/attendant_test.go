package attendant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/attendant"
)

const address = "10.0.0.1:8080"

func at(d time.Duration) timer.Instant {
	return timer.Instant{Mono: time.Hour + d, Wall: 1000*time.Hour + d}
}

type watcher struct {
	*attendant.Attendant
	gone int
}

func newWatcher() *watcher {
	w := new(watcher)
	w.Attendant = attendant.New(attendant.Options{
		Address: address,
		Changed: func(*attendant.View) {},
		Gone:    func() { w.gone++ },
		Log:     logger.Discard(),
	})
	return w
}

func said(name string, born int64, sequence uint64) attendant.Announcement {
	return attendant.Announcement{
		Row:      messenger.ServerRow{Name: name, Service: "findings", URL: address, Slots: 6, Born: born},
		Sequence: sequence,
	}
}

func leaving(a attendant.Announcement) attendant.Announcement {
	a.Leaving = true
	return a
}

func TestAnnouncements(t *testing.T) {
	foreign := said("x", 900, 1)
	foreign.Row.URL = "10.0.0.2:8080"
	tests := []struct {
		name  string
		said  attendant.Announcement
		news  bool
		state messenger.ServerState
		born  int64
	}{
		{name: "of another address", said: foreign, state: messenger.ServerAbsent},
		{name: "first", said: said("a", 100, 1), news: true, state: messenger.ServerReady, born: 100},
		{name: "again", said: said("a", 100, 3), news: true, state: messenger.ServerReady, born: 100},
		{name: "late", said: leaving(said("a", 100, 2)), state: messenger.ServerReady, born: 100},
		{name: "leaves", said: leaving(said("a", 100, 4)), news: true, state: messenger.ServerLeaving, born: 100},
		{name: "ready after leaving", said: said("a", 100, 5), state: messenger.ServerLeaving, born: 100},
		{name: "new life under the same name", said: said("a", 200, 1), news: true, state: messenger.ServerReady, born: 200},
		{name: "late, of the earlier life", said: said("a", 100, 9), state: messenger.ServerReady, born: 200},
	}
	w := newWatcher()
	for _, test := range tests {
		qt.Check(t, w.Announce(at(0), test.said), qt.Equals, test.news, qt.Commentf(test.name))
		view := w.View()
		qt.Check(t, view.State, qt.Equals, test.state, qt.Commentf(test.name))
		if view.Row != nil {
			qt.Check(t, view.Row.Born, qt.Equals, test.born, qt.Commentf(test.name))
		}
	}
}

func TestWithdrawnServerDoesNotComeBack(t *testing.T) {
	w := newWatcher()
	w.Announce(at(0), said("a", 100, 1))
	w.Withdraw(at(0), "b")
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerReady)
	w.Withdraw(at(0), "a")
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerLeaving)
	qt.Assert(t, w.Announce(at(0), said("a", 100, 2)), qt.IsFalse)
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerLeaving)
	qt.Assert(t, w.Announce(at(0), said("a", 101, 1)), qt.IsTrue)
}

// New work ends well before the two seconds that the users' rules allow.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	w := newWatcher()
	w.Announce(at(0), said("a", 100, 1))
	w.Announce(at(time.Second), leaving(said("a", 100, 2)))
	w.Announce(at(1900*time.Millisecond), leaving(said("a", 100, 3)))
	view := w.View()
	qt.Check(t, view.Accepts(at(1400*time.Millisecond), false), qt.IsTrue)
	qt.Check(t, view.Accepts(at(1600*time.Millisecond), false), qt.IsFalse)
	qt.Check(t, view.Accepts(at(2100*time.Millisecond), true), qt.IsTrue)
	qt.Check(t, view.Accepts(at(2300*time.Millisecond), true), qt.IsFalse)
}

func TestRefusedDials(t *testing.T) {
	w := newWatcher()
	w.Announce(at(0), said("a", 100, 1))
	w.Refused(at(0))
	w.Refused(at(50 * time.Millisecond))
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerReady)
	w.Answered()
	w.Refused(at(200 * time.Millisecond))
	qt.Assert(t, w.gone, qt.Equals, 0)
	w.Refused(at(320 * time.Millisecond))
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerDown)
	qt.Assert(t, w.gone, qt.Equals, 1)
	w.Announce(at(time.Second), said("a", 100, 2))
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerReady)
}

func TestSilentServerIsFrozen(t *testing.T) {
	w := newWatcher()
	w.Announce(at(0), said("a", 100, 1))
	w.Tick(at(2900 * time.Millisecond))
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerReady)
	w.Tick(at(3 * time.Second))
	qt.Assert(t, w.View().State, qt.Equals, messenger.ServerFrozen)
	qt.Assert(t, w.gone, qt.Equals, 0)
}
