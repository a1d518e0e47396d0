package monitor_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/monitor"
)

// born is the start of a server in milliseconds, relative to the wall clock of at(0).
func born(d time.Duration) int64 { return at(d).Wall.Milliseconds() }

// Guards against a process that takes a late announcement for that of a ready server, though
// the server has said to an earlier process, or to this one before it announced itself, that
// it leaves.
func TestLeaveOutlivesTheProcess(t *testing.T) {
	earlier, later := announcement("a", born(-time.Minute), 5), announcement("a", born(time.Second), 1)
	tests := []struct {
		name   string
		tell   func(f *fixture)
		second time.Duration
		first  messenger.ServerState
	}{
		{name: "recorded", first: messenger.ServerLeaving, tell: func(f *fixture) {
			f.SetRecord(at(0), monitor.Record{Row: &earlier.Row, Withdrawn: true, IsKept: true})
		}},
		{name: "announced, then recorded", first: messenger.ServerLeaving, tell: func(f *fixture) {
			f.Announce(at(0), earlier)
			f.SetRecord(at(0), monitor.Record{Row: &earlier.Row, Withdrawn: true, IsKept: true})
		}},
		{name: "withdrawn, known to the control group", first: messenger.ServerLeaving, tell: func(f *fixture) {
			f.SetRecord(at(0), monitor.Record{Row: &earlier.Row, IsKept: true})
			f.SetRecord(at(0), monitor.Record{IsKept: true})
			f.Withdraw(at(0), "a")
		}},
		{name: "withdrawn before the record arrives", first: messenger.ServerLeaving, tell: func(f *fixture) {
			f.Withdraw(at(0), "a")
			f.SetRecord(at(0), monitor.Record{Row: &earlier.Row, IsKept: true})
		}},
		{name: "withdrawn, not known", first: messenger.ServerAbsent, tell: func(f *fixture) { f.Withdraw(at(0), "a") }},
		{name: "recorded as ready", first: messenger.ServerReady, tell: func(f *fixture) {
			f.SetRecord(at(0), monitor.Record{Row: &earlier.Row, IsKept: true})
		}},
	}
	for _, test := range tests {
		f := newFixture()
		test.tell(f)
		f.Announce(at(3*time.Second), earlier)
		qt.Check(t, f.View().State, qt.Equals, test.first, qt.Commentf(test.name))
		qt.Check(t, f.Announce(at(4*time.Second), later), qt.IsTrue, qt.Commentf(test.name))
		qt.Check(t, f.View().State, qt.Equals, messenger.ServerReady, qt.Commentf("%s: the next start", test.name))
	}
}

// Guards against a leave that is acknowledged though only this process knows it.
func TestLeaveIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	tests := []struct {
		name     string
		record   monitor.Record
		recorded bool
	}{
		{name: "recorded", record: monitor.Record{Withdrawn: true, IsKept: true}, recorded: true},
		{name: "known as ready", record: monitor.Record{IsKept: true}},
		{name: "control group of an earlier version", record: monitor.Record{}, recorded: true},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			requests := 0
			m := monitor.New(monitor.Options{
				Address: address, OnChange: func(*monitor.View) {}, IsConnected: func() bool { return false },
				RequestUpdate: func() { requests++ }, Log: logger.Discard(),
			})
			ready := announcement("a", 100, 1)
			m.Announce(timer.Now(), ready)
			m.Withdraw(timer.Now(), "a")
			time.AfterFunc(300*time.Millisecond, func() {
				test.record.Row = &ready.Row
				m.SetRecord(timer.Now(), test.record)
			})
			started := time.Now()
			err := m.AwaitRecord(t.Context(), "a")
			qt.Check(t, err == nil, qt.Equals, test.recorded, qt.Commentf("%s: %v", test.name, err))
			took := time.Since(started)
			qt.Check(t, took >= 300*time.Millisecond && took < time.Second, qt.IsTrue, qt.Commentf("%s: %s", test.name, took))
			qt.Check(t, requests > 0, qt.IsTrue)
		})
	}
}
