// Package executor runs requests at their owner: it checks the grant and the
// lease, admits and records the request, sends it to the backend server and reports
// its outcome. A request that may have run is never reported as refused.
//
// # Usage
//
//	e := executor.New(executor.Options{Locator: locator, Backend: backend, ...})
//	answer := e.Execute(ctx, &request, body)
//	defer answer.Close()
package executor

import (
	"context"
	"io"

	"marigoldhill/kernel/messenger"
)

// Answer is the answer to one request.
type Answer struct {
	Response messenger.Response
	// Body is the body of the backend server's answer when the outcome is
	// done, else nil. A read error other than io.EOF means that the body is
	// truncated.
	Body io.ReadCloser
}

// Close closes the body, if there is one.
func (a Answer) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// Runner runs requests as the owner of their keys. The entry side of a router
// calls it for keys that the same router owns, and for those that other routers
// forward to it.
type Runner interface {
	// Execute runs one request. When ctx ends, the request to the backend server
	// is canceled.
	Execute(ctx context.Context, request *messenger.Request, body io.Reader) Answer
	// Outcome returns the outcome of a request; see messenger.OutcomeResponse.
	Outcome(ctx context.Context, query *messenger.OutcomeQuery) messenger.OutcomeResponse
}
