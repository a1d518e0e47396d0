package sampler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/sampler"
)

func TestReport(t *testing.T) {
	s := sampler.New()
	for n := range 1000 {
		s.Arrived(uint32(n * 60))
	}
	for range 500 {
		s.Arrived(30_001)
	}
	s.Finished(100 * time.Millisecond)
	s.Finished(300 * time.Millisecond)
	rows := []messenger.RangeRow{{From: 0, To: 29_999}, {From: 30_000, To: messenger.LastKey}}
	now := timer.Now()
	qt.Assert(t, s.Report(now, rows), qt.IsNil)
	report := s.Report(now.Add(time.Second), rows)
	qt.Assert(t, report.Finished, qt.Equals, uint64(2))
	qt.Assert(t, report.Busy, qt.Equals, 400*time.Millisecond)
	qt.Assert(t, len(report.Loads) <= 52, qt.IsTrue, qt.Commentf("%d parts", len(report.Loads)))
	next, sum := uint32(0), uint64(0)
	for _, load := range report.Loads {
		qt.Assert(t, load.From, qt.Equals, next)
		next = load.To + 1
		sum += load.Arrivals
		if load.From <= 30_001 && load.To >= 30_001 {
			qt.Check(t, load.To, qt.Equals, load.From, qt.Commentf("hot key is not a separate part"))
		}
	}
	qt.Assert(t, next, qt.Equals, uint32(messenger.LastKey+1))
	qt.Assert(t, sum, qt.Equals, uint64(1500))
	empty := s.Report(now.Add(2*time.Second), rows)
	qt.Assert(t, empty.Loads, qt.HasLen, 2)
}
