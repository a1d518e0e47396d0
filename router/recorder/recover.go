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
	// recoverBatch is the most shards in one question to a survivor.
	recoverBatch = 512
	// storeTasks is how many shards are stored at peers at once.
	storeTasks = 32
)

// source is where the records of some shards are.
type source struct {
	owner uint64
	// holders are the sessions that hold them.
	holders []uint64
	rows    []messenger.ShardRow
}

// recoverAll reads the records of all shards that were granted with survivors.
func (r *Recorder) recoverAll(ctx context.Context, table *locator.Table, session uint64) {
	pending := pendingRows(table, session, *r.pending.Load())
	var tasks sync.WaitGroup
	for _, source := range sourcesOf(r.unrecovered(pending)) {
		for rows := range slices.Chunk(source.rows, recoverBatch) {
			batch := source
			batch.rows = rows
			tasks.Go(func() { r.recoverBatch(ctx, table, session, batch) })
		}
	}
	tasks.Wait()
}

// pendingRows keeps the rows that a session holds under the same fence still.
func pendingRows(table *locator.Table, session uint64, rows []messenger.ShardRow) []messenger.ShardRow {
	var pending []messenger.ShardRow
	for _, row := range rows {
		now, ok := table.Shard(row.Service, row.Shard)
		if ok && now.Owner == session && now.Fence == row.Fence && IsRecovering(&now) {
			pending = append(pending, now)
		}
	}
	return pending
}

// unrecovered drops what was recovered already, and forgets reports that the
// control group took.
func (r *Recorder) unrecovered(pending []messenger.ShardRow) []messenger.ShardRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	still := make(map[messenger.ShardRef]struct{})
	var left []messenger.ShardRow
	for _, row := range pending {
		if _, ok := r.recovered[refOf(row)]; ok {
			still[refOf(row)] = struct{}{}
			continue
		}
		left = append(left, row)
	}
	r.recovered = still
	return left
}

// sourcesOf groups rows by where their records are.
func sourcesOf(rows []messenger.ShardRow) []source {
	var sources []source
	places := make(map[string]int)
	for _, row := range rows {
		holders := row.Survivors
		if row.Previous != 0 {
			holders = []uint64{row.Previous}
		}
		name := fmt.Sprint(row.Last, holders)
		place, ok := places[name]
		if !ok {
			place = len(sources)
			places[name] = place
			sources = append(sources, source{owner: row.Last, holders: holders})
		}
		sources[place].rows = append(sources[place].rows, row)
	}
	return sources
}

// recoverBatch reads one batch from the first holder that answers, stores it at
// the recorders and marks its shards as recovered.
func (r *Recorder) recoverBatch(ctx context.Context, table *locator.Table, session uint64, batch source) {
	entries, ok := r.askHolders(ctx, table, session, batch)
	if !ok {
		r.count("unrecovered", len(batch.rows))
		return
	}
	r.adopt(timer.Now(), entries)
	failed := r.storeShards(ctx, table, session, groupByShard(table, entries))
	r.mu.Lock()
	for _, row := range batch.rows {
		if _, missed := failed[shard{row.Service, row.Shard}]; !missed {
			r.recovered[refOf(row)] = struct{}{}
		}
	}
	r.mu.Unlock()
	r.count("recovered", len(entries))
	r.options.Log.Emit(logger.RecordsRecovered,
		"owner", batch.owner, "shards", len(batch.rows), "entries", len(entries), "missed", len(failed))
	r.options.Changed()
}

// askHolders asks one holder after another.
func (r *Recorder) askHolders(ctx context.Context, table *locator.Table, session uint64, batch source) ([]messenger.RecordEntry, bool) {
	query := queryOf(table, batch)
	for _, holder := range batch.holders {
		query.Peer = holder
		answer := r.ask(ctx, table, session, &query)
		if answer != nil && answer.Accepted {
			return answer.Entries, true
		}
	}
	return nil, false
}

// ask asks one holder, which may be this router itself. It returns nil when
// there was no answer.
func (r *Recorder) ask(ctx context.Context, table *locator.Table, session uint64, query *messenger.RecoverQuery) *messenger.RecoverAnswer {
	if query.Peer == session {
		return r.answer(timer.Now(), query)
	}
	peer := table.Session(query.Peer)
	if peer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	answer, err := linker.Call[messenger.RecoverQuery, messenger.RecoverAnswer](
		ctx, r.options.Opener, peer.Address, messenger.KindRecover, query)
	if err != nil {
		r.count("unanswered", 1)
		return nil
	}
	return answer
}

func queryOf(table *locator.Table, batch source) messenger.RecoverQuery {
	query := messenger.RecoverQuery{Owner: batch.owner, Splits: make(map[string]uint32)}
	own := make(map[shard]struct{})
	for _, row := range batch.rows {
		query.Shards = append(query.Shards, refOf(row))
		service := table.Service(row.Service)
		query.Splits[row.Service] = service.Shards
		if row.Shard >= service.Shards {
			own[shard{row.Service, row.Shard}] = struct{}{}
		}
	}
	if len(own) == 0 {
		return query
	}
	for service := range query.Splits {
		for key, number := range table.Keys(service) {
			if _, ok := own[shard{service, number}]; ok {
				query.Keys = append(query.Keys, messenger.KeyRow{Service: service, Key: key, Shard: number})
			}
		}
	}
	return query
}

// adopt takes the entries of an earlier owner.
func (r *Recorder) adopt(now timer.Instant, entries []messenger.RecordEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range entries {
		e := entryOf(now, &entries[i])
		e.attempt = r.attempt.Add(1)
		entries[i].Run = e.attempt
		r.own.adopt(e)
	}
}

// groupByShard sorts entries by the shard that their key is in now.
func groupByShard(table *locator.Table, entries []messenger.RecordEntry) map[shard][]messenger.RecordEntry {
	groups := make(map[shard][]messenger.RecordEntry)
	for _, e := range entries {
		place := shard{e.Service, table.ShardOf(e.Service, e.Key)}
		groups[place] = append(groups[place], e)
	}
	return groups
}

// storeShards stores entries at all recorders of a session and returns the
// shards for which that failed.
func (r *Recorder) storeShards(ctx context.Context, table *locator.Table, session uint64, groups map[shard][]messenger.RecordEntry) map[shard]struct{} {
	list, complete := targets(r.options.Locator.Load(), session)
	return r.storeGroups(ctx, table, session, groups, func(record messenger.Record) bool {
		return complete && r.storeAll(ctx, list, record) == messenger.ReasonNone
	})
}

// storeGroups hands the entries of each shard that the session owns to store,
// some at once, and returns the shards that store failed for.
func (r *Recorder) storeGroups(
	ctx context.Context, table *locator.Table, session uint64,
	groups map[shard][]messenger.RecordEntry, store func(record messenger.Record) bool,
) map[shard]struct{} {
	var mu sync.Mutex
	failed := make(map[shard]struct{})
	room := make(chan struct{}, storeTasks)
	var tasks sync.WaitGroup
	for place, entries := range groups {
		row, ok := table.Shard(place.service, place.number)
		if !ok || row.Owner != session {
			continue
		}
		record := messenger.Record{Owner: session, Shard: refOf(row), Entries: entries}
		room <- struct{}{}
		tasks.Go(func() {
			defer func() { <-room }()
			if ctx.Err() == nil && store(record) {
				return
			}
			mu.Lock()
			failed[place] = struct{}{}
			mu.Unlock()
		})
	}
	tasks.Wait()
	return failed
}
