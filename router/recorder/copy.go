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

// copyAll copies all records of a session to the recorders that are joining it.
func (r *Recorder) copyAll(ctx context.Context, table *locator.Table, session uint64) {
	row := table.Session(session)
	r.pruneCopies(row.Joining)
	var tasks sync.WaitGroup
	for _, number := range row.Joining {
		peer := table.Session(number)
		if peer == nil || r.isCopied(number) {
			continue
		}
		recipient := target{session: number, address: peer.Address, joining: true}
		tasks.Go(func() { r.copyTo(ctx, table, session, recipient) })
	}
	tasks.Wait()
}

// copyTo copies all records to one joining recorder. Records created meanwhile are
// sent to it as well; if one of those fails, the copy is incomplete and is repeated.
func (r *Recorder) copyTo(ctx context.Context, table *locator.Table, session uint64, recipient target) {
	missedBefore := r.missedRecords(recipient.session)
	// An empty record checks that the recorder is reachable even when there are no
	// entries.
	if !r.copyRecord(ctx, recipient, messenger.Record{Owner: session}) {
		r.count("uncopied", 1)
		return
	}
	entries := r.snapshot(timer.Now())
	missed := r.storeGroups(ctx, table, session, groupByShard(table, entries), func(record messenger.Record) bool {
		return r.copyRecord(ctx, recipient, record)
	})
	if len(missed) > 0 || !r.markCopied(recipient.session, missedBefore) {
		r.count("uncopied", 1)
		return
	}
	r.count("copied", len(entries))
	r.options.Log.Emit(logger.RecordsCopied, "recorder", recipient.session, "entries", len(entries))
	r.options.OnChange()
}

// copyRecord stores a batch of entries at a joining recorder.
func (r *Recorder) copyRecord(ctx context.Context, recipient target, record messenger.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	response, err := r.call(ctx, recipient, record)
	return err == nil && response.Accepted
}

// snapshot returns all unexpired records that this router owns.
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

func (r *Recorder) missedRecords(session uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.missed[session]
}

// markCopied marks a joining recorder as complete, unless it missed a record since the
// count missedBefore was taken.
func (r *Recorder) markCopied(session uint64, missedBefore int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.missed[session] != missedBefore {
		return false
	}
	r.copied[session] = struct{}{}
	return true
}

// recordMissed registers that a joining recorder missed a record, so that the copy is
// repeated. It returns false if the failure must be treated like that of a full
// recorder: the recorder was already reported as complete, or is no longer joining.
func (r *Recorder) recordMissed(session uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.copied[session]; ok {
		return false
	}
	row := r.options.Locator.Load().Session(r.options.LeaseSource.Lease().Session)
	if row == nil || !slices.Contains(row.Joining, session) {
		return false
	}
	r.missed[session]++
	return true
}

func (r *Recorder) isCopied(session uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.copied[session]
	return ok
}

// pruneCopies deletes the state of recorders that are no longer joining.
func (r *Recorder) pruneCopies(joining []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for session := range r.copied {
		if !slices.Contains(joining, session) {
			delete(r.copied, session)
		}
	}
	for session := range r.missed {
		if !slices.Contains(joining, session) {
			delete(r.missed, session)
		}
	}
}
