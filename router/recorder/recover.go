package recorder

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/locator"
)

const (
	// recoverBatch is the maximum number of shards in one query to a survivor.
	recoverBatch = 512
	// maxConcurrentStores is the maximum number of shards that are stored at recorders
	// concurrently.
	maxConcurrentStores = 32
)

// recordSource identifies the sessions that hold the records of some shards.
type recordSource struct {
	owner uint64
	// holders are the sessions that have the records.
	holders []uint64
	rows    []messenger.ShardRow
}

// recoverAll recovers the records of all shards that have survivors or a previous
// owner.
func (r *Recorder) recoverAll(ctx context.Context, table *locator.Table, session uint64) {
	pending := recoveringRows(table, session, *r.pending.Load())
	var tasks sync.WaitGroup
	for _, source := range groupBySource(r.dropRecovered(pending)) {
		for rows := range slices.Chunk(source.rows, recoverBatch) {
			batch := source
			batch.rows = rows
			tasks.Go(func() { r.recoverBatch(ctx, table, session, batch) })
		}
	}
	tasks.Wait()
}

// recoveringRows returns the current rows of the shards that a session still owns
// under the same fence and has not recovered yet.
func recoveringRows(table *locator.Table, session uint64, rows []messenger.ShardRow) []messenger.ShardRow {
	var pending []messenger.ShardRow
	for _, row := range rows {
		current, ok := table.Shard(row.Service, row.Shard)
		if ok && current.Owner == session && current.Fence == row.Fence && IsRecovering(&current) {
			pending = append(pending, current)
		}
	}
	return pending
}

// dropRecovered returns the rows that have not been recovered, and deletes reports
// that the control group has committed.
func (r *Recorder) dropRecovered(pending []messenger.ShardRow) []messenger.ShardRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	unacknowledged := make(map[messenger.ShardRef]struct{})
	var remaining []messenger.ShardRow
	for _, row := range pending {
		if _, ok := r.recovered[refOf(row)]; ok {
			unacknowledged[refOf(row)] = struct{}{}
			continue
		}
		remaining = append(remaining, row)
	}
	r.recovered = unacknowledged
	return remaining
}

// groupBySource groups rows by the sessions that hold their records.
func groupBySource(rows []messenger.ShardRow) []recordSource {
	var sources []recordSource
	indexes := make(map[string]int)
	for _, row := range rows {
		holders := row.Survivors
		if row.Previous != 0 {
			holders = []uint64{row.Previous}
		}
		key := fmt.Sprint(row.Last, holders)
		index, ok := indexes[key]
		if !ok {
			index = len(sources)
			indexes[key] = index
			sources = append(sources, recordSource{owner: row.Last, holders: holders})
		}
		sources[index].rows = append(sources[index].rows, row)
	}
	return sources
}

// recoverBatch reads one batch from the first holder that accepts the query, stores it
// at the recorders and marks its shards as recovered.
func (r *Recorder) recoverBatch(ctx context.Context, table *locator.Table, session uint64, batch recordSource) {
	entries, ok := r.readFromHolders(ctx, table, session, batch)
	if !ok {
		r.count("unrecovered", len(batch.rows))
		return
	}
	r.addRecovered(timer.Now(), entries)
	failed := r.storeShards(ctx, table, session, groupByShard(table, entries))
	r.mu.Lock()
	for _, row := range batch.rows {
		if _, missed := failed[shardID{row.Service, row.Shard}]; !missed {
			r.recovered[refOf(row)] = struct{}{}
		}
	}
	r.mu.Unlock()
	r.count("recovered", len(entries))
	r.options.Log.Emit(logger.RecordsRecovered,
		"owner", batch.owner, "shards", len(batch.rows), "entries", len(entries), "missed", len(failed))
	r.options.OnChange()
}

// readFromHolders queries the holders one after another until one accepts the query.
func (r *Recorder) readFromHolders(ctx context.Context, table *locator.Table, session uint64, batch recordSource) ([]messenger.RecordEntry, bool) {
	query := newRecoverQuery(table, batch)
	for _, holder := range batch.holders {
		query.Peer = holder
		response := r.readFromHolder(ctx, table, session, &query)
		if response != nil && response.Accepted {
			return response.Entries, true
		}
	}
	return nil, false
}

