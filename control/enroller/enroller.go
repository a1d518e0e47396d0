// Package enroller makes replicas members of the control group without an
// operator.
//
// A replica that is no member asks the replicas that it knows, first those of
// its settings, then those that the group names. The leader enrols one replica
// at a time: it removes the identity that a wiped replica had before, or a member
// that has been silent for long, and adds the new one once that has caught up.
// The decisions are in [Decide].
//
// # Usage
//
//	enrolment := enroller.New(enroller.Settings{Member: member, Seeds: seeds, Losses: 2}, enroller.Options{
//		Replica: replica, Opener: pool, Log: log})
//	go enrolment.Run(ctx)
//	enrolment.Handle(ctx, link, stream) // streams of messenger.KindJoin
package enroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/control/replicator"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("enroller")

const (
	// askInterval is the time between two rounds of asking.
	askInterval = 250 * time.Millisecond
	// askTime bounds one question.
	askTime = 500 * time.Millisecond
	// changeTime bounds one change of the group. A joiner that makes no
	// progress is dropped by the elector before.
	changeTime = 8 * time.Second
)

// Settings tell a replica from others.
type Settings struct {
	Member messenger.Member
	// Seeds are addresses of replicas that may know the group.
	Seeds []string
	// Losses is how many disks may be lost at once: the group is to have twice
	// as many members and one more.
	Losses int
}

// Replica is the part of a replica that an Enroller uses.
type Replica interface {
	Standing() replicator.Standing
	AddMember(ctx context.Context, member messenger.Member) (uint64, error)
	RemoveMember(ctx context.Context, name string) (uint64, error)
}

// Options are the parts that an Enroller works with.
type Options struct {
	Replica Replica
	Opener  linker.Opener
	Log     *logger.Log
}

// Enroller asks for membership and, at the leader, grants it. Its methods are
// safe for concurrent use.
type Enroller struct {
	settings Settings
	options  Options
	changes  sync.Mutex

	mu    sync.Mutex
	known []string
}

// New returns an Enroller.
func New(settings Settings, options Options) *Enroller {
	return &Enroller{settings: settings, options: options, known: slices.Clone(settings.Seeds)}
}

// Run asks for membership whenever this replica is no member, until ctx ends.
func (e *Enroller) Run(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !e.isMember() {
			e.ask(ctx)
		}
	}
}

// isMember reports whether this replica is a member as far as it knows. One that
// hears no leader may have been removed meanwhile, so it asks as well.
func (e *Enroller) isMember() bool {
	standing := e.options.Replica.Standing()
	return standing.Leader.Name != "" && slices.ContainsFunc(standing.Members, func(m messenger.Member) bool {
		return m.Name == e.settings.Member.Name
	})
}

// ask asks one replica after the other until the leader was reached.
func (e *Enroller) ask(ctx context.Context) {
	for _, address := range e.addresses() {
		if address != e.settings.Member.Address && e.askVia(ctx, address) {
			return
		}
	}
}

// askVia asks at an address, and at the leader that it names.
func (e *Enroller) askVia(ctx context.Context, address string) bool {
	answer, err := e.call(ctx, address)
	if err == nil && !answer.Taken && answer.Leader != "" {
		answer, err = e.call(ctx, answer.Leader)
	}
	if err != nil {
		e.options.Log.Emit(logger.EnrolmentUnanswered, "member", e.settings.Member.Name, "address", address, "error", err)
		return false // the next one may answer
	}
	return answer.Taken
}

func (e *Enroller) call(ctx context.Context, address string) (*messenger.JoinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answer, err := linker.Call[messenger.JoinQuery, messenger.JoinAnswer](
		ctx, e.options.Opener, address, messenger.KindJoin, &messenger.JoinQuery{Member: e.settings.Member})
	if err != nil {
		return nil, Error.New("asking %s: %w", address, err)
	}
	e.learn(answer.Members)
	return answer, nil
}

// addresses lists where to ask: what the group named last, then the seeds.
func (e *Enroller) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.known)
}

func (e *Enroller) learn(members []messenger.Member) {
	if len(members) == 0 {
		return
	}
	known := make([]string, 0, len(members)+len(e.settings.Seeds))
	for _, member := range members {
		known = append(known, member.Address)
	}
	for _, seed := range e.settings.Seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = known
}

// Handle serves a stream of KindJoin.
func (e *Enroller) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) error {
	return linker.Answer(stream, func(query *messenger.JoinQuery) (*messenger.JoinAnswer, error) {
		return e.answer(ctx, query.Member), nil
	})
}

// answer starts the next step for a replica that asks, at the leader.
func (e *Enroller) answer(ctx context.Context, joiner messenger.Member) *messenger.JoinAnswer {
	standing := e.options.Replica.Standing()
	answer := &messenger.JoinAnswer{Leader: standing.Leader.Address, Members: standing.Members}
	if !standing.Leading || !standing.Confirmed || joiner.Name == "" || joiner.Address == "" {
		return answer
	}
	answer.Taken = true
	if !e.changes.TryLock() {
		return answer
	}
	go func() {
		defer e.changes.Unlock()
		e.enrol(context.WithoutCancel(ctx), joiner)
	}()
	return answer
}

// enrol takes steps until the joiner is a member or has to wait.
func (e *Enroller) enrol(ctx context.Context, joiner messenger.Member) {
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	for {
		step := Decide(e.group(), joiner)
		var err error
		switch {
		case step.Remove != "":
			_, err = e.options.Replica.RemoveMember(ctx, step.Remove)
			e.options.Log.Emit(logger.MemberDropped, "member", step.Remove, "joiner", joiner.Name, "error", err)
		case step.Add:
			_, err = e.options.Replica.AddMember(ctx, joiner)
			e.options.Log.Emit(logger.MemberEnrolled, "member", joiner.Name, "address", joiner.Address, "error", err)
		default:
			return
		}
		if err != nil || step.Add {
			return
		}
		// The removal is in force at the next standing.
		if !pause(ctx, askInterval) {
			return
		}
	}
}

func pause(ctx context.Context, interval time.Duration) bool {
	select {
	case <-time.After(interval):
		return true
	case <-ctx.Done():
		return false
	}
}

// group is the group as this replica sees it while it leads.
func (e *Enroller) group() Group {
	standing := e.options.Replica.Standing()
	now := timer.Now()
	group := Group{
		Leader:  standing.Name,
		Members: standing.Members,
		Silence: make(map[string]time.Duration, len(standing.Progress)),
		Target:  2*e.settings.Losses + 1,
	}
	for name, progress := range standing.Progress {
		since := progress.Heard
		if since.IsZero() || now.Since(since) > now.Since(standing.Since) {
			since = standing.Since
		}
		group.Silence[name] = now.Since(since)
	}
	return group
}
