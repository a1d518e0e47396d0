package replicator

import (
	"context"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// input is a value that the control goroutine receives: one of the types below.
type input interface {
	input()
}

// messageInput is a message from another replica that listens at address. evacuates
// reports whether that replica applies evacuations.
type messageInput struct {
	address   string
	evacuates bool
	message   elector.Message
}

// proposeInput is a command whose proposer waits for the outcome until ctx ends.
type proposeInput struct {
	ctx     context.Context
	command []byte
	reply   chan outcome
}

// queryInput is a query to the machine.
type queryInput struct {
	query any
	reply chan any
}

// addInput, removeInput and transferInput request membership changes and
// leadership transfers.
type addInput struct {
	member messenger.Member
	reply  chan outcome
}

// cancelInput gives up the addition of a member that has not caught up.
type cancelInput struct {
	name string
}

// lostDiskInput reports that a member has lost its disk.
type lostDiskInput struct {
	name string
}

// presentInput reports that a member runs with its disk.
type presentInput struct {
	name string
}

func (presentInput) input() {}

type removeInput struct {
	name  string
	reply chan outcome
}

type transferInput struct {
	name  string
	reply chan outcome
}

func (messageInput) input()  {}
func (proposeInput) input()  {}
func (queryInput) input()    {}
func (addInput) input()      {}
func (cancelInput) input()   {}
func (lostDiskInput) input() {}
func (removeInput) input()   {}
func (transferInput) input() {}

// outcome is the applied proposal, or the error of one that was not applied.
type outcome struct {
	proposal Proposal
	err      error
}

// handleInput handles one input. Commands are batched; before any other input the
// pending batch is flushed, so that inputs take effect in order.
func (r *Replica) handleInput(next input) {
	if propose, ok := next.(proposeInput); ok {
		if propose.ctx.Err() != nil {
			// The proposer has given up and may have sent the command again: applied
			// late, this copy could undo a newer one.
			propose.reply <- outcome{err: Error.New("nothing was proposed: %w", context.Cause(propose.ctx))}
			return
		}
		id := r.waiters.add(propose.reply)
		r.commands = append(r.commands, elector.Command{ID: id, Data: propose.command})
		return
	}
	r.flushCommands()
	switch next := next.(type) {
	case messageInput:
		r.addresses[next.message.From] = next.address
		r.outdated[next.message.From] = !next.evacuates
		refusals := r.step(elector.Received{Message: next.message})
		r.leaderless.recordMessage(timer.Now(), next.message.From, refusals)
	case queryInput:
		r.query(next)
	case addInput:
		r.addresses[next.member.Name] = next.member.Address
		r.snapshotForJoiner()
		r.step(elector.AddMember{ID: r.waiters.add(next.reply), Member: next.member})
	case cancelInput:
		r.step(elector.CancelAddition{Name: next.name})
	case lostDiskInput:
		r.step(elector.DiskLost{Name: next.name})
	case presentInput:
		r.step(elector.MemberPresent{Name: next.name})
	case removeInput:
		r.step(elector.RemoveMember{ID: r.waiters.add(next.reply), Name: next.name})
	case transferInput:
		r.step(elector.Transfer{ID: r.waiters.add(next.reply), Name: next.name})
	}
}

func (r *Replica) query(request queryInput) {
	now := timer.Now()
	response, commands := r.options.Machine.Query(now, r.raftStatusAt(now), request.query)
	request.reply <- response
	r.proposeInternal(commands)
}

// submit sends an input to the control goroutine.
func (r *Replica) submit(ctx context.Context, next input) error {
	select {
	case r.inputs <- next:
		return nil
	case <-ctx.Done():
		return Error.New("nothing was proposed: %w", context.Cause(ctx))
	case <-r.done:
		return Error.New("nothing was proposed: %w", ErrStopped)
	}
}

// await submits an input and waits for its outcome.
func (r *Replica) await(ctx context.Context, next input, reply chan outcome) (Proposal, error) {
	if err := r.submit(ctx, next); err != nil {
		return Proposal{}, err
	}
	select {
	case result := <-reply:
		return result.proposal, result.err
	case <-ctx.Done():
		return Proposal{}, Error.New("%w: %w", ErrUnknownResult, context.Cause(ctx))
	case <-r.done:
	}
	select {
	case result := <-reply:
		return result.proposal, result.err
	default:
		return Proposal{}, Error.New("%w: %w", ErrUnknownResult, ErrStopped)
	}
}

// Propose replicates a command and waits until this replica has applied it.
// ErrNotLeader and ErrStopped mean that it was not proposed; after
// ErrUnknownResult it may still be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) (Proposal, error) {
	reply := make(chan outcome, 1)
	return r.await(ctx, proposeInput{ctx: ctx, command: command, reply: reply}, reply)
}

