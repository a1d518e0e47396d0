package recorder

import (
	"context"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/locator"
)

// target is a recorder that stores records of this router.
type target struct {
	session uint64
	address string
	// joining is set until the control group has committed that the recorder has a
	// complete copy of the records. It is a full recorder from then on.
	joining bool
}

// targets returns the recorders of a session. complete is false if the address of a
// full recorder is not known.
func targets(table *locator.Table, session uint64) (peers []target, complete bool) {
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
		peers = append(peers, target{session: number, address: peer.Address})
	}
	for _, number := range row.Joining {
		if peer := table.Session(number); peer != nil {
			peers = append(peers, target{session: number, address: peer.Address, joining: true})
		}
	}
	return peers, complete
}

const (
	// repairTimeout is how long a request waits for the replacement of a lost
	// recorder: until its session has expired and the records have been copied.
	repairTimeout = 2500 * time.Millisecond
	// repairInterval is the time between two attempts.
	repairInterval = 100 * time.Millisecond
)

// replicate stores a new record at all recorders. If one fails, it retries for up to
// repairTimeout until that recorder is back or has been replaced.
func (r *Recorder) replicate(ctx context.Context, request *Request, record *entry) messenger.Reason {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	for {
		reason, retryable := r.replicateOnce(ctx, request, record)
		if reason != messenger.ReasonRecorders || !retryable {
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

// replicateOnce makes one attempt. The recorders are looked up after the entry was
// created, so that one that joins meanwhile receives the entry from here or with the
// copy. A failure is retryable unless the service has too few recorders and none is
// joining.
func (r *Recorder) replicateOnce(ctx context.Context, request *Request, record *entry) (reason messenger.Reason, retryable bool) {
	peers, complete := targets(r.options.Locator.Load(), request.Row.Owner)
	if !complete || !hasEnoughRecorders(request.Service, peers) {
		r.count("scarce", 1)
		return messenger.ReasonRecorders, !complete || r.isRepairing(peers)
	}
	if len(peers) == 0 {
		return messenger.ReasonNone, false
	}
	batch := messenger.Record{
		Owner:   request.Row.Owner,
		Shard:   refOf(request.Row),
		Entries: []messenger.RecordEntry{record.message(timer.Now())},
	}
	return r.storeAll(ctx, peers, batch), true
}

// isRepairing reports whether a lost recorder is being replaced.
func (r *Recorder) isRepairing(peers []target) bool {
	for _, target := range peers {
		if target.joining {
			return true
		}
	}
	return timer.Now().Since(r.lastFailure()) < repairTimeout
}

// lastFailure returns when a recorder last failed to store a record.
func (r *Recorder) lastFailure() timer.Instant {
	if last := r.lastStoreFailure.Load(); last != nil {
		return *last
	}
	return timer.Instant{}
}

// hasEnoughRecorders reports whether the recorders satisfy the configuration of a
// service.
func hasEnoughRecorders(service *messenger.Service, peers []target) bool {
	if service.Scarce == scarceAccept {
		return true
	}
	full := 0
	for _, target := range peers {
		if !target.joining {
			full++
		}
	}
	return full >= service.Recorders
}

// storeAll stores a record at all targets concurrently and waits for all of them. It
// returns ReasonFence if any of them reported it.
func (r *Recorder) storeAll(ctx context.Context, peers []target, record messenger.Record) messenger.Reason {
	results := make(chan messenger.Reason, len(peers))
	for _, target := range peers {
		go func() { results <- r.storeAt(ctx, target, record) }()
	}
	worst := messenger.ReasonNone
	for range peers {
		if reason := <-results; reason != messenger.ReasonNone && worst != messenger.ReasonFence {
			worst = reason
		}
	}
	return worst
}

// storeAt stores a record at one target. A failure of a joining recorder is ignored,
// but its copy must be repeated; once it was reported as copied, it is treated like a
// full recorder.
func (r *Recorder) storeAt(ctx context.Context, target target, record messenger.Record) messenger.Reason {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	response, err := r.call(ctx, target, record)
	switch {
	case err == nil && response.Accepted:
		return messenger.ReasonNone
	case target.joining && r.recordMissed(target.session):
		return messenger.ReasonNone
	case err == nil && response.Fence > record.Shard.Fence:
		r.count("fenced", 1)
		return messenger.ReasonFence
	}
	now := timer.Now()
	r.lastStoreFailure.Store(&now)
	r.count("unstored", 1)
	return messenger.ReasonRecorders
}

// call sends a record to one target.
func (r *Recorder) call(ctx context.Context, target target, record messenger.Record) (*messenger.RecordResponse, error) {
	record.Peer = target.session
	return linker.Call[messenger.Record, messenger.RecordResponse](
		ctx, r.options.Opener, target.address, messenger.KindRecord, &record)
}

// replicateResult sends the result of a run to the recorders. It is sent only once,
// since a lost result is safe: if a new owner reads its records from a recorder that
// missed it, it reports the outcome as unknown and does not run the request again.
func (r *Recorder) replicateResult(message messenger.RecordEntry) {
	lease := r.options.LeaseSource.Lease()
	table := r.options.Locator.Load()
	row, ok := table.Shard(message.Service, table.ShardOf(message.Service, message.Key))
	if !ok || row.Owner != lease.Session || lease.Session == 0 {
		return
	}
	peers, _ := targets(table, lease.Session)
	if len(peers) == 0 {
		return
	}
	r.storeAll(context.Background(), peers, messenger.Record{
		Owner:   lease.Session,
		Shard:   refOf(row),
		Entries: []messenger.RecordEntry{message},
	})
}

func refOf(row messenger.ShardRow) messenger.ShardRef {
	return messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
}
