package assembler

import (
	"context"
	"slices"
	"time"

	"marigoldhill/router/locator"
)

const (
	// drainTime is how long a stopping process waits for its shards to move
	// before it gives them back without a new owner.
	drainTime = 10 * time.Second
	// drainPoll is the time between two looks at what is left.
	drainPoll = 20 * time.Millisecond
	// joinTime is how long a stopping recorder waits for another one to join in
	// its place, copyTime how long for that one to get all records.
	joinTime = 600 * time.Millisecond
	copyTime = 2 * time.Second
)

// drain gives the shards away and waits until nothing is in flight, and until
// other recorders took the place of this one.
func (p *Process) drain(ctx context.Context) error {
	p.steward.leaving.Store(true)
	p.keeper.Nudge()
	p.await(ctx, drainTime, func() bool { return p.steward.held.Load() == 0 })
	p.awaitRecorders(ctx)
	select {
	case <-p.tracker.Idle():
		return nil
	case <-ctx.Done():
		return Error.New("%d requests are in flight: %w", p.tracker.Total(), ctx.Err())
	}
}

// awaitRecorders waits until no session needs the records that this router
// keeps. Where nobody joins in its place, there are too few routers to wait for.
func (p *Process) awaitRecorders(ctx context.Context) {
	session := p.keeper.Session()
	p.await(ctx, joinTime, func() bool {
		needed, replaced := recording(p.locator.Load(), session)
		return !needed || replaced
	})
	p.await(ctx, copyTime, func() bool {
		needed, replaced := recording(p.locator.Load(), session)
		return !needed || !replaced
	})
}

// recording reports whether a session is a recorder of others, and whether
// another one joins each of those.
func recording(table *locator.Table, session uint64) (needed, replaced bool) {
	replaced = true
	for row := range table.Sessions() {
		if row.Leaving || !slices.Contains(row.Recorders, session) {
			continue
		}
		needed = true
		replaced = replaced && len(row.Joining) > 0
	}
	return needed, replaced
}

// await looks again and again until done reports true, for a bounded time.
func (p *Process) await(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
