package admitter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

var origin = timer.Instant{}.Add(time.Hour)

func at(d time.Duration) timer.Instant {
	return origin.Add(d)
}

func interactive(key string) Job {
	return Job{
		Profile: "read", Class: messenger.ClassInteractive, Queue: 10, Share: 1, Weight: 1,
		Key: key, Caller: "caller-" + key, Timeout: 10 * time.Second,
	}
}

func background(key string) Job {
	job := interactive(key)
	job.Profile = "archive"
	job.Class = messenger.ClassBackground
	job.Share = 0.5
	return job
}

// enter expects a job to be let in at once.
func enter(t *testing.T, p *policy, now timer.Instant, job Job) *ticket {
	t.Helper()
	ticket, decided, _ := p.arrive(now, job)
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonNone)
	qt.Assert(t, ticket.waiting, qt.IsFalse)
	return ticket
}

// queue expects a job to wait.
func queueUp(t *testing.T, p *policy, now timer.Instant, job Job) *ticket {
	t.Helper()
	ticket, decided, _ := p.arrive(now, job)
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonNone)
	qt.Assert(t, ticket.waiting, qt.IsTrue)
	return ticket
}

// order finishes one job after another and lists the keys that are let in.
func order(p *policy, now timer.Instant, running *ticket) []string {
	var keys []string
	for {
		changes := p.finish(now, running, Sample{Time: time.Millisecond})
		if len(changes) == 0 {
			return keys
		}
		running = changes[0].ticket
		keys = append(keys, running.job.Key)
	}
}

func TestInteractiveGoesFirst(t *testing.T) {
	p := newPolicy(origin, 1, false)
	running := enter(t, p, origin, interactive("a"))
	queueUp(t, p, origin, background("b1"))
	queueUp(t, p, origin, background("b2"))
	queueUp(t, p, origin, interactive("i1"))
	queueUp(t, p, origin, interactive("i2"))
	qt.Assert(t, order(p, origin, running), qt.DeepEquals, []string{"i1", "i2", "b1", "b2"})
}

func TestHotKeyTakesTurns(t *testing.T) {
	p := newPolicy(origin, 1, false)
	running := enter(t, p, origin, interactive("hot"))
	for range 4 {
		queueUp(t, p, origin, interactive("hot"))
	}
	queueUp(t, p, origin, interactive("a"))
	queueUp(t, p, origin, interactive("b"))
	qt.Assert(t, order(p, origin, running), qt.DeepEquals, []string{"hot", "a", "b", "hot", "hot", "hot"})
}

func TestHotKeyOfManyCallersTakesTurns(t *testing.T) {
	p := newPolicy(origin, 1, false)
	running := enter(t, p, origin, interactive("x"))
	for i := range 3 {
		job := interactive("hot")
		job.Caller = fmt.Sprint(i)
		queueUp(t, p, origin, job)
	}
	queueUp(t, p, origin, interactive("a"))
	qt.Assert(t, order(p, origin, running), qt.DeepEquals, []string{"hot", "a", "hot", "hot"})
}

// TestSlotsOfAWarmServer gives slots that a server got by warming up to who
// waits, before who arrives.
func TestSlotsOfAWarmServer(t *testing.T) {
	p := newPolicy(origin, 4, true)
	enter(t, p, origin, interactive("x"))
	waiting := queueUp(t, p, origin, interactive("a"))
	p.limiter.limit = 2
	_, decided, changes := p.arrive(at(warmTime), background("b"))
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonNone)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Assert(t, changes[0].ticket == waiting, qt.IsTrue)
	qt.Assert(t, p.running[messenger.ClassBackground], qt.Equals, 0)
}

func TestHotCallerTakesTurns(t *testing.T) {
	p := newPolicy(origin, 1, false)
	running := enter(t, p, origin, interactive("x"))
	for i := range 3 {
		job := interactive(fmt.Sprintf("hot-%d", i))
		job.Caller = "hot"
		queueUp(t, p, origin, job)
	}
	queueUp(t, p, origin, interactive("a"))
	qt.Assert(t, order(p, origin, running), qt.DeepEquals, []string{"hot-0", "a", "hot-1", "hot-2"})
}

func TestProfilesShareByWeight(t *testing.T) {
	p := newPolicy(origin, 1, false)
	running := enter(t, p, origin, interactive("x"))
	for i := range 6 {
		heavy := interactive(fmt.Sprintf("heavy-%d", i))
		heavy.Profile, heavy.Weight = "heavy", 3
		queueUp(t, p, origin, heavy)
		light := interactive(fmt.Sprintf("light-%d", i))
		light.Profile = "light"
		queueUp(t, p, origin, light)
	}
	count := map[string]int{}
	for _, key := range order(p, origin, running)[:8] {
		count[key[:5]]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{"heavy": 6, "light": 2})
}

