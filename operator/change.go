package main

import (
	"context"
	"fmt"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/requester"
)

const progressPollInterval = 200 * time.Millisecond

// change submits a change and waits until all routers have applied its revision, or
// until the time of the flag --wait has passed.
func (e *environment) change(ctx context.Context, subject string, change requester.Change) error {
	revision, err := e.submit(ctx, subject, change)
	if err != nil || e.wait <= 0 || revision == 0 {
		return err
	}
	return e.waitForRevision(ctx, revision)
}

// submit submits a change and returns its revision. The member commands call it
// directly, because routers do not have to apply membership changes.
func (e *environment) submit(ctx context.Context, subject string, change requester.Change) (uint64, error) {
	accepted, err := e.requester.Change(ctx, change)
	if err != nil {
		return 0, Error.New("%s: %w", subject, err)
	}
	e.printer.Note("%s: accepted as revision %d", subject, accepted.Revision)
	return accepted.Revision, nil
}

// waitForRevision polls and shows the progress of a revision until all routers have
// applied it. It returns errPending if that takes longer than the flag --wait allows.
func (e *environment) waitForRevision(ctx context.Context, revision uint64) error {
	started := time.Now()
	for {
		path := fmt.Sprintf("/v1/progress?revision=%d", revision)
		response, err := requester.Get[messenger.Progress](ctx, e.requester, path)
		if err != nil {
			return Error.New("waiting for revision %d: %w", revision, err)
		}
		progress := response.Value
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
		case <-time.After(progressPollInterval):
		case <-ctx.Done():
			return Error.New("waiting for revision %d: %w", revision, ctx.Err())
		}
	}
}
