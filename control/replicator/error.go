package replicator

import (
	"github.com/zeebo/errs"

	"marigoldhill/control/elector"
)

// Error is the class of all errors of this package.
var Error = errs.Class("replicator")

// Errors that callers tell apart; the returned ones wrap them.
var (
	// ErrNotLeader means that nothing was proposed, since this replica does not
	// lead; Standing may know who does.
	ErrNotLeader = elector.ErrNotLeader
	// ErrUnknownResult means that the proposal may or may not be committed.
	ErrUnknownResult = errs.New("result of the proposal is unknown")
	// ErrBusy means that another change of the group is under way.
	ErrBusy = elector.ErrBusy
	// ErrMember means that the name is already, or not, that of a member.
	ErrMember = elector.ErrMember
	// ErrCatchUp means that a new member did not catch up and was not added.
	ErrCatchUp = elector.ErrCatchUp
	// ErrTransfer means that leadership was not transferred in time.
	ErrTransfer = elector.ErrTransfer
	// ErrStopped means that the replica has stopped; nothing was proposed.
	ErrStopped = errs.New("replica has stopped")
)