// Query passes a query to the machine and returns its response.
func (r *Replica) Query(ctx context.Context, query any) (any, error) {
	reply := make(chan any, 1)
	if err := r.submit(ctx, queryInput{query: query, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return nil, Error.New("waiting for an answer: %w", context.Cause(ctx))
	case <-r.done:
		return nil, Error.New("waiting for an answer: %w", ErrStopped)
	}
}

// AddMember adds a voting member once it has caught up with the log, and returns
// the log index of the change. The addition goes on after ctx has ended; see CancelAddition.
func (r *Replica) AddMember(ctx context.Context, member messenger.Member) (uint64, error) {
	reply := make(chan outcome, 1)
	proposal, err := r.await(ctx, addInput{member: member, reply: reply}, reply)
	return proposal.Index, err
}

// CancelAddition gives up the addition of a member that has not caught up, so that
// another change can start.
func (r *Replica) CancelAddition(ctx context.Context, name string) error {
	return r.submit(ctx, cancelInput{name: name})
}

// ReportLostDisk reports that a member has lost its disk: a replica with another identity requests
// to join from its address.
func (r *Replica) ReportLostDisk(ctx context.Context, name string) error {
	return r.submit(ctx, lostDiskInput{name: name})
}

// ReportPresence reports that a member runs with its disk.
func (r *Replica) ReportPresence(ctx context.Context, name string) error {
	return r.submit(ctx, presentInput{name: name})
}

// RemoveMember removes a member and returns the log index of the change. If the
// member is the leader itself, it transfers leadership instead and returns
// ErrNotLeader, so that the caller retries at the new leader.
func (r *Replica) RemoveMember(ctx context.Context, name string) (uint64, error) {
	if name == r.options.Member.Name && r.RaftStatus().Leading {
		if err := r.TransferAny(ctx); err != nil {
			return 0, err
		}
		return 0, Error.New("leadership was transferred first: %w", ErrNotLeader)
	}
	reply := make(chan outcome, 1)
	proposal, err := r.await(ctx, removeInput{name: name, reply: reply}, reply)
	return proposal.Index, err
}

// Transfer transfers leadership to the named member. It returns once this replica
// is no longer the leader.
func (r *Replica) Transfer(ctx context.Context, name string) error {
	reply := make(chan outcome, 1)
	_, err := r.await(ctx, transferInput{name: name, reply: reply}, reply)
	return err
}

// TransferAny transfers leadership to the member with the highest match index
// among those that responded recently. It does nothing if this replica is not the
// leader or no other member responded.
func (r *Replica) TransferAny(ctx context.Context) error {
	raftStatus := r.RaftStatus()
	target := transferTarget(raftStatus, timer.Now())
	if !raftStatus.Leading || target == "" {
		return nil
	}
	return r.Transfer(ctx, target)
}

// transferTarget returns the name of the member with the highest match index among
// those that responded within the shortest election timeout, or an empty string.
func transferTarget(raftStatus RaftStatus, now timer.Instant) string {
	best, match := "", uint64(0)
	for _, member := range raftStatus.Members {
		progress := raftStatus.Progress[member.Name]
		if member.Name == raftStatus.Name || now.Since(progress.LastContact) >= messenger.MinElectionTimeout {
			continue
		}
		if best == "" || progress.Match > match {
			best, match = member.Name, progress.Match
		}
	}
	return best
}
