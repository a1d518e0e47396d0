package main

import (
	"context"
	"fmt"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/requester"
)

// progressInterval is the time between two looks at the progress of a change.
const progressInterval = 200 * time.Millisecond

// change makes a change and waits until it is in force everywhere.
func (e *environment) change(ctx context.Context, subject string, change requester.Change) error {
	revision, err := e.commit(ctx, subject, change)
	if err != nil || e.wait <= 0 || revision == 0 {
		return err
	}
	return e.follow(ctx, revision)
}

// commit makes a change and returns its revision. It is enough for changes of
// the control group, which routers have no part in.
func (e *environment) commit(ctx context.Context, subject string, change requester.Change) (uint64, error) {
	accepted, err := e.requester.Change(ctx, change)
	if err != nil {
		return 0, Error.New("%s: %w", subject, err)
	}
	e.printer.Note("%s: accepted as revision %d", subject, accepted.Revision)
	return accepted.Revision, nil
}

// follow shows how a revision comes into force on the routers.
func (e *environment) follow(ctx context.Context, revision uint64) error {
	started := time.Now()
	for {
		path := fmt.Sprintf("/v1/progress?revision=%d", revision)
		got, err := requester.Get[messenger.Progress](ctx, e.requester, path)
		if err != nil {
			return Error.New("following revision %d: %w", revision, err)
		}
		progress := got.Value
		if progress.Applied >= progress.Sessions {
			e.printer.Renew("")
			e.printer.Note("in force on all %d routers", progress.Sessions)
			return nil
		}
		e.printer.Renew("in force on %d of %d routers", progress.Applied, progress.Sessions)
		if time.Since(started) > e.wait {
			e.printer.Renew("")
			return Error.New("%w: %d of %d routers have revision %d; behind: %v",
				errPending, progress.Applied, progress.Sessions, revision, progress.Behind)
		}
		select {
		case <-time.After(progressInterval):
		case <-ctx.Done():
			return Error.New("following revision %d: %w", revision, ctx.Err())
		}
	}
}
