package warmer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/warmer"
)

const (
	ms   = time.Millisecond
	cold = 3 * time.Second
	// settled is a time at which nothing that happened at the start matters.
	settled = time.Minute
)

// step is an input to a Warmer at a time after settled.
type step struct {
	at    time.Duration
	apply func(w *warmer.Warmer, now time.Duration)
}

func happens(at time.Duration, event warmer.Event) step {
	return step{at, func(w *warmer.Warmer, now time.Duration) { w.Happened(now, event) }}
}

func announces(at, left time.Duration) step {
	return step{at, func(w *warmer.Warmer, now time.Duration) { w.Announced(now, left) }}
}

func checks(at time.Duration) step {
	return step{at, func(w *warmer.Warmer, now time.Duration) { w.CheckStarted(now) }}
}

func answers(at, left time.Duration) step {
	return step{at, func(w *warmer.Warmer, now time.Duration) { w.CheckEnded(now, &left) }}
}

func answersNothing(at time.Duration) step {
	return step{at, func(w *warmer.Warmer, now time.Duration) { w.CheckEnded(now, nil) }}
}

// Guards against a server that is treated as warm on the word of a report that is older
// than what made it cold, and against one that stays cold although it is warm.
func TestVerdict(t *testing.T) {
	withdrawn := happens(0, warmer.EvacuationEnded)
	tests := []struct {
		name   string
		steps  []step
		at     time.Duration
		want   bool
		source string
	}{
		{name: "nothing happened", want: false, source: warmer.SourceTime},
		{name: "event", steps: []step{withdrawn}, at: 2999 * ms, want: true, source: string(warmer.EvacuationEnded)},
		{name: "event, cold time over", steps: []step{withdrawn}, at: 3000 * ms, source: warmer.SourceTime},
		{name: "second event extends", steps: []step{withdrawn, happens(2000*ms, warmer.ConnectionRefused)}, at: 4900 * ms, want: true, source: string(warmer.ConnectionRefused)},
		{name: "announcement of cold", steps: []step{announces(0, 2*time.Second)}, at: 1900 * ms, want: true, source: warmer.SourceAnnouncement},
		{name: "announcement of cold, over", steps: []step{announces(0, 2*time.Second)}, at: 2000 * ms, source: warmer.SourceAnnouncement},
		{name: "next announcement without time left", steps: []step{announces(0, 2*time.Second), announces(900*ms, 0)}, at: 900 * ms, source: warmer.SourceAnnouncement},
		{name: "announcement sent before the withdrawal", steps: []step{withdrawn, announces(1199*ms, 0)}, at: 1200 * ms, want: true, source: string(warmer.EvacuationEnded)},
		{name: "announcement sent after it", steps: []step{withdrawn, announces(1200*ms, 0)}, at: 1200 * ms, source: warmer.SourceAnnouncement},
		{name: "early announcement of less time left", steps: []step{withdrawn, announces(100*ms, 200*ms)}, at: 400 * ms, want: true, source: string(warmer.EvacuationEnded)},
		{name: "early announcement of more time left", steps: []step{withdrawn, announces(100*ms, 5*time.Second)}, at: 5000 * ms, want: true, source: warmer.SourceAnnouncement},
		{name: "answer: warm", steps: []step{withdrawn, checks(0), answers(5*ms, 0)}, at: 6 * ms, source: warmer.SourceHealth},
		{name: "answer: cold for longer", steps: []step{withdrawn, checks(0), answers(5*ms, 4*time.Second)}, at: 4000 * ms, want: true, source: warmer.SourceHealth},
		{name: "answer: cold for less", steps: []step{withdrawn, checks(0), answers(5*ms, time.Second)}, at: 1100 * ms, source: warmer.SourceHealth},
		{name: "announcement that is seconds late after the answer", steps: []step{withdrawn, checks(0), answers(5*ms, 3*time.Second), announces(1500*ms, 0)}, at: 1500 * ms, want: true, source: warmer.SourceHealth},
		{name: "answer sent before the event", steps: []step{withdrawn, checks(0), happens(3*ms, warmer.ConnectionBroken), answers(5*ms, 0)}, at: 6 * ms, want: true, source: string(warmer.ConnectionBroken)},
		{name: "no answer", steps: []step{withdrawn, checks(0), answersNothing(1000 * ms)}, at: 2900 * ms, want: true, source: string(warmer.EvacuationEnded)},
		{name: "time left without bounds", steps: []step{announces(0, 1e6*time.Hour)}, at: time.Minute, source: warmer.SourceAnnouncement},
		{name: "negative time left", steps: []step{announces(0, -time.Hour)}, at: 0, source: warmer.SourceAnnouncement},
	}
	for _, test := range tests {
		w := warmer.New(0)
		w.SetCold(cold)
		for _, step := range test.steps {
			step.apply(w, settled+step.at)
		}
		verdict := w.Verdict(settled + test.at)
		qt.Check(t, verdict.Cold, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, verdict.Source, qt.Equals, test.source, qt.Commentf(test.name))
		qt.Check(t, verdict.Cold, qt.Equals, verdict.Left > 0, qt.Commentf(test.name))
	}
}

