package forwarder

import (
	"context"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/retrier"
)

// refreshInterval is the time between two calls of Options.RequestUpdate for one held
// request.
const refreshInterval = 100 * time.Millisecond

// holdLimiter limits the requests held at once, by number and by total size of
// their bodies.
type holdLimiter struct {
	maxRequests int
	maxBytes    int64

	mu       sync.Mutex
	requests int
	bytes    int64
}

// acquire reports whether a request with a body of size bytes may be held. If so, it
// must be released.
func (h *holdLimiter) acquire(size int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests >= h.maxRequests || h.bytes+size > h.maxBytes {
		return false
	}
	h.requests++
	h.bytes += size
	return true
}

func (h *holdLimiter) release(size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests--
	h.bytes -= size
}

// waitForRetry waits before the next attempt. It reports false when there must
// be none and the answer of the last attempt is final.
func (c *call) waitForRetry(ctx context.Context, decision retrier.Decision) bool {
	if decision.Verdict == retrier.VerdictRetry {
		c.retries++
		return sleep(ctx, decision.Wait)
	}
	c.corrections++
	return c.hold(ctx, decision.Wait)
}

// hold waits until the key has another placement or wait has passed. It reports
// false when the limit of held requests is reached or ctx ended first.
func (c *call) hold(ctx context.Context, wait time.Duration) bool {
	f := c.forwarder
	size := int64(len(c.body.prefix))
	if !f.holdLimiter.acquire(size) {
		f.counters.holdsRejected.Inc()
		return false
	}
	defer f.holdLimiter.release(size)
	if c.heldSince.IsZero() {
		c.heldSince = timer.Now()
		f.counters.held.Inc()
	}
	return c.waitForMove(ctx, wait)
}

// waitForMove waits until the routing table gives the key another placement or
// wait has passed. It reports false when ctx ended first.
func (c *call) waitForMove(ctx context.Context, wait time.Duration) bool {
	expiry := time.NewTimer(wait)
	defer expiry.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		c.forwarder.options.RequestUpdate()
		changed := c.forwarder.options.Locator.Changed()
		if c.isMoved() {
			return true
		}
		select {
		case <-expiry.C:
			return true
		case <-changed:
		case <-refresh.C:
		case <-ctx.Done():
			return false
		}
	}
}

// isMoved reports whether the placement of the key has changed since the last
// attempt.
func (c *call) isMoved() bool {
	place, _ := c.forwarder.options.Locator.Load().Locate(c.request.Service, c.request.Key)
	old := &c.place.Row
	row := &place.Row
	return row.Shard != old.Shard || row.Phase != old.Phase || row.Owner != old.Owner || row.Fence != old.Fence
}

// isHoldExpired reports whether a request has waited for an owner for the maximum
// time.
func (c *call) isHoldExpired(response *messenger.Response) bool {
	if c.heldSince.IsZero() || !retrier.IsCorrection(response.Outcome, response.Reason) {
		return false
	}
	return timer.Now().Since(c.heldSince) >= c.forwarder.settings.MaxHoldTime
}

// sleep waits for a time. It reports false when ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	expiry := time.NewTimer(wait)
	defer expiry.Stop()
	select {
	case <-expiry.C:
		return true
	case <-ctx.Done():
		return false
	}
}
