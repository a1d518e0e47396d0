package keeper

import (
	"context"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Close ends the session in order, so that nobody has to wait until it lapses,
// and with it Run. Nothing may be in flight any more.
func (k *Keeper) Close(ctx context.Context) {
	select {
	case k.closing <- struct{}{}:
	default:
	}
	select {
	case <-k.done:
	case <-ctx.Done():
	}
}

// finish tells the control group that the session is over. The lease ends
// first, whether the control group hears of it or not.
func (k *Keeper) finish(ctx context.Context) {
	session := k.core.session
	k.ending = logger.LeaseEnded
	k.publish(0, timer.Instant{})
	if session == 0 {
		return
	}
	k.options.Steward.Lapsed(session)
	for range 2 * len(k.core.members) {
		if k.closeOnce(ctx, session) {
			k.count("closed")
			return
		}
	}
	k.count("unclosed")
}

// closeOnce sends one closing heartbeat and reports whether it was taken.
func (k *Keeper) closeOnce(ctx context.Context, session uint64) bool {
	attempt := k.core.begin(timer.Now())
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
	try, cancel := context.WithTimeout(ctx, TryTime)
	defer cancel()
	answer, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatAnswer](
		try, k.options.Opener, attempt.address, messenger.KindHeartbeat, heartbeat)
	if err != nil {
		k.core.rotate()
		return false
	}
	if answer.Status == messenger.HeartbeatAlive || answer.Status == messenger.HeartbeatExpired {
		return true
	}
	k.core.rotate()
	k.core.leader = answer.Leader
	return false
}
