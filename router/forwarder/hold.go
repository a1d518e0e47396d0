package forwarder

import (
	"context"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/retrier"
)

// hastenInterval is the time between two calls of Options.Hasten for one held
// request.
const hastenInterval = 100 * time.Millisecond

// holds bounds the requests that are held at once, in number and in bytes of
// their bodies.
type holds struct {
	most      int
	mostBytes int64

	mu     sync.Mutex
	number int
	bytes  int64
}

func (h *holds) enter(size int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.number >= h.most || h.bytes+size > h.mostBytes {
		return false
	}
	h.number++
	h.bytes += size
	return true
}

func (h *holds) leave(size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number--
	h.bytes -= size
}

// pause waits before the next send. It reports false when the answer of the
// last send must stand instead.
func (t *trip) pause(ctx context.Context, decision retrier.Decision) bool {
	if decision.Verdict == retrier.VerdictRetry {
		t.retried++
		return sleep(ctx, decision.Wait)
	}
	t.corrected++
	return t.hold(ctx, decision.Wait)
}

// hold waits until the key has another place or the wait is over. Only so many
// requests are held at once.
func (t *trip) hold(ctx context.Context, wait time.Duration) bool {
	f := t.forwarder
	size := int64(len(t.body.prefix))
	if !f.holds.enter(size) {
		f.counters.crowded.Inc()
		return false
	}
	defer f.holds.leave(size)
	if t.heldSince.IsZero() {
		t.heldSince = timer.Now()
		f.counters.held.Inc()
	}
	return t.await(ctx, wait)
}

// await waits until the routing table gives the key another place or the wait
// is over; it reports false when ctx ended first.
func (t *trip) await(ctx context.Context, wait time.Duration) bool {
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	again := time.NewTicker(hastenInterval)
	defer again.Stop()
	for {
		t.forwarder.options.Hasten()
		changed := t.forwarder.options.Locator.Changed()
		if t.isMoved() {
			return true
		}
		select {
		case <-alarm.C:
			return true
		case <-changed:
		case <-again.C:
		case <-ctx.Done():
			return false
		}
	}
}

// isMoved reports whether the key has another place than at the last send.
func (t *trip) isMoved() bool {
	place, _ := t.forwarder.options.Locator.Load().Locate(t.request.Service, t.request.Key)
	old := &t.place.Row
	row := &place.Row
	return row.Shard != old.Shard || row.Phase != old.Phase || row.Owner != old.Owner || row.Fence != old.Fence
}

// isHeldTooLong reports whether a request that waits for an owner is given up.
func (t *trip) isHeldTooLong(response *messenger.Response) bool {
	if t.heldSince.IsZero() || !retrier.IsCorrection(response.Outcome, response.Reason) {
		return false
	}
	return timer.Now().Since(t.heldSince) >= t.forwarder.settings.HoldTime
}

// sleep waits; it reports false when ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
