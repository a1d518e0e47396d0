// Package proposer commits the changes of operators to the replicated log.
//
// A change is proposed only by a leader that a majority has just confirmed, in a group
// that is large enough to keep it when [Options.ToleratedLosses] disks fail at once, and
// only while the client that sent it still waits. It is acknowledged once it is
// committed and applied.
//
// # Usage
//
//	changes := proposer.New(replica, proposer.Options{ToleratedLosses: 2})
//	committed, err := changes.Commit(ctx, &assigner.Command{Evacuate: &assigner.Evacuate{...}})
//	var moved *proposer.NotLeaderError
//	if errors.As(err, &moved) { ... } // retry at moved.Leader.Operator
package proposer

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/control/assigner"
	"marigoldhill/control/enroller"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("proposer")

// ErrUnavailable means that the group has no confirmed leader, has too few members,
// or failed to complete the operation. It leaves open whether a change was applied.
// It is safe to retry the change.
var ErrUnavailable = errs.New("control group is not available")

// InvalidError is returned for a change that was rejected because of an invalid field.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

// NotLeaderError is returned when another replica is the leader.
type NotLeaderError struct {
	Leader messenger.Member
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return "replica " + e.Leader.Name + " leads"
}

// Replica is the subset of the methods of [replicator.Replica] that a Proposer needs.
type Replica interface {
	Propose(ctx context.Context, command []byte) (replicator.Proposal, error)
	RaftStatus() replicator.RaftStatus
}

// Options configure a Proposer.
type Options struct {
	// ToleratedLosses is the number of disks that may fail at once without the loss
	// of an acknowledged change.
	ToleratedLosses int
}

// Proposer commits changes through a replica. It is safe for concurrent use.
type Proposer struct {
	replica Replica
	options Options
}

// New returns a Proposer that proposes changes to replica.
func New(replica Replica, options Options) *Proposer {
	return &Proposer{replica: replica, options: options}
}

// Committed is a change that was committed and applied.
type Committed struct {
	// Index is its position in the log.
	Index  uint64
	Result assigner.Result
}

// Commit proposes a command with the present time and returns its result once it is
// committed and applied. It proposes nothing if ctx has ended. Verdicts other than
// invalid values are part of the result.
func (p *Proposer) Commit(ctx context.Context, command *assigner.Command) (Committed, error) {
	if command.Evacuate != nil {
		awaitDisconnect(ctx)
	}
	if err := p.CheckLeader(); err != nil {
		return Committed{}, err
	}
	if command.Evacuate != nil && command.Evacuate.On {
		if err := p.checkVersions(); err != nil {
			return Committed{}, err
		}
	}
	command.Time = time.Now().UnixMilli()
	data, err := assigner.Encode(command)
	if err != nil {
		return Committed{}, Error.New("encoding a change: %w", err)
	}
	if ctx.Err() != nil {
		return Committed{}, Error.New("%w: the client has gone: %w", ErrUnavailable, context.Cause(ctx))
	}
	proposal, err := p.replica.Propose(ctx, data)
	if err != nil {
		if errors.Is(err, replicator.ErrNotLeader) {
			return Committed{}, p.NotLeaderError()
		}
		return Committed{}, Error.New("committing a change: %w: %w", ErrUnavailable, err)
	}
	result, ok := proposal.Result.(assigner.Result)
	if !ok {
		return Committed{}, Error.New("result of a change is a %T", proposal.Result)
	}
	if result.Verdict == assigner.VerdictInvalid {
		return Committed{}, &InvalidError{Field: result.Field, Reason: result.Reason}
	}
	return Committed{Index: proposal.Index, Result: result}, nil
}

// disconnectWait is the time in which a server notices that the client of a call has
// disconnected, if the end of its connection arrived along with the call.
const disconnectWait = 20 * time.Millisecond

// awaitDisconnect waits until ctx has ended or disconnectWait has passed. A call that was
// delayed on its way, or in the listen queue of a process that was stopped, arrives
// together with the end of its connection. Its handler starts before ctx has ended.
func awaitDisconnect(ctx context.Context) {
	expiry := time.NewTimer(disconnectWait)
	defer expiry.Stop()
	select {
	case <-ctx.Done():
	case <-expiry.C:
	}
}

// CheckLeader returns an error unless this replica is a confirmed leader of a group
// that is large enough for [Options.ToleratedLosses].
func (p *Proposer) CheckLeader() error {
	raftStatus := p.replica.RaftStatus()
	if !raftStatus.Leading {
		return p.NotLeaderError()
	}
	stored := len(raftStatus.Members) - len(raftStatus.Lost)
	if !raftStatus.Confirmed || !enroller.ToleratesLosses(stored, p.options.ToleratedLosses) {
		return Error.New("%w: %d members with disks, confirmed %t", ErrUnavailable, stored, raftStatus.Confirmed)
	}
	return nil
}

// checkVersions returns an error if a member is known to run a version that does not
// apply evacuations: its state would differ from then on. A member that was not heard of
// does not block an order. Withdrawals are not checked, as a domain that stays evacuated
// does more harm.
func (p *Proposer) checkVersions() error {
	raftStatus := p.replica.RaftStatus()
	for _, member := range raftStatus.Members {
		if raftStatus.Progress[member.Name].Outdated {
			return Error.New("%w: replica %s runs a version without evacuations", ErrUnavailable, member.Name)
		}
	}
	return nil
}

// NotLeaderError returns a [NotLeaderError], or [ErrUnavailable] if no other replica
// is known to be the leader.
func (p *Proposer) NotLeaderError() error {
	raftStatus := p.replica.RaftStatus()
	if raftStatus.Leader.Name == "" || raftStatus.Leader.Name == raftStatus.Name {
		return Error.New("%w: no leader is known", ErrUnavailable)
	}
	return &NotLeaderError{Leader: raftStatus.Leader}
}