// A router that has just started knows nothing of the server beside it.
func TestServerIsColdAtStartOfRouter(t *testing.T) {
	w := warmer.New(0)
	// The time comes with the configuration, after the start.
	w.SetCold(cold)
	qt.Check(t, w.Verdict(2999*ms).Cold, qt.IsTrue)
	qt.Check(t, w.Verdict(3000*ms).Cold, qt.IsFalse)
}

// Each health check costs the server a part of a slot. Guards against periodic checks, and
// against an event whose check is lost.
func TestNextCheck(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		at    time.Duration
		wait  time.Duration
		due   bool
	}{
		{name: "none without an event", steps: []step{checks(0), answers(5*ms, 0)}, at: time.Hour},
		{name: "none after an announcement", steps: []step{checks(0), answers(5*ms, 0), announces(10*ms, time.Second)}, at: 2 * time.Second},
		{name: "at once", steps: []step{checks(-2 * time.Second), answers(-2*time.Second+5*ms, 0), happens(0, warmer.ConnectionBroken)}, due: true},
		{name: "one per second", steps: []step{checks(0), answers(5*ms, 0), happens(200*ms, warmer.ConnectionBroken)}, at: 300 * ms, wait: 700 * ms, due: true},
		{name: "not beside another one", steps: []step{checks(0), happens(200*ms, warmer.ConnectionBroken)}, at: 300 * ms},
		{name: "after the other one", steps: []step{checks(0), happens(200*ms, warmer.ConnectionBroken), answersNothing(1000 * ms)}, at: 1000 * ms, due: true},
		{name: "not repeated without an answer", steps: []step{checks(0), answersNothing(1000 * ms)}, at: 2 * time.Second},
	}
	for _, test := range tests {
		w := warmer.New(0)
		w.SetCold(cold)
		for _, step := range test.steps {
			step.apply(w, settled+step.at)
		}
		wait, due := w.NextCheck(settled + test.at)
		qt.Check(t, wait, qt.Equals, test.wait, qt.Commentf(test.name))
		qt.Check(t, due, qt.Equals, test.due, qt.Commentf(test.name))
	}
	_, due := warmer.New(0).NextCheck(0)
	qt.Check(t, due, qt.IsTrue, qt.Commentf("start of the router"))
}

// Each change is a command in the log of the control group. Guards against a server whose
// state alternates quickly.
func TestSteadyChangesTwicePerSecond(t *testing.T) {
	var s warmer.Steady
	changes, last := 0, false
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		if value := s.Update(now, now/(10*ms)%2 == 0); value != last {
			changes++
			last = value
		}
	}
	qt.Check(t, changes > 10 && changes <= 20, qt.IsTrue, qt.Commentf("%d changes", changes))
}
