package replicator

import (
	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/timer"
)

// writer writes and syncs to the journal on a dedicated goroutine. Writes queued
// while one is in progress are batched into the next one. All methods except run
// are called from the control goroutine.
type writer struct {
	journal *journaler.Journal
	work    chan writeBatch
	results chan writeResult

	busy bool
	// startedAt is when the write in progress was started.
	startedAt timer.Instant
	synced    uint64
	queue     writeBatch
	deferred  []deferredMessages
}

// writeBatch is a batch of writes; number is the number of the last one.
type writeBatch struct {
	writes []journaler.Write
	number uint64
}

// writeResult is the result of a writeBatch.
type writeResult struct {
	number uint64
	err    error
}

// deferredMessages are sent once the write with the given number is synced.
type deferredMessages struct {
	number   uint64
	messages []elector.Message
}

func newWriter(journal *journaler.Journal) writer {
	return writer{
		journal: journal,
		work:    make(chan writeBatch, 1),
		results: make(chan writeResult, 1),
	}
}

// run is the loop of the writer goroutine.
func (w *writer) run() {
	for work := range w.work {
		w.results <- writeResult{number: work.number, err: w.journal.Write(work.writes...)}
	}
}

// enqueue queues a write unless it is empty.
func (w *writer) enqueue(write journaler.Write, number uint64) {
	if write.Snapshot == nil && write.Save == nil && len(write.Entries) == 0 {
		return
	}
	w.queue.writes = append(w.queue.writes, write)
	w.queue.number = number
	w.start()
}

// start passes the queued writes to the writer goroutine if it is idle.
func (w *writer) start() {
	if w.busy || len(w.queue.writes) == 0 {
		return
	}
	w.busy = true
	w.startedAt = timer.Now()
	w.work <- w.queue
	w.queue = writeBatch{}
}

// deferUntilSynced defers messages until a write is synced. If it already is, the
// messages are returned.
func (w *writer) deferUntilSynced(messages []elector.Message, number uint64) []elector.Message {
	if len(messages) == 0 || number <= w.synced {
		return messages
	}
	w.deferred = append(w.deferred, deferredMessages{number: number, messages: messages})
	return nil
}

// completeWrite marks a write as synced, starts the next one and returns the
// messages that were deferred until it.
func (w *writer) completeWrite(number uint64) []elector.Message {
	w.busy = false
	w.synced = number
	w.start()
	var ready []elector.Message
	for len(w.deferred) > 0 && w.deferred[0].number <= number {
		ready = append(ready, w.deferred[0].messages...)
		w.deferred = w.deferred[1:]
	}
	return ready
}
