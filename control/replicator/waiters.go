package replicator

import "marigoldhill/control/elector"

// waiters holds the reply channels of proposals: by proposal ID until the log index
// is known, then by log index.
type waiters struct {
	last     uint64
	pending  map[uint64]chan outcome
	appended map[uint64]appendedProposal
}

// appendedProposal is the waiter of a proposal that was appended in term.
type appendedProposal struct {
	term  uint64
	reply chan outcome
}

func newWaiters() waiters {
	return waiters{pending: make(map[uint64]chan outcome), appended: make(map[uint64]appendedProposal)}
}

// add registers a reply channel and returns the ID for its proposal.
func (w *waiters) add(reply chan outcome) uint64 {
	w.last++
	w.pending[w.last] = reply
	return w.last
}

// handleProposed moves the waiter of an accepted proposal to its log index, or
// replies to one that was not accepted.
func (w *waiters) handleProposed(p elector.Proposed) {
	reply, ok := w.pending[p.ID]
	if !ok {
		return
	}
	delete(w.pending, p.ID)
	if p.Err != nil || p.Index == 0 {
		reply <- outcome{err: p.Err}
		return
	}
	w.appended[p.Index] = appendedProposal{term: p.Term, reply: reply}
}

// applied replies to the waiter for an applied entry. If the entry is of another
// term, another leader has replaced the proposal.
func (w *waiters) applied(entry elector.Entry, result any) {
	waiting, ok := w.appended[entry.Index]
	if !ok {
		return
	}
	delete(w.appended, entry.Index)
	if waiting.term != entry.Term {
		waiting.reply <- outcome{err: Error.New("replaced by another leader's entry: %w", ErrNotLeader)}
		return
	}
	waiting.reply <- outcome{proposal: Proposal{Index: entry.Index, Result: result}}
}

// failAppended fails the waiters of proposals that were appended but not applied.
func (w *waiters) failAppended(err error) {
	for index, waiting := range w.appended {
		waiting.reply <- outcome{err: err}
		delete(w.appended, index)
	}
}

// failAll fails all waiters.
func (w *waiters) failAll(err error) {
	w.failAppended(err)
	for id, reply := range w.pending {
		reply <- outcome{err: err}
		delete(w.pending, id)
	}
}
