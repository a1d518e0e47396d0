package recorder

import (
	"context"
	"slices"
	"sync"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/locator"
)

// copyAll copies all records of a session to the recorders that join it.
func (r *Recorder) copyAll(ctx context.Context, table *locator.Table, session uint64) {
	row := table.Session(session)
	r.forgetCopies(row.Joining)
	var tasks sync.WaitGroup
	for _, number := range row.Joining {
		peer := table.Session(number)
		if peer == nil || r.isCopied(number) {
			continue
		}
		joiner := target{session: number, address: peer.Address, joining: true}
		tasks.Go(func() { r.copyTo(ctx, table, session, joiner) })
	}
	tasks.Wait()
}

// copyTo copies all records to one joining recorder. Records made meanwhile go
// there as well; when one of those failed, the copy counts for nothing.
func (r *Recorder) copyTo(ctx context.Context, table *locator.Table, session uint64, joiner target) {
	before := r.failures(joiner.session)
	// Without records, too, the joiner must have been reached.
	if !r.copyRecord(ctx, joiner, messenger.Record{Owner: session}) {
		r.count("uncopied", 1)
		return
	}
	entries := r.snapshot(timer.Now())
	missed := r.storeGroups(ctx, table, session, groupByShard(table, entries), func(record messenger.Record) bool {
		return r.copyRecord(ctx, joiner, record)
	})
	if len(missed) > 0 || !r.markCopied(joiner.session, before) {
		r.count("uncopied", 1)
		return
	}
	r.count("copied", len(entries))
	r.options.Log.Emit(logger.RecordsCopied, "recorder", joiner.session, "entries", len(entries))
	r.options.Changed()
}

// copyRecord stores a batch at a joining recorder.
func (r *Recorder) copyRecord(ctx context.Context, joiner target, record messenger.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	answer, err := r.call(ctx, joiner, record)
	return err == nil && answer.Accepted
}

// snapshot lists all records of this router.
func (r *Recorder) snapshot(now timer.Instant) []messenger.RecordEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]messenger.RecordEntry, 0, len(r.own.entries))
	for _, e := range r.own.entries {
		if !e.isExpired(now) {
			entries = append(entries, e.message(now))
		}
	}
	return entries
}

func (r *Recorder) failures(session uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[session]
}

// markCopied marks a joining recorder as complete, unless it missed a record
// since before.
func (r *Recorder) markCopied(session uint64, before int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed[session] != before {
		return false
	}
	r.copied[session] = struct{}{}
	return true
}

// copyAgain notes that a joining recorder missed a record. It returns false
// when that counts: the recorder was reported as complete already, or joined
// meanwhile.
func (r *Recorder) copyAgain(session uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.copied[session]; ok {
		return false
	}
	row := r.options.Locator.Load().Session(r.options.Leaser.Lease().Session)
	if row == nil || !slices.Contains(row.Joining, session) {
		return false
	}
	r.failed[session]++
	return true
}

func (r *Recorder) isCopied(session uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.copied[session]
	return ok
}

// forgetCopies drops what is known of recorders that join no more.
func (r *Recorder) forgetCopies(joining []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for session := range r.copied {
		if !slices.Contains(joining, session) {
			delete(r.copied, session)
		}
	}
	for session := range r.failed {
		if !slices.Contains(joining, session) {
			delete(r.failed, session)
		}
	}
}
