package relayer

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
	"marigoldhill/router/throttler"
)

const (
	// busyShare is the share of the rate of a VM's link from which its router asks entry
	// routers to refuse excess requests themselves. Below it, a refusal on the way costs
	// little, and the router of the server knows better what it can take.
	busyShare = 0.25
	// finalTimeLeft is the time left below which a refusal is final: callers wait at most a
	// third of it before they retry, too short for an overload to end. Most such requests
	// are calls of backend servers, and the refusal of a call fails the request that made it.
	finalTimeLeft = 600 * time.Millisecond
	// minReturnWait is how long after its first attempt a caller must send another one for
	// it to count as a retry that waited as it was told.
	minReturnWait = 50 * time.Millisecond
)

// throttle reports whether a request is not sent to a server, because its router would most
// likely refuse it. The answer is nil if another server is to be tried.
func (c *routedCall) throttle(server *mapper.Server) (answer *Answer, throttled bool) {
	if c.sends > 0 || c.left() < finalTimeLeft || server.Session == c.entry.options.Session() {
		return nil, false
	}
	retryAfter, throttled := c.entry.gate.Check(c.entry.now(), throttler.Request{
		Session:     server.Session,
		Rank:        c.route.Treatment.Rank,
		Fingerprint: c.fingerprint,
		Returns:     c.waited >= minReturnWait,
	})
	if !throttled {
		return nil, false
	}
	c.entry.options.Metrics.GetOrCreateCounter("marigold_throttled_total").Inc()
	c.tried = append(c.tried, server.Session)
	c.fullServers++
	if c.keyless && c.fullServers < maxFullServers {
		return nil, true
	}
	refusal := c.refuse(messenger.ReasonQueue, c.retryAfter(messenger.ReasonQueue, retryAfter))
	return &refusal, true
}

// updateGate records which fraction of the requests a server can take, from a response of
// its router.
func (c *routedCall) updateGate(server *mapper.Server, response *messenger.RelayResponse) {
	if response.Load.Slots > 0 {
		c.entry.gate.Update(c.entry.now(), server.Session, c.route.Treatment.Rank, float64(response.Load.Fraction), response.RetryAfter)
	}
}

// isBusy reports whether the link is used so much that refusals on the way matter.
func (l *ownerLink) isBusy() bool {
	if l == nil {
		return false
	}
	now := l.admission.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(now)
	return l.estimates.Use(now) > busyShare
}

// fraction returns the fraction of the requests of a rank that entry routers should send, or
// 0 for all of them.
func (l *ownerLink) fraction(rank int) float32 {
	if !l.isBusy() {
		return 0
	}
	if fraction := l.admission.Fraction(rank); fraction < 1 {
		return float32(fraction)
	}
	return 0
}