// readFromHolder queries one holder, which may be this router itself. It returns nil
// if there was no response.
func (r *Recorder) readFromHolder(ctx context.Context, table *locator.Table, session uint64, query *messenger.RecoverQuery) *messenger.RecoverResponse {
	if query.Peer == session {
		return r.recoverResponse(timer.Now(), query)
	}
	peer := table.Session(query.Peer)
	if peer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	recoverResponse, err := linker.Call[messenger.RecoverQuery, messenger.RecoverResponse](
		ctx, r.options.Opener, peer.Address, messenger.KindRecover, query)
	if err != nil {
		r.count("unanswered", 1)
		return nil
	}
	return recoverResponse
}

func newRecoverQuery(table *locator.Table, batch recordSource) messenger.RecoverQuery {
	query := messenger.RecoverQuery{Owner: batch.owner, Splits: make(map[string]uint32)}
	promoted := make(map[shardID]struct{})
	for _, row := range batch.rows {
		query.Shards = append(query.Shards, refOf(row))
		service := table.Service(row.Service)
		query.Splits[row.Service] = service.Shards
		if row.Shard >= service.Shards {
			promoted[shardID{row.Service, row.Shard}] = struct{}{}
		}
	}
	if len(promoted) == 0 {
		return query
	}
	for service := range query.Splits {
		for key, number := range table.Keys(service) {
			if _, ok := promoted[shardID{service, number}]; ok {
				query.Keys = append(query.Keys, messenger.KeyRow{Service: service, Key: key, Shard: number})
			}
		}
	}
	return query
}

// addRecovered adds the entries of an earlier owner under new attempt numbers.
func (r *Recorder) addRecovered(now timer.Instant, entries []messenger.RecordEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range entries {
		record := newEntry(now, &entries[i])
		record.attempt = r.attempt.Add(1)
		entries[i].Run = record.attempt
		r.own.addRecovered(record)
	}
}

// groupByShard groups entries by the shard that their key currently belongs to.
func groupByShard(table *locator.Table, entries []messenger.RecordEntry) map[shardID][]messenger.RecordEntry {
	groups := make(map[shardID][]messenger.RecordEntry)
	for _, e := range entries {
		id := shardID{e.Service, table.ShardOf(e.Service, e.Key)}
		groups[id] = append(groups[id], e)
	}
	return groups
}

// storeShards stores entries at all recorders of a session and returns the shards for
// which that failed.
func (r *Recorder) storeShards(ctx context.Context, table *locator.Table, session uint64, groups map[shardID][]messenger.RecordEntry) map[shardID]struct{} {
	peers, complete := targets(r.options.Locator.Load(), session)
	return r.storeGroups(ctx, table, session, groups, func(record messenger.Record) bool {
		return complete && r.storeAll(ctx, peers, record) == messenger.ReasonNone
	})
}

// storeGroups calls store for each shard that the session owns, up to
// maxConcurrentStores at a time, and returns the shards for which store failed.
func (r *Recorder) storeGroups(
	ctx context.Context, table *locator.Table, session uint64,
	groups map[shardID][]messenger.RecordEntry, store func(record messenger.Record) bool,
) map[shardID]struct{} {
	var mu sync.Mutex
	failed := make(map[shardID]struct{})
	semaphore := make(chan struct{}, maxConcurrentStores)
	var tasks sync.WaitGroup
	for id, entries := range groups {
		row, ok := table.Shard(id.service, id.number)
		if !ok || row.Owner != session {
			continue
		}
		record := messenger.Record{Owner: session, Shard: refOf(row), Entries: entries}
		semaphore <- struct{}{}
		tasks.Go(func() {
			defer func() { <-semaphore }()
			if ctx.Err() == nil && store(record) {
				return
			}
			mu.Lock()
			failed[id] = struct{}{}
			mu.Unlock()
		})
	}
	tasks.Wait()
	return failed
}
