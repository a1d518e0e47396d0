package assembler

import (
	"context"
	"slices"
	"time"

	"marigoldhill/router/locator"
)

const (
	// shardMoveTimeout is how long a stopping process waits for its shards to move to
	// other routers. Shards left after it are released without a new owner.
	shardMoveTimeout = 10 * time.Second
	// drainPollInterval is the time between two checks of the progress of a drain.
	drainPollInterval = 20 * time.Millisecond
	// recorderJoinTimeout is how long a stopping recorder waits for a replacement to
	// join, recordCopyTimeout how long for the replacement to receive all records.
	recorderJoinTimeout = 600 * time.Millisecond
	recordCopyTimeout   = 2 * time.Second
)

// drain hands the shards over, waits until other recorders have replaced this one, and
// until no request is in flight.
func (p *Process) drain(ctx context.Context) error {
	p.heartbeatHandler.leaving.Store(true)
	p.keeper.RequestHeartbeat()
	p.waitUntil(ctx, shardMoveTimeout, func() bool { return p.heartbeatHandler.shardCount.Load() == 0 })
	p.awaitRecorders(ctx)
	elapsed, _ := p.ownerWindow.Elapsed()
	ctx, cancel := context.WithTimeout(ctx, newStopTiming(p.settings.grace()).owner-elapsed)
	defer cancel()
	select {
	case <-p.tracker.Idle():
		return nil
	case <-ctx.Done():
		return Error.New("draining with %d requests in flight: %w", p.tracker.Total(), ctx.Err())
	}
}

// awaitRecorders waits until no session needs the records that this router keeps. If
// no replacement joins in time, there are too few routers for one.
func (p *Process) awaitRecorders(ctx context.Context) {
	session := p.keeper.Session()
	p.waitUntil(ctx, recorderJoinTimeout, func() bool {
		needed, replaced := recorderStatus(p.locator.Load(), session)
		return !needed || replaced
	})
	p.waitUntil(ctx, recordCopyTimeout, func() bool {
		needed, replaced := recorderStatus(p.locator.Load(), session)
		return !needed || !replaced
	})
}

// recorderStatus reports whether a session is a recorder of other sessions, and whether
// a recorder is joining each of them.
func recorderStatus(table *locator.Table, session uint64) (needed, replaced bool) {
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

// waitUntil polls done until it returns true, timeout has passed or ctx is done.
func (p *Process) waitUntil(ctx context.Context, timeout time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
