package replicator

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("replicator")

// Errors that callers tell apart; the returned ones wrap them.
var (
	// ErrNotLeader means that the replica does not lead and that the command
	// was not and will not be committed.
	ErrNotLeader = errs.New("replica is not the leader")
	// ErrUnknownResult means that the command may or may not be committed.
	ErrUnknownResult = errs.New("result of the command is unknown")
)
