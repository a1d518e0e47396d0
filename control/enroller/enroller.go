// Package enroller adds replicas to the control group without an operator.
//
// A replica that is not a member sends join requests to the replicas that it
// has addresses of: first the members last returned by the group, then the
// seeds of its settings. The leader enrols one replica at a time. It removes
// the former identity of a wiped replica, or a member that has been out of
// contact for long, and adds the new replica once that has caught up. [NextStep]
// makes the decisions. An enrolment gives way to the next one once its joiner is
// gone; see [Enroller.Handle].
//
// # Usage
//
//	enrolment := enroller.New(enroller.Settings{Member: member, Seeds: seeds, ToleratedLosses: 2}, enroller.Options{
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
	// joinInterval is the time between two rounds of join requests.
	joinInterval = 250 * time.Millisecond
	// joinTimeout limits a single join request.
	joinTimeout = 500 * time.Millisecond
	// changeTimeout limits the enrolment of one replica. The elector aborts the
	// addition of a joiner that makes no progress before that.
	changeTimeout = 8 * time.Second
	// joinerTimeout is the time without a join request after which a joiner gives way to
	// another one: it has missed several rounds.
	joinerTimeout = time.Second
	// maxAddresses limits the addresses for join requests.
	maxAddresses = 32
	// changeInterval is the time after which the status of the replica shows a change.
	changeInterval = 100 * time.Millisecond
)

// Settings are the identity of a replica and how it joins the group.
type Settings struct {
	Member messenger.Member
	// Seeds are addresses of replicas that may be members of the group.
	Seeds []string
	// ToleratedLosses is the number of disks that may be lost at once. The target
	// size of the group is twice that number plus one.
	ToleratedLosses int
}

// Replica is the subset of the methods of a replica that an Enroller uses.
type Replica interface {
	RaftStatus() replicator.RaftStatus
	AddMember(ctx context.Context, member messenger.Member) (uint64, error)
	RemoveMember(ctx context.Context, name string) (uint64, error)
	CancelAddition(ctx context.Context, name string) error
	ReportLostDisk(ctx context.Context, name string) error
	ReportPresence(ctx context.Context, name string) error
}

// Options are the dependencies of an Enroller.
type Options struct {
	Replica Replica
	Opener  linker.Opener
	Log     *logger.Log
}

// Enroller sends join requests and, at the leader, handles them. Its methods
// are safe for concurrent use.
type Enroller struct {
	settings Settings
	options  Options

	mu        sync.Mutex
	addresses []string
	contacts  contacts
	// current is the enrolment in progress at the leader, or nil.
	current *enrolment
}

// New returns an Enroller.
func New(settings Settings, options Options) *Enroller {
	return &Enroller{settings: settings, options: options, addresses: slices.Clone(settings.Seeds)}
}

// Run sends join requests while this replica is not a member, and polls the members while it is
// one, until ctx is done.
func (e *Enroller) Run(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	polledAt := time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		switch {
		case !e.isMember():
			e.watchMembers()
			e.requestJoin(ctx)
		case time.Since(polledAt) >= pollInterval:
			polledAt = time.Now()
			e.poll(ctx, e.watchMembers())
		}
	}
}

// Announce sends join requests until ctx is done. It is for a replica that has not started yet,
// and needs no Replica.
func (e *Enroller) Announce(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.requestJoin(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// isMember reports whether this replica is a member according to its own state.
// A replica without contact to a leader may have been removed meanwhile, so it
// counts as no member and sends join requests too.
func (e *Enroller) isMember() bool {
	raftStatus := e.options.Replica.RaftStatus()
	return raftStatus.Leader.Name != "" && slices.ContainsFunc(raftStatus.Members, func(m messenger.Member) bool {
		return m.Name == e.settings.Member.Name
	})
}

// requestJoin sends a join request to all replicas until the leader was reached. They are
// sent at the same time, since some addresses may not answer.
func (e *Enroller) requestJoin(ctx context.Context) {
	ctx, reached := context.WithCancel(ctx)
	defer reached()
	var requests sync.WaitGroup
	addresses := e.joinAddresses()
	for _, address := range addresses {
		if address == e.settings.Member.Address {
			continue
		}
		requests.Go(func() {
			if e.requestJoinVia(ctx, address, addresses) {
				reached()
			}
		})
	}
	requests.Wait()
}

// requestJoinVia sends a join request to an address, and then to the leader that the
// response names unless it is one of the addresses that are asked too. It reports whether the
// leader was reached.
func (e *Enroller) requestJoinVia(ctx context.Context, address string, asked []string) bool {
	response, err := e.sendJoin(ctx, address)
	if err == nil && !response.Taken && response.Leader != "" && !slices.Contains(asked, response.Leader) {
		response, err = e.sendJoin(ctx, response.Leader)
	}
	if err != nil {
		if ctx.Err() == nil {
			e.options.Log.Emit(logger.JoinFailed, "member", e.settings.Member.Name, "address", address, "error", err)
		}
		return false
	}
	return response.Taken
}

func (e *Enroller) sendJoin(ctx context.Context, address string) (*messenger.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	response, err := linker.Call[messenger.JoinQuery, messenger.JoinResponse](
		ctx, e.options.Opener, address, messenger.KindJoin, &messenger.JoinQuery{Member: e.settings.Member})
	if err != nil {
		return nil, Error.New("join request to %s: %w", address, err)
	}
	e.contacts.record(timer.Now(), address)
	e.updateAddresses(response.Members)
	return response, nil
}

// joinAddresses returns the addresses for join requests: the members last
// returned by the group, then the seeds.
func (e *Enroller) joinAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.addresses)
}

