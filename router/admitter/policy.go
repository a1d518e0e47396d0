package admitter

import (
	"math"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// pressureRise and pressureFall are how much an interactive request that
	// had to wait, or did not, moves the pressure towards 1 or 0.
	pressureRise = 0.2
	pressureFall = 0.05
	// pressureTime is the time constant with which the pressure fades.
	pressureTime = 2 * time.Second
	// retryMin and retryMax bound when refused callers are told to come back.
	retryMin = 100 * time.Millisecond
	retryMax = 30 * time.Second
)

// Job is a request that wants a slot.
type Job struct {
	// Profile is the name of its profile; the fields up to Weight are copied
	// from there.
	Profile string
	Class   messenger.Class
	Queue   int
	Share   float64
	Weight  int
	// Service, Key and Caller say whose part it takes.
	Service string
	Key     string
	Caller  string
	// Timeout is the time left until its deadline.
	Timeout time.Duration
}

// ticket is a job on its way.
type ticket struct {
	job      Job
	sequence uint64
	arrived  timer.Instant
	turn     float64
	waiting  bool
	// verdict gets the one verdict on a ticket that had to wait.
	verdict chan verdict
}

// verdict is the decision on a job. A reason other than ReasonNone refuses it.
type verdict struct {
	reason messenger.Reason
	after  time.Duration
}

// change is a verdict on a ticket that waited.
type change struct {
	ticket  *ticket
	verdict verdict
}

// lane is the queue of one profile with the pass of its class's schedule.
type lane struct {
	queue *queue
	class messenger.Class
	// pass grows by 1/weight with each request that is let in; the lane with
	// the lowest pass is next.
	pass float64
}

// policy decides who runs next. It does no I/O, reads no clock and is not safe
// for concurrent use.
type policy struct {
	limiter  *limiter
	lanes    map[string]*lane
	passes   map[messenger.Class]float64
	running  map[messenger.Class]int
	sequence uint64
	// pressure is how much interactive work queues, 0 to 1.
	pressure float64
	pressed  timer.Instant
}

func newPolicy(now timer.Instant, slots int, cold bool) *policy {
	return &policy{
		limiter: newLimiter(now, slots, cold),
		lanes:   make(map[string]*lane),
		passes:  make(map[messenger.Class]float64),
		running: make(map[messenger.Class]int),
		pressed: now,
	}
}

// arrive decides on a new job: it is let in, refused (with a reason), or waits.
// A waiting job of another may have to leave for it.
func (p *policy) arrive(now timer.Instant, job Job) (t *ticket, decided verdict, changes []change) {
	p.sequence++
	t = &ticket{job: job, sequence: p.sequence, arrived: now}
	lane := p.lane(&job)
	// A cold server may have got slots since the last event.
	changes = p.fill(now)
	if lane.queue.size == 0 && p.hasRoom(now, &job) {
		p.press(now, job.Class, false)
		p.start(lane, t)
		return t, verdict{}, changes
	}
	p.press(now, job.Class, true)
	if job.Queue == 0 {
		return t, p.refusal(now, lane, p.fullReason(now, &job)), changes
	}
	if wait := p.estimate(now, lane, &job); wait+p.limiter.latency(job.Profile).mean() > job.Timeout {
		return t, p.refusal(now, lane, messenger.ReasonDeadline), changes
	}
	if lane.queue.size >= job.Queue {
		left, ok := p.displace(now, lane, t)
		if !ok {
			return t, left, changes
		}
		changes = append(changes, change{lane.queue.hindmost(), left})
		lane.queue.remove(lane.queue.hindmost())
	}
	t.waiting = true
	t.verdict = make(chan verdict, 1)
	lane.queue.push(t)
	return t, verdict{}, changes
}

// displace decides who leaves a full queue: the new job, or the one that had
// the most of its part. It returns the verdict on that one.
func (p *policy) displace(now timer.Instant, lane *lane, t *ticket) (left verdict, other bool) {
	hindmost := lane.queue.hindmost()
	turn := lane.queue.turnOf(&t.job)
	if hindmost.turn > turn {
		return p.refusal(now, lane, messenger.ReasonFair), true
	}
	if turn > lane.queue.turn+1 {
		return p.refusal(now, lane, messenger.ReasonFair), false
	}
	return p.refusal(now, lane, p.fullReason(now, &t.job)), false
}

// fullReason is the reason of a job that finds no room.
func (p *policy) fullReason(now timer.Instant, job *Job) messenger.Reason {
	total := p.running[messenger.ClassInteractive] + p.running[messenger.ClassBackground]
	if job.Class == messenger.ClassBackground && total < p.limiter.allowed(now) {
		return messenger.ReasonShare
	}
	return messenger.ReasonQueue
}

