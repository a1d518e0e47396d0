package queuer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// KindTotals counts the jobs of one kind. Wait and Run are sums over the jobs that ended.
type KindTotals struct {
	Kind string
	Rank int
	// Call is set if the last job was a call.
	Call    bool
	Offered int
	// Refused counts the jobs that got no slot, Served those released as served, and Failed
	// the others that had a slot.
	Refused int
	Served  int
	Failed  int
	// Wait is the time from arrival to start, Run the time that slots were held.
	Wait time.Duration
	Run  time.Duration
}

// Ended returns the number of jobs that had a slot and have released it.
func (t KindTotals) Ended() int {
	return t.Served + t.Failed
}

// kindTotals returns the counters of the kind of a job.
func (q *Queue) kindTotals(job Job) *KindTotals {
	totals := q.totals[job.Kind]
	if totals == nil {
		totals = &KindTotals{Kind: job.Kind}
		q.totals[job.Kind] = totals
	}
	totals.Rank, totals.Call = job.Rank, job.Call
	return totals
}

// countEnd counts the end of a job that had a slot.
func (q *Queue) countEnd(now time.Duration, entry *Entry, served bool) {
	totals := q.kindTotals(entry.Job)
	if served {
		totals.Served++
	} else {
		totals.Failed++
	}
	totals.Wait += entry.started - entry.arrived
	totals.Run += entry.elapsed(now)
}

// TakeKindTotals returns the counters since the previous call, the kind that held slots
// longest first.
func (q *Queue) TakeKindTotals() []KindTotals {
	var taken []KindTotals
	for _, kind := range slices.Sorted(maps.Keys(q.totals)) {
		taken = append(taken, *q.totals[kind])
	}
	clear(q.totals)
	slices.SortStableFunc(taken, func(a, b KindTotals) int { return cmp.Compare(b.Run, a.Run) })
	return taken
}

// TakeKindTotals returns the counters of each kind since the previous call, see
// [Queue.TakeKindTotals].
func (a *Admission) TakeKindTotals() []KindTotals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.TakeKindTotals()
}
