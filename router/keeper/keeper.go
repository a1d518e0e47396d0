// Package keeper holds the session of a router with the control group, and the
// lease that each heartbeat renews.
//
// The lease is counted from when a heartbeat was sent, by both clocks, and is
// extended only after the routing table in the answer was applied. Answers that
// come out of order, or after the session lapsed, are void. One goroutine owns
// the session; traffic reads an immutable [Lease].
//
// # Usage
//
//	session := keeper.New(keeper.Settings{Name: "r1", Control: addresses}, keeper.Options{
//		Opener: pool, Steward: steward, Log: log, Metrics: metrics})
//	go session.Run(ctx)
//	if !session.Alive(timer.Now()) { ... } // refuse with messenger.ReasonLease
//
// The decisions are in the type core: an event and the time go in, a step comes
// out. The Keeper around it sends heartbeats and publishes the lease.
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

// TryTime bounds one heartbeat, so that a silent leader is left quickly. It grows
// with each heartbeat in a row that fails, up to MaxTryTime: behind a full link
// every answer takes long, and a lease must be renewed all the same.
const (
	TryTime    = 250 * time.Millisecond
	MaxTryTime = time.Second
)

// HastenInterval is the least time between heartbeats that Hasten asks for. It
// bounds what held requests cost the leader.
const HastenInterval = 75 * time.Millisecond

// lostFailures is how many heartbeats in a row must fail for the control group to
// count as lost. One fails whenever a leader is replaced.
const lostFailures = 2

// Steward is asked for what goes into a heartbeat and applies what comes back.
// All its methods are called from the goroutine of [Keeper.Run].
type Steward interface {
	// Report fills in what the router says of itself. Session is 0 while it has
	// none.
	Report(now timer.Instant, session uint64, heartbeat *messenger.Heartbeat)
	// Apply brings the routing table up to date; delta is nil when it is that
	// already.
	Apply(session uint64, delta *messenger.TableDelta) error
	// Lapsed is called when a session ended, in whichever way.
	Lapsed(session uint64)
}

// Settings tell a router from others and where the control group is.
type Settings struct {
	Name    string
	Address string
	Domain  string
	Region  string
	// Control are the addresses of the members of the control group, until the
	// group says otherwise.
	Control []string
	// Timing replaces the default times where it is not zero.
	Timing messenger.Timing
}

// Options are the parts that a Keeper works with.
type Options struct {
	Opener  linker.Opener
	Steward Steward
	// Known is told of the members that the control group names; nil takes no
	// names. Seeds returns addresses to try when no member answers; nil adds
	// none.
	Known   func(members []string)
	Seeds   func() []string
	Log     *logger.Log
	Metrics *metrics.Set
}

// Keeper keeps the session of one router.
type Keeper struct {
	settings Settings
	options  Options
	instance uint64
	core     core
	lease    atomic.Pointer[Lease]
	// sent is when the newest heartbeat was sent.
	sent atomic.Pointer[timer.Instant]
	// ending is the event for the end of a lease.
	ending  logger.Event
	results chan result
	nudge   chan struct{}
	closing chan struct{}
	done    chan struct{}
	// failures counts the heartbeats in a row that got no answer.
	failures int
}

// result is what became of one heartbeat.
type result struct {
	sequence uint64
	answer   *messenger.HeartbeatAnswer
	err      error
}