// finish ends a job that was let in, and lets in others.
func (p *policy) finish(now timer.Instant, t *ticket, sample Sample) []change {
	total := p.running[messenger.ClassInteractive] + p.running[messenger.ClassBackground]
	p.running[t.job.Class]--
	p.limiter.observe(now, t.job.Profile, total, sample)
	return p.fill(now)
}

// abandon ends a job that was let in but not sent to the server.
func (p *policy) abandon(now timer.Instant, t *ticket) []change {
	p.running[t.job.Class]--
	return p.fill(now)
}

// leave takes out a job that waits. It returns false when it does not.
func (p *policy) leave(t *ticket) bool {
	if !t.waiting {
		return false
	}
	p.lane(&t.job).queue.remove(t)
	return true
}

// fill lets in jobs while there is room.
func (p *policy) fill(now timer.Instant) []change {
	var changes []change
	for _, class := range []messenger.Class{messenger.ClassInteractive, messenger.ClassBackground} {
		for {
			lane := p.next(now, class)
			if lane == nil {
				break
			}
			t := lane.queue.peek()
			lane.queue.turn = max(lane.queue.turn, t.turn)
			lane.queue.remove(t)
			p.start(lane, t)
			changes = append(changes, change{t, verdict{}})
		}
	}
	return changes
}

// next is the lane of a class whose turn it is, among those with room.
func (p *policy) next(now timer.Instant, class messenger.Class) *lane {
	var best *lane
	for _, lane := range p.lanes {
		if lane.class != class || lane.queue.size == 0 {
			continue
		}
		if !p.hasRoom(now, &lane.queue.peek().job) {
			continue
		}
		if best == nil || isEarlier(lane, best) {
			best = lane
		}
	}
	return best
}

// isEarlier orders lanes by pass, then by the age of who waits, so that the
// order of a map decides nothing.
func isEarlier(a, b *lane) bool {
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.queue.peek().sequence < b.queue.peek().sequence
}

func (p *policy) start(lane *lane, t *ticket) {
	p.running[t.job.Class]++
	lane.pass = max(lane.pass, p.passes[t.job.Class])
	p.passes[t.job.Class] = lane.pass
	lane.pass += 1 / float64(max(1, t.job.Weight))
}

// hasRoom reports whether a job may run now.
func (p *policy) hasRoom(now timer.Instant, job *Job) bool {
	total := p.running[messenger.ClassInteractive] + p.running[messenger.ClassBackground]
	allowed := p.limiter.allowed(now)
	if total >= allowed {
		return false
	}
	if job.Class != messenger.ClassBackground {
		return true
	}
	return p.running[messenger.ClassBackground] < p.backgroundSlots(now, job.Share)
}

// backgroundSlots is how many slots background work may hold: its share, less
// as interactive work queues. One is left to it, so that it never stops for
// good while interactive work leaves room.
func (p *policy) backgroundSlots(now timer.Instant, share float64) int {
	most := share * float64(p.limiter.allowed(now))
	// Rounded, so that a trace of pressure costs no whole slot.
	left := math.Round(math.Floor(most) * (1 - p.pressureAt(now)))
	return max(1, int(left))
}

// pressureAt is the pressure, faded until now.
func (p *policy) pressureAt(now timer.Instant) float64 {
	return p.pressure * math.Exp(-float64(now.Since(p.pressed))/float64(pressureTime))
}

// press moves the pressure for an arrival.
func (p *policy) press(now timer.Instant, class messenger.Class, waits bool) {
	if class == messenger.ClassBackground {
		return
	}
	pressure := p.pressureAt(now)
	if waits {
		pressure += pressureRise * (1 - pressure)
	} else {
		pressure -= pressureFall * pressure
	}
	p.pressure = pressure
	p.pressed = now
}

// estimate is how long a job would wait. Only those whose turn comes before
// count.
func (p *policy) estimate(now timer.Instant, lane *lane, job *Job) time.Duration {
	ahead := lane.queue.size
	rounds := lane.queue.turnOf(job) - lane.queue.turn + 1
	ahead = min(ahead, int(rounds)*len(lane.queue.keys))
	mean := p.limiter.latency(job.Profile).mean()
	return time.Duration(ahead+1) * mean / time.Duration(p.limiter.allowed(now))
}

// refusal refuses a job, and tells when its lane will have emptied.
func (p *policy) refusal(now timer.Instant, lane *lane, reason messenger.Reason) verdict {
	mean := time.Duration(0)
	if t := lane.queue.peek(); t != nil {
		mean = p.limiter.latency(t.job.Profile).mean()
	}
	after := time.Duration(lane.queue.size) * mean / time.Duration(p.limiter.allowed(now))
	return verdict{reason: reason, after: min(max(after, retryMin), retryMax)}
}

func (p *policy) lane(job *Job) *lane {
	known, ok := p.lanes[job.Profile]
	if !ok || known.class != job.Class && known.queue.size == 0 {
		known = &lane{queue: newQueue(), class: job.Class}
		p.lanes[job.Profile] = known
	}
	return known
}
