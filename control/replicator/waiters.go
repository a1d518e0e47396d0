package replicator

import "marigoldhill/control/elector"

// waiters are those who wait for proposals: by their ID until it is known at
// which index the proposal stands, then by that index.
type waiters struct {
	last   uint64
	asked  map[uint64]chan outcome
	placed map[uint64]placement
}

// placement is a proposal that was appended in term.
type placement struct {
	term  uint64
	reply chan outcome
}

func newWaiters() waiters {
	return waiters{asked: make(map[uint64]chan outcome), placed: make(map[uint64]placement)}
}

// add registers a waiter and returns its ID.
func (w *waiters) add(reply chan outcome) uint64 {
	w.last++
	w.asked[w.last] = reply
	return w.last
}

// settle takes note of what became of a proposal.
func (w *waiters) settle(p elector.Proposed) {
	reply, ok := w.asked[p.ID]
	if !ok {
		return
	}
	delete(w.asked, p.ID)
	if p.Err != nil || p.Index == 0 {
		reply <- outcome{err: p.Err}
		return
	}
	w.placed[p.Index] = placement{term: p.Term, reply: reply}
}

// applied answers the waiter for an entry.
func (w *waiters) applied(entry elector.Entry, result any) {
	place, ok := w.placed[entry.Index]
	if !ok {
		return
	}
	delete(w.placed, entry.Index)
	if place.term != entry.Term {
		place.reply <- outcome{err: Error.New("replaced by another leader's entry: %w", ErrNotLeader)}
		return
	}
	place.reply <- outcome{proposal: Proposal{Index: entry.Index, Result: result}}
}

// failPlaced answers all whose proposals were appended but not applied.
func (w *waiters) failPlaced(err error) {
	for index, place := range w.placed {
		place.reply <- outcome{err: err}
		delete(w.placed, index)
	}
}

// failAll answers everyone.
func (w *waiters) failAll(err error) {
	w.failPlaced(err)
	for id, reply := range w.asked {
		reply <- outcome{err: err}
		delete(w.asked, id)
	}
}
