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
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = parser.ExitCode
	exitConflict    = 3
	exitMissing     = 4
	exitUnreachable = 5
	exitDiffers     = 6
	exitPending     = 7
)

var (
	// errDiffers says that a file and the cluster differ.
	errDiffers = errs.New("the file and the cluster differ")
	// errPending says that a change was accepted but is not in force everywhere.
	errPending = errs.New("the change is accepted but not yet in force everywhere")
)

// finish prints an error and returns the exit code for it.
func (e *environment) finish(err error) int {
	if err == nil || errors.Is(err, context.Canceled) {
		return exitDone
	}
	code := codeOf(err)
	if code != exitDiffers {
		e.printer.Fail(err)
	}
	var refusal *requester.Refusal
	if errors.As(err, &refusal) && refusal.Problem.Current != nil {
		e.printer.Note("the newest state, of revision %d:", refusal.Problem.Revision)
		e.printer.Current(refusal.Problem.Current)
	}
	return code
}

// codeOf returns the exit code for an error.
func codeOf(err error) int {
	var refusal *requester.Refusal
	var mistake *parser.Mistake
	switch {
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.Is(err, errPending):
		return exitPending
	case errors.Is(err, requester.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &mistake):
		return exitUsage
	case !errors.As(err, &refusal):
		return exitFailed
	case refusal.IsConflict():
		return exitConflict
	case refusal.IsMissing():
		return exitMissing
	case refusal.IsInvalid():
		return exitUsage
	}
	return exitFailed
}
