package keeper

import (
	"context"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Close closes the session at the control group, so that its shards can be granted to
// other routers before it would expire, and stops Run. No request may be in flight any
// more.
func (k *Keeper) Close(ctx context.Context) {
	select {
	case k.closeRequests <- struct{}{}:
	default:
	}
	select {
	case <-k.done:
	case <-ctx.Done():
	}
}

// closeSession reports the end of the session to the control group. The lease ends
// first, whether or not the report arrives.
func (k *Keeper) closeSession(ctx context.Context) {
	session := k.stateMachine.session
	k.leaseEndEvent = logger.LeaseReleased
	k.publish(0, timer.Instant{})
	if session == 0 {
		return
	}
	k.options.HeartbeatHandler.SessionEnded(session)
	for range 2 * len(k.stateMachine.members) {
		if k.sendClose(ctx, session) {
			k.count("closed")
			return
		}
	}
	k.count("unclosed")
}

// sendClose sends one closing heartbeat and reports whether the control group accepted
// it.
func (k *Keeper) sendClose(ctx context.Context, session uint64) bool {
	attempt := k.stateMachine.recordAttempt(timer.Now())
	heartbeat := &messenger.Heartbeat{
		Router:   k.settings.Name,
		Instance: k.instance,
		Session:  session,
		Sequence: attempt.sequence,
		Address:  k.settings.Address,
		Domain:   k.settings.Domain,
		Region:   k.settings.Region,
		Leaving:  true,
		Close:    true,
	}
	callCtx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	response, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatResponse](
		callCtx, k.options.Opener, attempt.address, messenger.KindHeartbeat, heartbeat)
	if err != nil {
		k.stateMachine.selectNextMember()
		return false
	}
	if response.Status == messenger.HeartbeatRenewed || response.Status == messenger.HeartbeatExpired {
		return true
	}
	k.stateMachine.selectNextMember()
	k.stateMachine.leader = response.Leader
	return false
}
