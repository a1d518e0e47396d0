package recorder

import (
	"context"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/locator"
)

// target is a peer that stores records.
type target struct {
	session uint64
	address string
	// joining says that it is no full recorder yet.
	joining bool
}

// targets lists the peers of a session, and whether all of them can be reached
// by an address.
func targets(table *locator.Table, session uint64) (list []target, complete bool) {
	row := table.Session(session)
	if row == nil {
		return nil, false
	}
	complete = true
	for _, number := range row.Recorders {
		peer := table.Session(number)
		if peer == nil {
			complete = false
			continue
		}
		list = append(list, target{session: number, address: peer.Address})
	}
	for _, number := range row.Joining {
		if peer := table.Session(number); peer != nil {
			list = append(list, target{session: number, address: peer.Address, joining: true})
		}
	}
	return list, complete
}

const (
	// repairTime is how long a request waits for another recorder when one was
	// lost: until its session has lapsed and the records were copied.
	repairTime = 2500 * time.Millisecond
	// repairPoll is the time between two tries.
	repairPoll = 100 * time.Millisecond
)

// replicate has all recorders store a new record. When one fails, it is tried
// again until that one is back or was replaced, for a bounded time.
func (r *Recorder) replicate(ctx context.Context, work *Work, e *entry) messenger.Reason {
	ctx, cancel := context.WithTimeout(ctx, repairTime)
	defer cancel()
	ticker := time.NewTicker(repairPoll)
	defer ticker.Stop()
	for {
		reason, passing := r.replicateOnce(ctx, work, e)
		if reason != messenger.ReasonRecorders || !passing {
			return reason
		}
		select {
		case <-ticker.C:
			r.count("retried", 1)
		case <-ctx.Done():
			return reason
		}
	}
}

// replicateOnce tries once. The peers are looked up after the entry was made, so
// that one that joins meanwhile gets it from here or with the copy. A refusal is
// passing unless the service has too few recorders and none joins.
func (r *Recorder) replicateOnce(ctx context.Context, work *Work, e *entry) (reason messenger.Reason, passing bool) {
	list, complete := targets(r.options.Locator.Load(), work.Row.Owner)
	if !complete || !isEnough(work.Service, list) {
		r.count("scarce", 1)
		return messenger.ReasonRecorders, !complete || r.isRepairing(list)
	}
	if len(list) == 0 {
		return messenger.ReasonNone, false
	}
	record := messenger.Record{
		Owner:   work.Row.Owner,
		Shard:   refOf(work.Row),
		Entries: []messenger.RecordEntry{e.message(timer.Now())},
	}
	return r.storeAll(ctx, list, record), true
}

// isRepairing reports whether a lost recorder is being replaced.
func (r *Recorder) isRepairing(list []target) bool {
	for _, target := range list {
		if target.joining {
			return true
		}
	}
	return timer.Now().Since(r.failing()) < repairTime
}

// failing is when a recorder last failed to store a record.
func (r *Recorder) failing() timer.Instant {
	if last := r.unstored.Load(); last != nil {
		return *last
	}
	return timer.Instant{}
}

// isEnough reports whether a service has the recorders that it asks for.
func isEnough(service *messenger.Service, list []target) bool {
	if service.Scarce == scarceAccept {
		return true
	}
	full := 0
	for _, target := range list {
		if !target.joining {
			full++
		}
	}
	return full >= service.Recorders
}

// storeAll stores a record at all targets at once and waits for each.
func (r *Recorder) storeAll(ctx context.Context, list []target, record messenger.Record) messenger.Reason {
	results := make(chan messenger.Reason, len(list))
	for _, target := range list {
		go func() { results <- r.storeAt(ctx, target, record) }()
	}
	worst := messenger.ReasonNone
	for range list {
		if reason := <-results; reason != messenger.ReasonNone && worst != messenger.ReasonFence {
			worst = reason
		}
	}
	return worst
}

// storeAt stores a record at one target. A joining one that fails does not
// count, but must get a whole copy again; once it was reported as copied, it
// counts like the others.
func (r *Recorder) storeAt(ctx context.Context, target target, record messenger.Record) messenger.Reason {
	ctx, cancel := context.WithTimeout(ctx, recordTime)
	defer cancel()
	answer, err := r.call(ctx, target, record)
	switch {
	case err == nil && answer.Accepted:
		return messenger.ReasonNone
	case target.joining && r.copyAgain(target.session):
		return messenger.ReasonNone
	case err == nil && answer.Fence > record.Shard.Fence:
		r.count("fenced", 1)
		return messenger.ReasonFence
	}
	now := timer.Now()
	r.unstored.Store(&now)
	r.count("unstored", 1)
	return messenger.ReasonRecorders
}

// call sends a record to one target.
func (r *Recorder) call(ctx context.Context, target target, record messenger.Record) (*messenger.RecordAnswer, error) {
	record.Peer = target.session
	return linker.Call[messenger.Record, messenger.RecordAnswer](
		ctx, r.options.Opener, target.address, messenger.KindRecord, &record)
}

// tell tells the peers how a run ended. A peer that misses it answers a resend
// as unknown after a takeover, so it is not tried again.
func (r *Recorder) tell(message messenger.RecordEntry) {
	lease := r.options.Leaser.Lease()
	table := r.options.Locator.Load()
	row, ok := table.Shard(message.Service, table.ShardOf(message.Service, message.Key))
	if !ok || row.Owner != lease.Session || lease.Session == 0 {
		return
	}
	list, _ := targets(table, lease.Session)
	if len(list) == 0 {
		return
	}
	r.storeAll(context.Background(), list, messenger.Record{
		Owner:   lease.Session,
		Shard:   refOf(row),
		Entries: []messenger.RecordEntry{message},
	})
}

func refOf(row messenger.ShardRow) messenger.ShardRef {
	return messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
}