// AddAddress adds an address for join requests: a replica there sends messages to another identity
// at the address of this one, and so is or was a member.
func (e *Enroller) AddAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.addresses) < maxAddresses && !slices.Contains(e.addresses, address) {
		e.addresses = append(e.addresses, address)
	}
}

func (e *Enroller) updateAddresses(members []messenger.Member) {
	if len(members) == 0 {
		return
	}
	addresses := make([]string, 0, len(members)+len(e.settings.Seeds))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range e.settings.Seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addresses = addresses
}

// Handle serves a stream of messenger.KindJoin. A joiner whose request arrives during the
// enrolment of another one waits, unless that one is gone: the new joiner has its address, and so
// has replaced it, or it has sent no request for joinerTimeout.
func (e *Enroller) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) error {
	return linker.Respond(stream, func(query *messenger.JoinQuery) (*messenger.JoinResponse, error) {
		return e.answer(ctx, query.Member), nil
	})
}

// answer handles a join request and, at the leader, starts the enrolment.
func (e *Enroller) answer(ctx context.Context, joiner messenger.Member) *messenger.JoinResponse {
	raftStatus := e.options.Replica.RaftStatus()
	e.reportLostDisks(ctx, raftStatus, joiner)
	answer := &messenger.JoinResponse{Leader: raftStatus.Leader.Address, Members: raftStatus.Members}
	if !raftStatus.Leading || !raftStatus.Confirmed || joiner.Name == "" || joiner.Address == "" || ctx.Err() != nil {
		return answer
	}
	answer.Taken = true
	e.startEnrolment(context.WithoutCancel(ctx), raftStatus.Term, joiner)
	return answer
}

// reportLostDisks reports the members that had the joiner's address before. The joiner has another
// identity, so they have lost their disks. A request under the name of a member shows that it has not.
func (e *Enroller) reportLostDisks(ctx context.Context, raftStatus replicator.RaftStatus, joiner messenger.Member) {
	if slices.ContainsFunc(raftStatus.InForce, func(m messenger.Member) bool { return m.Name == joiner.Name }) {
		e.contacts.record(timer.Now(), joiner.Address)
		_ = e.options.Replica.ReportPresence(ctx, joiner.Name)
		return
	}
	for _, member := range raftStatus.InForce {
		if joiner.Name != "" && member.Address == joiner.Address {
			// It fails only at a replica that stops.
			_ = e.options.Replica.ReportLostDisk(ctx, member.Name)
		}
	}
}

func sleep(ctx context.Context, interval time.Duration) bool {
	select {
	case <-time.After(interval):
		return true
	case <-ctx.Done():
		return false
	}
}

// group returns the state of the group as seen by this replica while it leads. It uses
// the monotonic clock: a wall clock that is set forward makes no member unreachable.
func (e *Enroller) group() Group {
	raftStatus := e.options.Replica.RaftStatus()
	now := timer.Now()
	addresses := make(map[string]string, len(raftStatus.Members))
	for _, member := range raftStatus.Members {
		addresses[member.Name] = member.Address
	}
	group := Group{
		Leader:       raftStatus.Name,
		Members:      raftStatus.Members,
		SinceContact: make(map[string]time.Duration, len(raftStatus.Progress)),
		Lost:         raftStatus.Lost,
		TargetSize:   2*e.settings.ToleratedLosses + 1,
		MinSize:      e.settings.ToleratedLosses + 1,
	}
	for name, progress := range raftStatus.Progress {
		lastContact := progress.LastContact
		if lastContact.IsZero() || now.SinceMonotonic(lastContact) > now.SinceMonotonic(raftStatus.Since) {
			lastContact = raftStatus.Since
		}
		group.SinceContact[name] = now.SinceMonotonic(lastContact)
		// A member that has not responded since the election may have been silent before it, too.
		// One that waits for its disk requests to join, and is not replaced.
		if silence, ok := e.contacts.silence(now, addresses[name]); ok && (lastContact == raftStatus.Since || silence < group.SinceContact[name]) {
			group.SinceContact[name] = silence
		}
	}
	return group
}
