package relayer

import (
	"context"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
	"marigoldhill/router/mapper"
)

// choose returns the server for the next attempt, or the reason why there is none.
func (c *routedCall) choose(routes *mapper.Map) (*mapper.Server, messenger.Reason) {
	if !c.keyless {
		return c.owner(routes)
	}
	session := c.entry.balancer.Choose(c.entry.now(), c.candidates(routes), chooser.Requirements{
		Domain:        c.entry.options.Domain,
		Aim:           c.route.Treatment.Aim,
		Bytes:         int(max(c.call.Length, 0)) + c.entry.expectedBytes(c.route.Name) + headerBytes,
		MaxLocalDelay: time.Duration(localPreference * float64(c.route.Treatment.Aim)),
		Routers:       routes.RouterCount(),
		Exclude:       c.tried,
	})
	for _, server := range routes.Servers(c.service) {
		if server.Session == session {
			return server, messenger.ReasonNone
		}
	}
	if c.fullServers > 0 {
		return nil, messenger.ReasonQueue
	}
	return nil, messenger.ReasonDown
}

// candidates returns the servers that a request without a key may be sent to.
func (c *routedCall) candidates(routes *mapper.Map) []chooser.Candidate {
	servers := routes.Servers(c.service)
	coldRate := 0.0
	if service := routes.Configuration.Service(c.service); service != nil {
		coldRate = service.ColdRate
	}
	candidates := make([]chooser.Candidate, 0, len(servers))
	for _, server := range servers {
		if _, leaves := c.entry.leavers.leftFor(&server.Row); server.Leaving || leaves {
			continue
		}
		candidate := chooser.Candidate{
			Session: server.Session, Domain: server.Domain, Slots: server.Row.Slots, Cold: server.Row.Cold,
		}
		if candidate.Cold {
			candidate.ColdRate = coldRate
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// owner returns the owner of the key, unless it was tried already.
func (c *routedCall) owner(routes *mapper.Map) (*mapper.Server, messenger.Reason) {
	if c.call.Key == messenger.NoKey {
		return nil, messenger.ReasonMalformed
	}
	server, holding := routes.Owner(c.service, uint32(c.call.Key))
	switch {
	case server == nil:
		return nil, messenger.ReasonUnowned
	case !slices.Contains(c.tried, server.Session):
		if left, leaves := c.entry.leavers.leftFor(&server.Row); leaves && left > leaveGrace {
			return nil, messenger.ReasonDraining
		}
		// The owner of a moving key serves it until it has released it.
		return server, messenger.ReasonNone
	case holding.Phase == messenger.PhaseMoving:
		return nil, messenger.ReasonMoving
	}
	return nil, messenger.ReasonMisrouted
}

// waitReason returns what to wait for when the owner of the key refused the request:
// the end of a move, or the grant of the key to the owner.
func (c *routedCall) waitReason(routes *mapper.Map) messenger.Reason {
	if _, holding := routes.Owner(c.service, uint32(c.call.Key)); holding.Phase == messenger.PhaseMoving {
		return messenger.ReasonMoving
	}
	return messenger.ReasonMisrouted
}

// waitForOwner waits until the owner of the key may have changed. It reports false if
// the request cannot be served by waiting, or the time for it has passed.
func (c *routedCall) waitForOwner(ctx context.Context, routes *mapper.Map, reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonUnowned, messenger.ReasonMoving, messenger.ReasonMisrouted, messenger.ReasonDraining:
	default:
		return false
	}
	timeout := min(maxOwnerWait, time.Duration(ownerWaitFraction*float64(c.timeout))) - time.Since(c.started)
	if timeout <= 0 {
		return false
	}
	c.entry.options.RequestUpdate()
	expiry := time.NewTimer(timeout)
	defer expiry.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-routes.Next():
			// An owner that had not received the key before may have it now.
			c.tried = nil
			return true
		case <-refresh.C:
			c.entry.options.RequestUpdate()
			if reason == messenger.ReasonMisrouted {
				// The owner may receive the grant of the key later than this router
				// did. Then there is no newer map to wait for.
				c.tried = nil
				return true
			}
		case <-expiry.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// refreshInterval is the time between two calls of EntryOptions.RequestUpdate while a call
// waits.
const refreshInterval = 80 * time.Millisecond