func TestFullQueueDropsWhoHadMost(t *testing.T) {
	p := newPolicy(origin, 1, false)
	enter(t, p, origin, interactive("hot"))
	var last *ticket
	for range 10 {
		last = queueUp(t, p, origin, interactive("hot"))
	}
	_, decided, _ := p.arrive(origin, interactive("hot"))
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonFair)
	other, decided, changes := p.arrive(origin, interactive("other"))
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonNone)
	qt.Assert(t, other.waiting, qt.IsTrue)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Assert(t, changes[0].ticket == last, qt.IsTrue)
	qt.Assert(t, changes[0].verdict.reason, qt.Equals, messenger.ReasonFair)
	qt.Assert(t, changes[0].verdict.after >= retryMin, qt.IsTrue)
}

func TestFullQueueOfManyKeys(t *testing.T) {
	p := newPolicy(origin, 1, false)
	enter(t, p, origin, interactive("x"))
	for i := range 10 {
		queueUp(t, p, origin, interactive(fmt.Sprint(i)))
	}
	_, decided, _ := p.arrive(origin, interactive("late"))
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonQueue)
}

func TestBackgroundHoldsItsShare(t *testing.T) {
	p := newPolicy(origin, 6, false)
	for i := range 3 {
		enter(t, p, origin, background(fmt.Sprint(i)))
	}
	waiting := queueUp(t, p, origin, background("late"))
	enter(t, p, origin, interactive("a"))
	qt.Assert(t, p.fill(origin), qt.HasLen, 0)
	qt.Assert(t, waiting.waiting, qt.IsTrue)
}

func TestBackgroundGivesWay(t *testing.T) {
	p := newPolicy(origin, 6, false)
	qt.Assert(t, p.backgroundSlots(origin, 0.5), qt.Equals, 3)
	for range 20 {
		p.press(origin, messenger.ClassInteractive, true)
	}
	qt.Assert(t, p.backgroundSlots(origin, 0.5), qt.Equals, 1)
	// It gets its share back once interactive work queues no more.
	qt.Assert(t, p.backgroundSlots(at(3*time.Second), 0.5), qt.Equals, 2)
	qt.Assert(t, p.backgroundSlots(at(10*time.Second), 0.5), qt.Equals, 3)
}

func TestLateJobIsRefusedAtOnce(t *testing.T) {
	p := newPolicy(origin, 1, false)
	for range 20 {
		running := enter(t, p, origin, interactive("a"))
		p.finish(origin, running, Sample{Time: time.Second})
	}
	enter(t, p, origin, interactive("a"))
	for i := range 3 {
		queueUp(t, p, origin, interactive(fmt.Sprint(i)))
	}
	job := interactive("late")
	job.Timeout = 1500 * time.Millisecond
	_, decided, _ := p.arrive(origin, job)
	qt.Assert(t, decided.reason, qt.Equals, messenger.ReasonDeadline)
	qt.Assert(t, decided.after, qt.Equals, 3*time.Second)
	queueUp(t, p, origin, interactive("patient"))
}

func TestLimiter(t *testing.T) {
	steady := Sample{Time: 10 * time.Millisecond}
	tests := []struct {
		name    string
		cold    bool
		samples func(l *limiter)
		now     time.Duration
		allowed int
	}{
		{"as announced", false, func(*limiter) {}, 0, 8},
		{"shed once", false, func(l *limiter) { l.observe(origin, "p", 8, Sample{Shed: true}) }, 0, 5},
		{"burst counts once", false, func(l *limiter) {
			for range 8 {
				l.observe(origin, "p", 8, Sample{Shed: true})
			}
		}, 0, 5},
		{"sheds on", false, func(l *limiter) {
			for i := range 20 {
				l.observe(at(time.Duration(i)*cutInterval), "p", 8, Sample{Failed: true})
			}
		}, 0, 1},
		{"recovers", false, func(l *limiter) {
			l.observe(origin, "p", 8, Sample{Shed: true})
			for range 100 {
				l.observe(origin, "p", 8, steady)
			}
		}, 0, 8},
		{"grows only when used", false, func(l *limiter) {
			l.observe(origin, "p", 8, Sample{Shed: true})
			for range 100 {
				l.observe(origin, "p", 1, steady)
			}
		}, 0, 5},
		{"slows down", false, func(l *limiter) {
			for range 50 {
				l.observe(origin, "p", 8, steady)
			}
			for i := range 50 {
				l.observe(at(time.Duration(i)*cutInterval), "p", 8, Sample{Time: 50 * time.Millisecond})
			}
		}, 0, 4},
		{"slow profile beside a quick one", false, func(l *limiter) {
			for range 50 {
				l.observe(origin, "quick", 8, steady)
				l.observe(origin, "slow", 8, Sample{Time: time.Second})
			}
		}, 0, 8},
		{"cold", true, func(*limiter) {}, 0, 2},
		{"warm by half", true, func(l *limiter) {
			for range 100 {
				l.observe(at(warmTime/2), "p", 8, steady)
			}
		}, warmTime / 2, 5},
		{"warm", true, func(l *limiter) {
			for range 100 {
				l.observe(at(warmTime), "p", 8, steady)
			}
		}, warmTime, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLimiter(origin, 8, test.cold)
			test.samples(l)
			qt.Assert(t, l.allowed(at(test.now)), qt.Equals, test.allowed)
		})
	}
}
