package admitter

import (
	"math"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// pressureIncrease and pressureDecrease are the weights with which an
	// interactive request moves the pressure toward 1 if it has to wait, and
	// toward 0 if it does not.
	pressureIncrease = 0.2
	pressureDecrease = 0.05
	// pressureTime is the time constant of the decay of the pressure.
	pressureTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which refused callers
	// are asked to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Job is a request for a slot.
type Job struct {
	// Profile is the name of its profile. The fields up to Weight are copied from
	// the profile.
	Profile string
	Class   messenger.Class
	Queue   int
	Share   float64
	Weight  int
	// Service, Key and Caller identify the request. Key and Caller are queued
	// fairly.
	Service string
	Key     string
	Caller  string
	// Timeout is the time left until its deadline.
	Timeout time.Duration
}

// entry is a job that has arrived: it waits, runs or was refused.
type entry struct {
	job      Job
	sequence uint64
	arrived  timer.Instant
	startTag float64
	waiting  bool
	// trial is set if the job was queued to measure the latency of its profile.
	trial bool
	// decision receives the one decision on an entry that had to wait.
	decision chan decision
}

// decision admits a job, or refuses it if reason is not ReasonNone.
type decision struct {
	reason messenger.Reason
	after  time.Duration
}

// notification is a decision on an entry that waited.
type notification struct {
	entry    *entry
	decision decision
}

// flow is the queue of one profile. The flows of a class share slots by stride
// scheduling.
type flow struct {
	queue *queue
	class messenger.Class
	// pass grows by 1/weight with each admitted request; the flow with the lowest
	// pass is next.
	pass float64
}

// policy decides which request runs next. It does no I/O, reads no clock and is not
// safe for concurrent use.
type policy struct {
	limiter   *limiter
	flows     map[string]*flow
	classPass map[messenger.Class]float64
	running   map[messenger.Class]int
	sequence  uint64
	// pressure is a decaying average, from 0 to 1, of the fraction of interactive
	// requests that have to wait.
	pressure        float64
	pressureUpdated timer.Instant
}

func newPolicy(now timer.Instant, slots int, cold bool) *policy {
	return &policy{
		limiter:         newLimiter(now, slots, cold),
		flows:           make(map[string]*flow),
		classPass:       make(map[messenger.Class]float64),
		running:         make(map[messenger.Class]int),
		pressureUpdated: now,
	}
}

// arrive admits, refuses (with a reason) or queues a new job. If the queue is full, the
// job may displace a waiting one, which is then refused.
func (p *policy) arrive(now timer.Instant, job Job) (e *entry, decided decision, notifications []notification) {
	p.sequence++
	e = &entry{job: job, sequence: p.sequence, arrived: now}
	flow := p.flow(&job)
	// The limit of a cold server may have risen since the last event.
	notifications = p.admitWaiting(now)
	if flow.queue.size == 0 && p.hasRoom(now, &job) {
		p.updatePressure(now, job.Class, false)
		p.admit(flow, e)
		return e, decision{}, notifications
	}
	p.updatePressure(now, job.Class, true)
	if job.Queue == 0 {
		return e, p.refusal(now, flow, p.fullReason(now, &job)), notifications
	}
	known := p.limiter.latency(job.Profile)
	if wait := p.estimateWait(now, flow, &job); wait+known.mean() > job.Timeout {
		if e.trial = flow.queue.size == 0 && known.takeTrial(now); !e.trial {
			return e, p.refusal(now, flow, messenger.ReasonDeadline), notifications
		}
	}
	if flow.queue.size >= job.Queue {
		refused, ok := p.chooseDisplaced(now, flow, e)
		if !ok {
			return e, refused, notifications
		}
		notifications = append(notifications, notification{flow.queue.last(), refused})
		flow.queue.remove(flow.queue.last())
	}
	e.waiting = true
	e.decision = make(chan decision, 1)
	flow.queue.push(e)
	return e, decision{}, notifications
}

// chooseDisplaced decides which job a full queue refuses: the new one, or the waiting
// one with the highest start tag, whose key or caller exceeds its fair share most. It
// returns the refusal and reports whether it is for the waiting one.
func (p *policy) chooseDisplaced(now timer.Instant, flow *flow, e *entry) (refused decision, isWaiting bool) {
	last := flow.queue.last()
	startTag := flow.queue.startTagOf(&e.job)
	if last.startTag > startTag {
		return p.refusal(now, flow, messenger.ReasonFair), true
	}
	if startTag > flow.queue.startTag+1 {
		return p.refusal(now, flow, messenger.ReasonFair), false
	}
	return p.refusal(now, flow, p.fullReason(now, &e.job)), false
}

// fullReason returns the reason for refusing a job when the queue is full.
func (p *policy) fullReason(now timer.Instant, job *Job) messenger.Reason {
	total := p.running[messenger.ClassInteractive] + p.running[messenger.ClassBackground]
	if job.Class == messenger.ClassBackground && total < p.limiter.allowed(now) {
		return messenger.ReasonShare
	}
	return messenger.ReasonQueue
}

// finish removes a job that has run and admits waiting ones.
func (p *policy) finish(now timer.Instant, e *entry, sample Sample) []notification {
	total := p.running[messenger.ClassInteractive] + p.running[messenger.ClassBackground]
	p.running[e.job.Class]--
	sample.trial = e.trial
	p.limiter.observe(now, e.job.Profile, total, sample)
	return p.admitWaiting(now)
}

// abandon removes a job that was admitted but not sent to the server.
func (p *policy) abandon(now timer.Instant, e *entry) []notification {
	p.running[e.job.Class]--
	return p.admitWaiting(now)
}

// cancel removes a waiting job. It returns false if the job is not waiting.
func (p *policy) cancel(e *entry) bool {
	if !e.waiting {
		return false
	}
	p.flow(&e.job).queue.remove(e)
	return true
}

// admitWaiting admits waiting jobs while the limit allows.
func (p *policy) admitWaiting(now timer.Instant) []notification {
	var notifications []notification
	for _, class := range []messenger.Class{messenger.ClassInteractive, messenger.ClassBackground} {
		for {
			flow := p.next(now, class)
			if flow == nil {
				break
			}
			e := flow.queue.peek()
			flow.queue.startTag = max(flow.queue.startTag, e.startTag)
			flow.queue.remove(e)
			p.admit(flow, e)
			notifications = append(notifications, notification{e, decision{}})
		}
	}
	return notifications
}

// next returns the flow of a class to admit from, or nil if none may run a job.
func (p *policy) next(now timer.Instant, class messenger.Class) *flow {
	var best *flow
	for _, flow := range p.flows {
		if flow.class != class || flow.queue.size == 0 {
			continue
		}
		if !p.hasRoom(now, &flow.queue.peek().job) {
			continue
		}
		if best == nil || runsBefore(flow, best) {
			best = flow
		}
	}
	return best
}

// runsBefore orders flows by pass, then by the arrival of their next entries, so that
// the result does not depend on map iteration order.
func runsBefore(a, b *flow) bool {
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.queue.peek().sequence < b.queue.peek().sequence
}

func (p *policy) admit(flow *flow, e *entry) {
	p.running[e.job.Class]++
	flow.pass = max(flow.pass, p.classPass[e.job.Class])
	p.classPass[e.job.Class] = flow.pass
	flow.pass += 1 / float64(max(1, e.job.Weight))
}

// hasRoom reports whether the limits allow a job to run now.
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

// backgroundSlots returns how many slots background requests may use: their share,
// reduced by the pressure. It is at least one, so that they are not starved while
// interactive requests leave slots free.
func (p *policy) backgroundSlots(now timer.Instant, share float64) int {
	limit := share * float64(p.limiter.allowed(now))
	// Rounding keeps a slight pressure from costing a whole slot.
	slots := math.Round(math.Floor(limit) * (1 - p.pressureAt(now)))
	return max(1, int(slots))
}

// pressureAt returns the pressure, decayed until now.
func (p *policy) pressureAt(now timer.Instant) float64 {
	return p.pressure * math.Exp(-float64(now.Since(p.pressureUpdated))/float64(pressureTime))
}

// updatePressure updates the pressure for an arrival.
func (p *policy) updatePressure(now timer.Instant, class messenger.Class, waiting bool) {
	if class == messenger.ClassBackground {
		return
	}
	pressure := p.pressureAt(now)
	if waiting {
		pressure += pressureIncrease * (1 - pressure)
	} else {
		pressure -= pressureDecrease * pressure
	}
	p.pressure = pressure
	p.pressureUpdated = now
}

// estimateWait predicts how long a job would wait behind the entries that are queued
// before it.
func (p *policy) estimateWait(now timer.Instant, flow *flow, job *Job) time.Duration {
	ahead := flow.queue.size
	rounds := flow.queue.startTagOf(job) - flow.queue.startTag + 1
	ahead = min(ahead, int(rounds)*len(flow.queue.keyFinish))
	mean := p.limiter.latency(job.Profile).mean()
	return time.Duration(ahead+1) * mean / time.Duration(p.limiter.allowed(now))
}

// refusal returns a refusal with the time until the queue of the flow is expected to
// be empty.
func (p *policy) refusal(now timer.Instant, flow *flow, reason messenger.Reason) decision {
	mean := time.Duration(0)
	if e := flow.queue.peek(); e != nil {
		mean = p.limiter.latency(e.job.Profile).mean()
	}
	after := time.Duration(flow.queue.size) * mean / time.Duration(p.limiter.allowed(now))
	return decision{reason: reason, after: min(max(after, minRetryAfter), maxRetryAfter)}
}

// flow returns the flow of the profile of a job. A profile whose class has changed gets
// a new flow once its queue is empty.
func (p *policy) flow(job *Job) *flow {
	known, ok := p.flows[job.Profile]
	if !ok || known.class != job.Class && known.queue.size == 0 {
		known = &flow{queue: newQueue(), class: job.Class}
		p.flows[job.Profile] = known
	}
	return known
}
