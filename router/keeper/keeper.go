// Package keeper maintains the session of a router with the control group, and the
// lease that each heartbeat renews.
//
// The lease is counted from when a heartbeat was sent, on both the monotonic and the
// wall clock, and is extended only after the routing table in the response was applied.
// Responses that arrive out of order, or after the session expired, are ignored. One
// goroutine owns the session; request handlers read an immutable [Lease].
//
// # Usage
//
//	session := keeper.New(keeper.Settings{Name: "r1", Control: addresses}, keeper.Options{
//		Opener: pool, HeartbeatHandler: handler, Log: log, Metrics: metrics})
//	go session.Run(ctx)
//	if !session.IsLeaseValid(timer.Now()) { ... } // refuse with messenger.ReasonLease
//
// The type stateMachine takes an event and the current time and returns the actions to
// perform. The Keeper performs them: it sends heartbeats and publishes the lease.
package keeper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("keeper")

// HeartbeatTimeout is the timeout of one heartbeat, short enough to move on quickly
// from an unresponsive leader. It doubles after every failuresPerDoubling consecutive
// failures, up to MaxHeartbeatTimeout: on a saturated link every response is slow, and
// the lease must be renewed nevertheless.
const (
	HeartbeatTimeout    = 250 * time.Millisecond
	MaxHeartbeatTimeout = time.Second
)

// MinUpdateRequestInterval is the minimum time between the last heartbeat and one that
// RequestUpdate requests. It bounds the load that waiting requests put on the leader.
const MinUpdateRequestInterval = 75 * time.Millisecond

// HeartbeatHandler supplies the content of heartbeats and applies the responses. All
// its methods are called from the goroutine of [Keeper.Run].
type HeartbeatHandler interface {
	// Report fills in the state of the router. Session is 0 while there is none.
	Report(now timer.Instant, session uint64, heartbeat *messenger.Heartbeat)
	// Apply applies delta to the routing table; delta is nil if the table is up to
	// date.
	Apply(session uint64, delta *messenger.TableDelta) error
	// SessionEnded is called when a session has ended, whether it expired or was closed.
	SessionEnded(session uint64)
}

// Settings identify the router and locate the control group.
type Settings struct {
	Name    string
	Address string
	Domain  string
	Region  string
	// Control are the initial addresses of the control group's members. The members
	// that the group reports replace them if Options.OnMembers is set.
	Control []string
	// Timing overrides the default times where it is not zero.
	Timing messenger.Timing
}

// Options are the dependencies of a Keeper.
type Options struct {
	Opener           linker.Opener
	HeartbeatHandler HeartbeatHandler
	// OnMembers receives the members that the control group reports; if it is nil,
	// reported members are ignored. Seeds returns addresses to try when no member
	// responds; if it is nil, there are none.
	OnMembers func(members []string)
	Seeds     func() []string
	Log       *logger.Log
	Metrics   *metrics.Set
}

// Keeper maintains the session of one router.
type Keeper struct {
	settings Settings
	options  Options
	// instance is replaced when sessionEnded is set and the next heartbeat may adopt the
	// session.
	instance     uint64
	sessionEnded bool
	stateMachine stateMachine
	lease        atomic.Pointer[Lease]
	// lastSentAt is when the newest heartbeat was sent.
	lastSentAt atomic.Pointer[timer.Instant]
	// leaseEndEvent is the event that is logged when the lease ends.
	leaseEndEvent      logger.Event
	results            chan result
	heartbeatRequested chan struct{}
	closeRequests      chan struct{}
	done               chan struct{}
	// consecutiveFailures counts the heartbeats that failed since the last response.
	consecutiveFailures int
}

// New returns a Keeper without a session.
func New(settings Settings, options Options) *Keeper {
	settings.Timing = settings.Timing.WithDefaults()
	keeper := &Keeper{
		settings:           settings,
		options:            options,
		instance:           rand.Uint64(),
		stateMachine:       newStateMachine(settings.Control, settings.Timing),
		leaseEndEvent:      logger.LeaseLost,
		results:            make(chan result, 1),
		heartbeatRequested: make(chan struct{}, 1),
		closeRequests:      make(chan struct{}, 1),
		done:               make(chan struct{}),
	}
	keeper.lease.Store(newLease(settings.Timing.Lease))
	return keeper
}

// Lease returns the current lease.
func (k *Keeper) Lease() *Lease {
	return k.lease.Load()
}

// IsLeaseValid reports whether the lease is valid at now.
func (k *Keeper) IsLeaseValid(now timer.Instant) bool {
	return k.lease.Load().IsLeaseValid(now)
}

// Session returns the number of the session, 0 without one.
func (k *Keeper) Session() uint64 {
	return k.lease.Load().Session
}

// RequestHeartbeat requests a heartbeat because its content changed. It is sent at once,
// or after MinUpdateRequestInterval if another heartbeat is pending.
func (k *Keeper) RequestHeartbeat() {
	select {
	case k.heartbeatRequested <- struct{}{}:
	default:
	}
}