// New returns a Keeper without a session.
func New(settings Settings, options Options) *Keeper {
	settings.Timing = settings.Timing.Complete()
	keeper := &Keeper{
		settings: settings,
		options:  options,
		instance: rand.Uint64(),
		core:     newCore(settings.Control, settings.Timing),
		ending:   logger.LeaseLost,
		results:  make(chan result, 1),
		nudge:    make(chan struct{}, 1),
		closing:  make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	keeper.lease.Store(noLease(settings.Timing.Lease))
	return keeper
}

// Lease returns the newest lease.
func (k *Keeper) Lease() *Lease {
	return k.lease.Load()
}

// Alive reports whether the lease holds at now.
func (k *Keeper) Alive(now timer.Instant) bool {
	return k.lease.Load().Alive(now)
}

// Session is the number of the session, 0 without one.
func (k *Keeper) Session() uint64 {
	return k.lease.Load().Session
}

// Nudge makes the keeper send a heartbeat at once, because something in it
// changed.
func (k *Keeper) Nudge() {
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

// Hasten makes the keeper send a heartbeat at once, because somebody waits for
// news, unless it has sent one within HastenInterval.
func (k *Keeper) Hasten() {
	sent := k.sent.Load()
	if sent == nil || timer.Now().Since(*sent) >= HastenInterval {
		k.Nudge()
	}
}

// Run keeps the session until ctx ends. It must be called once.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(k.settings.Timing.Interval)
	defer ticker.Stop()
	lapse := time.NewTimer(k.settings.Timing.Lease)
	defer lapse.Stop()
	k.act(ctx, k.core.tick(timer.Now()))
	for {
		select {
		case <-ticker.C:
			k.act(ctx, k.core.tick(timer.Now()))
		case <-k.nudge:
			k.act(ctx, k.core.nudge(timer.Now()))
		case <-lapse.C:
			k.act(ctx, k.core.check(timer.Now()))
		case result := <-k.results:
			k.take(ctx, result)
		case <-k.closing:
			k.finish(ctx)
			return
		case <-ctx.Done():
			k.publish(0, timer.Instant{})
			return
		}
		lapse.Reset(k.core.left(timer.Now()))
	}
}

// take handles the end of one heartbeat.
func (k *Keeper) take(ctx context.Context, result result) {
	if result.err != nil {
		k.count("failed")
		k.noteLost(result)
		k.act(ctx, k.core.failed(timer.Now(), result.sequence))
		k.seek()
		return
	}
	k.noteFound(result.answer)
	k.learn(result.answer.Members)
	step := k.core.answered(timer.Now(), result.sequence, result.answer)
	k.act(ctx, step)
	if !step.apply {
		return
	}
	if err := k.options.Steward.Apply(k.core.session, result.answer.Delta); err != nil {
		k.count("unapplied")
		k.act(ctx, k.core.failed(timer.Now(), result.sequence))
		return
	}
	k.act(ctx, k.core.applied(timer.Now(), result.answer.More))
}

// noteLost logs that the control group does not answer, once it is no single
// failure.
func (k *Keeper) noteLost(result result) {
	k.failures++
	if k.failures == lostFailures {
		k.options.Log.Emit(logger.ControlLost, "sequence", result.sequence, "session", k.core.session,
			"unanswered", k.core.unanswered, "error", result.err)
	}
}

// noteFound logs that the control group answers again.
func (k *Keeper) noteFound(answer *messenger.HeartbeatAnswer) {
	if k.failures >= lostFailures {
		k.options.Log.Emit(logger.ControlFound, "failures", k.failures, "status", answer.Status)
	}
	k.failures = 0
}

// learn takes over the members that the control group names.
func (k *Keeper) learn(members []string) {
	if len(members) == 0 || k.options.Known == nil {
		return
	}
	k.core.members = members
	k.options.Known(members)
}

// seek adds seeds to the members when none of them has answered for a while.
func (k *Keeper) seek() {
	if k.options.Seeds == nil || k.core.unanswered < 2*len(k.core.members) || k.core.unanswered%len(k.core.members) != 0 {
		return
	}
	members := slices.Clone(k.core.members)
	for _, seed := range k.options.Seeds() {
		if !slices.Contains(members, seed) {
			members = append(members, seed)
		}
	}
	k.core.members = members
}

// act carries out a step of the core.
func (k *Keeper) act(ctx context.Context, step step) {
	if step.reason != "" {
		k.count(step.reason)
	}
	if step.lapsed != 0 {
		k.options.Steward.Lapsed(step.lapsed)
	}
	if step.publish {
		k.publish(k.core.session, k.core.renewed)
	}
	if step.send {
		k.send(ctx)
	}
	if step.soon {
		time.AfterFunc(HastenInterval, k.Nudge)
	}
}

// publish makes a lease known to traffic, and ends the one before unless it
// goes on.
func (k *Keeper) publish(session uint64, sent timer.Instant) {
	before := k.lease.Load()
	next := before.next(session, sent)
	k.lease.Store(next)
	if next.done == before.done {
		return
	}
	if !before.Sent.IsZero() {
		close(before.done)
		k.options.Log.Emit(k.ending, "session", before.Session)
	}
	if !next.Sent.IsZero() {
		k.options.Log.Emit(logger.LeaseGained, "session", next.Session)
	}
}

// send sends the heartbeat that the core wants.
func (k *Keeper) send(ctx context.Context) {
	heartbeat := &messenger.Heartbeat{
		Router:   k.settings.Name,
		Instance: k.instance,
		Session:  k.core.session,
		Address:  k.settings.Address,
		Domain:   k.settings.Domain,
		Region:   k.settings.Region,
	}
	k.options.Steward.Report(timer.Now(), k.core.session, heartbeat)
	heartbeat.Unanswered = k.core.unanswered
	now := timer.Now()
	k.sent.Store(&now)
	attempt := k.core.begin(now)
	heartbeat.Sequence = attempt.sequence
	k.count("sent")
	go k.call(ctx, attempt, heartbeat, k.tryTime())
}

// tryTime is how long the next heartbeat may take.
func (k *Keeper) tryTime() time.Duration {
	return min(TryTime<<min(k.failures/tryFailures, 8), MaxTryTime)
}

// tryFailures is how many heartbeats in a row must fail for the next ones to get
// more time: a leader that is gone is left after one or two.
const tryFailures = 2

// call sends one heartbeat and hands its result to the goroutine of Run.
func (k *Keeper) call(ctx context.Context, attempt attempt, heartbeat *messenger.Heartbeat, limit time.Duration) {
	try, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatAnswer](
		try, k.options.Opener, attempt.address, messenger.KindHeartbeat, heartbeat)
	select {
	case k.results <- result{attempt.sequence, answer, err}:
	case <-ctx.Done():
	}
}

func (k *Keeper) count(result string) {
	if k.options.Metrics == nil {
		return
	}
	k.options.Metrics.GetOrCreateCounter(`marigold_heartbeats_total{reason="` + result + `"}`).Inc()
}
