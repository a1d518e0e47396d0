package replicator

import (
	"github.com/zeebo/errs"

	"marigoldhill/control/elector"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replicator")

// Errors that callers distinguish; returned errors wrap them.
var (
	// ErrNotLeader means that nothing was proposed because this replica is not
	// the leader; RaftStatus has the leader if it is known.
	ErrNotLeader = elector.ErrNotLeader
	// ErrUnknownResult means that the proposal may or may not have been committed,
	// and may still be.
	ErrUnknownResult = errs.New("result of the proposal is unknown")
	// ErrBusy means that another membership change or a leadership transfer is in
	// progress.
	ErrBusy = elector.ErrBusy
	// ErrInvalidMember means that the member to add exists already, or that the
	// member to remove or to transfer leadership to does not exist or is the leader.
	ErrInvalidMember = elector.ErrInvalidMember
	// ErrTooFewMembers means that no member can be removed.
	ErrTooFewMembers = elector.ErrTooFewMembers
	// ErrCatchUpTimeout means that a new member did not catch up with the log and was
	// not added.
	ErrCatchUpTimeout = elector.ErrCatchUpTimeout
	// ErrTransferTimeout means that leadership was not transferred in time.
	ErrTransferTimeout = elector.ErrTransferTimeout
	// ErrStopped means that the replica has stopped; nothing was proposed.
	ErrStopped = errs.New("replica has stopped")
)