// RequestUpdate requests a heartbeat because a request waits for a newer routing table. It
// does nothing if a heartbeat was sent within MinUpdateRequestInterval.
func (k *Keeper) RequestUpdate() {
	lastSentAt := k.lastSentAt.Load()
	if lastSentAt == nil || timer.Now().Since(*lastSentAt) >= MinUpdateRequestInterval {
		k.RequestHeartbeat()
	}
}

// Run maintains the session until ctx ends or Close is called. It must be called once.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(k.settings.Timing.Interval)
	defer ticker.Stop()
	expiry := time.NewTimer(k.settings.Timing.Lease)
	defer expiry.Stop()
	k.perform(ctx, k.stateMachine.tick(timer.Now()))
	for {
		select {
		case <-ticker.C:
			k.perform(ctx, k.stateMachine.tick(timer.Now()))
		case <-k.heartbeatRequested:
			k.perform(ctx, k.stateMachine.heartbeatRequested(timer.Now()))
		case <-expiry.C:
			k.perform(ctx, k.stateMachine.checkExpiry(timer.Now()))
		case result := <-k.results:
			k.handleResult(ctx, result)
		case <-k.closeRequests:
			k.closeSession(ctx)
			return
		case <-ctx.Done():
			k.publish(0, timer.Instant{})
			return
		}
		expiry.Reset(k.stateMachine.timeToExpiry(timer.Now()))
	}
}

// handleResult handles the outcome of one heartbeat.
func (k *Keeper) handleResult(ctx context.Context, result result) {
	if result.err != nil {
		k.count("failed")
		k.logControlLost(result)
		k.perform(ctx, k.stateMachine.heartbeatFailed(timer.Now(), result.sequence))
		k.addSeeds()
		return
	}
	k.logControlFound(result.response)
	k.updateMembers(result.response.Members)
	actions := k.stateMachine.handleResponse(timer.Now(), result.sequence, result.response)
	k.perform(ctx, actions)
	if !actions.apply {
		return
	}
	if err := k.options.HeartbeatHandler.Apply(k.stateMachine.session, result.response.Delta); err != nil {
		k.count("unapplied")
		k.perform(ctx, k.stateMachine.heartbeatFailed(timer.Now(), result.sequence))
		return
	}
	k.perform(ctx, k.stateMachine.tableApplied(timer.Now(), result.response.More))
}

// updateMembers replaces the members with the ones that the control group reported.
func (k *Keeper) updateMembers(members []string) {
	if len(members) == 0 || k.options.OnMembers == nil {
		return
	}
	k.stateMachine.members = members
	k.options.OnMembers(members)
}

// addSeeds adds the seeds to the members once two heartbeats per member have gone
// unanswered in a row, and again after every further heartbeat per member.
func (k *Keeper) addSeeds() {
	if k.options.Seeds == nil || k.stateMachine.unanswered < 2*len(k.stateMachine.members) || k.stateMachine.unanswered%len(k.stateMachine.members) != 0 {
		return
	}
	members := slices.Clone(k.stateMachine.members)
	for _, seed := range k.options.Seeds() {
		if !slices.Contains(members, seed) {
			members = append(members, seed)
		}
	}
	k.stateMachine.members = members
}

// perform carries out the actions that the state machine requested.
func (k *Keeper) perform(ctx context.Context, actions actions) {
	if actions.reason != "" {
		k.count(actions.reason)
	}
	if actions.endedSession != 0 {
		k.sessionEnded = true
		k.options.HeartbeatHandler.SessionEnded(actions.endedSession)
	}
	if actions.publish {
		k.publish(k.stateMachine.session, k.stateMachine.leaseRenewedAt)
	}
	if actions.sendHeartbeat {
		k.sendHeartbeat(ctx)
	}
	if actions.sendSoon {
		time.AfterFunc(MinUpdateRequestInterval, k.RequestHeartbeat)
	}
}

// publish makes a lease visible to request handlers. It closes the Done channel of the
// previous lease if that had been acquired and the new one is not its renewal.
func (k *Keeper) publish(session uint64, sent timer.Instant) {
	previous := k.lease.Load()
	successor := previous.successor(session, sent)
	k.lease.Store(successor)
	if successor.done == previous.done {
		return
	}
	if !previous.RenewedAt.IsZero() {
		close(previous.done)
		k.options.Log.Emit(k.leaseEndEvent, "session", previous.Session)
	}
	if !successor.RenewedAt.IsZero() {
		k.options.Log.Emit(logger.LeaseAcquired, "session", successor.Session)
	}
}

func (k *Keeper) count(reason string) {
	if k.options.Metrics == nil {
		return
	}
	k.options.Metrics.GetOrCreateCounter(`marigold_heartbeats_total{reason="` + reason + `"}`).Inc()
}
