package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// controlLostFailures is how many consecutive heartbeats must fail before the control
// group is logged as lost. One failure is normal whenever a leader is replaced.
const controlLostFailures = 2

// result is the outcome of one heartbeat.
type result struct {
	sequence uint64
	response *messenger.HeartbeatResponse
	err      error
}

// logControlLost counts a failed heartbeat and logs the loss of the control group
// after controlLostFailures of them.
func (k *Keeper) logControlLost(result result) {
	k.consecutiveFailures++
	if k.consecutiveFailures == controlLostFailures {
		k.options.Log.Emit(logger.ControlUnreachable, "sequence", result.sequence, "session", k.stateMachine.session,
			"unanswered", k.stateMachine.unanswered, "error", result.err)
	}
}

// logControlFound resets the failures and logs that the control group responds again.
func (k *Keeper) logControlFound(response *messenger.HeartbeatResponse) {
	if k.consecutiveFailures >= controlLostFailures {
		k.options.Log.Emit(logger.ControlReachable, "failures", k.consecutiveFailures, "status", response.Status)
	}
	k.consecutiveFailures = 0
}

// sendHeartbeat sends a heartbeat without waiting for its response.
func (k *Keeper) sendHeartbeat(ctx context.Context) {
	heartbeat := &messenger.Heartbeat{
		Router:  k.settings.Name,
		Session: k.stateMachine.session,
		Address: k.settings.Address,
		Domain:  k.settings.Domain,
		Region:  k.settings.Region,
	}
	k.options.HeartbeatHandler.Report(timer.Now(), k.stateMachine.session, heartbeat)
	k.renewInstance(heartbeat)
	heartbeat.Instance = k.instance
	heartbeat.Unanswered = k.stateMachine.unanswered
	now := timer.Now()
	k.lastSentAt.Store(&now)
	attempt := k.stateMachine.recordAttempt(now)
	heartbeat.Sequence = attempt.sequence
	k.count("sent")
	go k.callControl(ctx, attempt, heartbeat, k.attemptTimeout())
}

// renewInstance replaces the instance after a session ended. The router no longer knows
// what it reported under that session, and its earlier heartbeats may still arrive: they
// are void once the session belongs to another instance. A router that cannot adopt its
// session keeps the instance, so that it need not wait until the session has expired.
func (k *Keeper) renewInstance(heartbeat *messenger.Heartbeat) {
	if k.sessionEnded && heartbeat.Sole {
		k.instance = rand.Uint64()
	}
	k.sessionEnded = false
}

// attemptTimeout returns the timeout of the next heartbeat.
func (k *Keeper) attemptTimeout() time.Duration {
	return min(HeartbeatTimeout<<min(k.consecutiveFailures/failuresPerDoubling, 8), MaxHeartbeatTimeout)
}

// failuresPerDoubling is how many consecutive failures double the timeout. The Keeper
// moves on from a failed leader after one or two, so these keep the short timeout.
const failuresPerDoubling = 2

// callControl sends one heartbeat and passes its result to the goroutine of Run.
func (k *Keeper) callControl(ctx context.Context, attempt attempt, heartbeat *messenger.Heartbeat, timeout time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatResponse](
		callCtx, k.options.Opener, attempt.address, messenger.KindHeartbeat, heartbeat)
	select {
	case k.results <- result{attempt.sequence, response, err}:
	case <-ctx.Done():
	}
}
