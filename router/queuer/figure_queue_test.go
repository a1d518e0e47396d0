package queuer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldhill/router/queuer"
)

// scaledQueue is the rule of [queuer.Queue] for one kind of requests that all have the same
// aim, with a cost that is multiplied by a factor of the figure.
type scaledQueue struct {
	slots            int
	running, waiting []*scaledJob
	cost             time.Duration
}

type scaledJob struct {
	cost, work, start, end, aim, deadline time.Duration
	// factor is the one that the running time is divided by.
	factor float64
}

// offer reports whether a job is accepted.
func (q *scaledQueue) offer(now time.Duration, job *scaledJob) bool {
	q.removeLate(now)
	if now+job.cost > job.deadline {
		return false
	}
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		return true
	}
	wait := time.Duration(math.MaxInt64)
	for _, running := range q.running {
		wait = min(wait, max(running.start+running.cost-now, running.cost/4))
	}
	ahead := time.Duration(0)
	for _, waiting := range q.waiting {
		ahead += waiting.cost
	}
	wait = time.Duration(float64(wait) + float64(ahead)/float64(q.slots))
	return len(q.waiting) < 8*q.slots && now+wait+job.cost <= job.aim
}

// removeLate removes the waiting jobs that can't end by their deadline, and those that will
// miss their aim while enough others to fill the slots won't.
func (q *scaledQueue) removeLate(now time.Duration) {
	inTime := 0
	for _, job := range q.waiting {
		if now+job.cost <= job.aim {
			inTime++
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(job *scaledJob) bool {
		return now+job.cost > job.deadline || inTime >= q.slots && now+job.cost > job.aim
	})
}

// next removes and returns the waiting job that starts next: the first that meets its aim,
// or the first.
func (q *scaledQueue) next(now time.Duration) *scaledJob {
	index := max(slices.IndexFunc(q.waiting, func(job *scaledJob) bool { return now+job.cost <= job.aim }), 0)
	job := q.waiting[index]
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return job
}

// figureLoad is a load of requests with an aim of 500 ms and a deadline of 1.2 s for a
// server with 13 slots.
type figureLoad struct {
	series figureSeries
	model  timeModel
	// load is relative to the capacity of the server at the mean figure.
	load float64
}

const figureSlots = 13

// arrivals draws one minute of arrivals with their work.
func (l figureLoad) arrivals(seed uint64) []*scaledJob {
	random := rand.New(rand.NewPCG(seed, 2))
	rate := l.load * figureSlots / (0.16 * l.series.mean(0, 14*time.Second) / 100)
	var jobs []*scaledJob
	for now := time.Duration(0); now < time.Minute; now += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		jobs = append(jobs, &scaledJob{work: drawWork(random), start: now, aim: now + 500*ms, deadline: now + 1200*ms})
	}
	return jobs
}

// run returns the share of requests that ended within their aim and by their deadline.
func (l figureLoad) run(seed uint64, v figureVariant) (inAim, served float64) {
	queue := &scaledQueue{slots: figureSlots, cost: 100 * ms}
	known := false
	start := func(now time.Duration, job *scaledJob) {
		job.start, job.end, job.factor = now, now+l.model(l.series, now, job.work), v.use(l.series, now)/100
		index, _ := slices.BinarySearchFunc(queue.running, job, func(a, b *scaledJob) int { return int(a.end - b.end) })
		queue.running = slices.Insert(queue.running, index, job)
	}
	jobs := l.arrivals(seed)
	for _, job := range jobs {
		now := job.start
		for len(queue.running) > 0 && queue.running[0].end <= now {
			done := queue.running[0]
			queue.running = queue.running[1:]
			if done.end <= done.aim {
				inAim++
			}
			if done.end <= done.deadline {
				served++
			}
			sample := done.end - done.start
			if !v.raw {
				// Either the figure at the start or the figures since may have counted.
				sample = time.Duration(float64(sample) * 2 / (done.factor + v.use(l.series, done.end)/100))
			}
			if !known {
				queue.cost, known = sample, true
			} else {
				queue.cost += time.Duration(0.1 * float64(sample-queue.cost))
			}
			queue.removeLate(done.end)
			if len(queue.waiting) > 0 {
				start(done.end, queue.next(done.end))
			}
		}
		job.cost = time.Duration(float64(queue.cost) * v.use(l.series, now) / 100)
		switch {
		case !queue.offer(now, job):
		case len(queue.running) < queue.slots:
			start(now, job)
		default:
			queue.waiting = append(queue.waiting, job)
		}
	}
	return inAim / float64(len(jobs)), served / float64(len(jobs))
}

// runPresent is run with the present queue, which ignores the figure.
func (l figureLoad) runPresent(seed uint64) (inAim float64) {
	kind := kind{name: "find", rank: 1, aim: 500 * ms, deadline: 1200 * ms}
	queue := &queuePolicy{queue: queuer.NewQueue(figureSlots)}
	var ends []completion
	jobOf := make(map[any]*scaledJob)
	step := func(now time.Duration) {
		for _, entry := range queue.started() {
			end := completion{at: now + l.model(l.series, now, jobOf[entry].work), entry: entry}
			index, _ := slices.BinarySearchFunc(ends, end, func(a, b completion) int { return int(a.at - b.at) })
			ends = slices.Insert(ends, index, end)
		}
	}
	jobs := l.arrivals(seed)
	for _, job := range jobs {
		for len(ends) > 0 && ends[0].at <= job.start {
			end := ends[0]
			ends = ends[1:]
			if end.at <= jobOf[end.entry].aim {
				inAim++
			}
			queue.expiredEntries(end.at)
			queue.done(end.at, end.entry)
			step(end.at)
		}
		queue.expiredEntries(job.start)
		if entry, refused := queue.offer(job.start, arrival{at: job.start, kind: &kind}); !refused {
			jobOf[entry] = job
			step(job.start)
		}
	}
	return inAim / float64(len(jobs))
}

// mean returns the means of run over 5 seeds.
func (l figureLoad) mean(v figureVariant) (inAim, served float64) {
	const seeds = 5
	for seed := range uint64(seeds) {
		oneInAim, oneServed := l.run(seed, v)
		inAim += oneInAim / seeds
		served += oneServed / seeds
	}
	return inAim, served
}
