package replicator

import (
	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
)

// writer writes and syncs on a goroutine of its own. While one write is under
// way the next ones gather and are then written in one go. All but run belongs
// to the control goroutine.
type writer struct {
	journal *journaler.Journal
	work    chan writeWork
	results chan writeResult

	busy   bool
	synced uint64
	queue  writeWork
	held   []heldMessages
}

// writeWork is what to write, up to a number.
type writeWork struct {
	writes []journaler.Write
	number uint64
}

// writeResult reports a finished write.
type writeResult struct {
	number uint64
	err    error
}

// heldMessages wait until a write is synced.
type heldMessages struct {
	number   uint64
	messages []elector.Message
}

func newWriter(journal *journaler.Journal) writer {
	return writer{
		journal: journal,
		work:    make(chan writeWork, 1),
		results: make(chan writeResult, 1),
	}
}

// run is the writer goroutine.
func (w *writer) run() {
	for work := range w.work {
		w.results <- writeResult{number: work.number, err: w.journal.Write(work.writes...)}
	}
}

// enqueue queues a write, unless it is empty.
func (w *writer) enqueue(write journaler.Write, number uint64) {
	if write.Snapshot == nil && write.Save == nil && len(write.Entries) == 0 {
		return
	}
	w.queue.writes = append(w.queue.writes, write)
	w.queue.number = number
	w.start()
}

// start hands the queue to the writer goroutine if that is idle.
func (w *writer) start() {
	if w.busy || len(w.queue.writes) == 0 {
		return
	}
	w.busy = true
	w.work <- w.queue
	w.queue = writeWork{}
}

// hold keeps messages until a write is synced; those that need not wait are
// returned.
func (w *writer) hold(messages []elector.Message, number uint64) []elector.Message {
	if len(messages) == 0 || number <= w.synced {
		return messages
	}
	w.held = append(w.held, heldMessages{number: number, messages: messages})
	return nil
}

// finished takes note of a synced write, starts the next one and returns the
// messages that waited for it.
func (w *writer) finished(number uint64) []elector.Message {
	w.busy = false
	w.synced = number
	w.start()
	var free []elector.Message
	for len(w.held) > 0 && w.held[0].number <= number {
		free = append(free, w.held[0].messages...)
		w.held = w.held[1:]
	}
	return free
}
