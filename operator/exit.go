package main

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/parser"
	"marigoldhill/operator/requester"
)

// Exit codes, documented in man/marigold.1.md.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = parser.ExitInvalidSettings
	exitConflict    = 3
	exitNotFound    = 4
	exitUnreachable = 5
	exitDiffers     = 6
	exitPending     = 7
)

var (
	errDiffers = errs.New("the file and the cluster differ")
	// errPending means that a change is committed but was not applied by all routers
	// in time.
	errPending = errs.New("the change is accepted but not yet in force everywhere")
)

// reportError prints err and, after a conflict, the current value. It returns the exit
// code for err. A nil error and an interrupt count as success.
func (e *environment) reportError(err error) int {
	if err == nil || errors.Is(err, context.Canceled) {
		return exitOK
	}
	code := exitCode(err)
	if code != exitDiffers {
		e.printer.PrintError(err)
	}
	var refusal *requester.Refusal
	if errors.As(err, &refusal) && refusal.Problem.Current != nil {
		e.printer.Note("the newest state, of revision %d:", refusal.Problem.Revision)
		e.printer.Current(refusal.Problem.Current)
	}
	return code
}

func exitCode(err error) int {
	var refusal *requester.Refusal
	var fileError *parser.FileError
	switch {
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.Is(err, errPending):
		return exitPending
	case errors.Is(err, requester.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &fileError):
		return exitUsage
	case !errors.As(err, &refusal):
		return exitFailed
	case refusal.IsConflict():
		return exitConflict
	case refusal.IsNotFound():
		return exitNotFound
	case refusal.IsInvalid():
		return exitUsage
	}
	return exitFailed
}
