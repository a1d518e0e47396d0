package queuer

import (
	"slices"
	"time"
)

const (
	// callShare is the share of the slots that calls may take before others of their rank. A
	// service that is called more than it can handle still serves its own clients with the
	// rest.
	callShare = 0.7
	// maxCallExcess bounds the slot time by which calls are ahead of their share or behind it,
	// for each slot.
	maxCallExcess = 100 * time.Millisecond
)

// callTurns decides between the calls that wait and other jobs of the same rank. The load
// pattern is a full server that receives calls beside the requests of clients: a call that
// fails wastes the run that waits for it. Calls go first until they have taken callShare of
// the slots while others waited.
type callTurns struct {
	// excess is the slot time that calls have taken beyond their share; negative if they
	// have taken less.
	excess time.Duration
}

// prefersCalls reports whether a call goes before another job of its rank.
func (t *callTurns) prefersCalls() bool {
	return t.excess <= 0
}

// start counts the start of a job. othersWait is set if jobs that are not calls wait: what
// calls take while nobody else needs the slots does not count.
func (t *callTurns) start(entry *Entry, slots int, othersWait bool) {
	most := time.Duration(slots) * maxCallExcess
	switch {
	case !entry.Call:
		t.excess = max(t.excess-time.Duration(callShare*float64(entry.cost)), -most)
	case othersWait:
		t.excess = min(t.excess+time.Duration((1-callShare)*float64(entry.cost)), most)
	}
}

// othersWait reports whether jobs wait that are not calls.
func (q *Queue) othersWait() bool {
	return slices.ContainsFunc(q.waiting, func(e *Entry) bool { return !e.Call })
}

// availableShare returns the share of the slots that are expected to run a job and those of
// its rank that are ahead of it: lower ranks, and calls up to their share, run first.
func (q *Queue) availableShare(now time.Duration, entry *Entry) float64 {
	urgent := q.urgentShare(now, entry.Rank)
	calls, others := q.offeredShares(now, entry.Rank)
	switch {
	case entry.Call && calls > callShare:
		urgent += min(others, 1-callShare)
	case !entry.Call:
		urgent += min(calls, callShare)
	}
	return 1 - min(urgent, maxUrgentShare)
}

// offeredShares returns the load that the calls and the other jobs of a rank have offered,
// as a share of the slots.
func (q *Queue) offeredShares(now time.Duration, rank int) (calls, others float64) {
	available := float64(max(q.slots, 1))
	if load := q.offeredCalls[rank]; load != nil {
		calls = load.mean(now) / available
	}
	if load := q.offered[rank]; load != nil {
		others = max(load.mean(now)/available-calls, 0)
	}
	return calls, others
}
