package relayer

import (
	"context"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/mapper"
	"marigoldhill/router/monitor"
)

// admit is check with the evacuation of the failure domain. A request that the server may
// run otherwise is held while the router may have missed an order.
func (o *Owner) admit(ctx context.Context, started timer.Instant, relay *messenger.Relay) (*monitor.View, messenger.Reason) {
	now := timer.Now()
	if _, reason := o.check(now, started, relay); reason != messenger.ReasonNone {
		return nil, reason
	}
	if reason := o.options.Evacuation.Admit(ctx, relay.Key != messenger.NoKey, relay.Left-now.Since(started)); reason != messenger.ReasonNone {
		return nil, reason
	}
	// The state of the server and its keys may have changed while the request was held.
	return o.check(timer.Now(), started, relay)
}

// isEvacuated reports whether no server takes the request because failure domains are
// evacuated. It would wait in vain for another server or another owner of its key.
func (c *routedCall) isEvacuated(routes *mapper.Map, reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonDown, messenger.ReasonUnowned, messenger.ReasonDraining:
		return routes.IsEvacuated(c.service)
	}
	return false
}
