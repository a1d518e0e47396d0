// Package dispatcher sends requests to the backend server beside the router and
// tells truthfully whether one may have run.
//
// A request counts as not run only when no byte of it was handed to a
// connection, or when the backend server says so by Marigold-Refused. Everything
// else that ends without a whole answer is unknown. The HTTP client of the
// standard library resends some requests by itself when a reused connection
// breaks, among them those with an Idempotency-Key; the dispatcher makes that
// impossible by a body that cannot be replayed.
//
// # Usage
//
//	backend := dispatcher.New(network)
//	result := backend.Send(ctx, &dispatcher.Order{Server: row, Request: request, Fence: 7, ...})
//	switch result.Outcome { ... }
package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatcher")

const (
	// maxIdle is how many idle connections to the backend server are kept.
	maxIdle = 128
	// idleTime is how long an idle connection is kept.
	idleTime = 30 * time.Second
	// maxHeader is the largest response header in bytes.
	maxHeader = 64 << 10
)

// Cause is what ended a request without a whole answer, as evidence on the
// state of the backend server.
type Cause uint8

// The causes.
const (
	// CauseNone is for requests that were answered.
	CauseNone Cause = iota
	// CauseConnect means that no connection was made.
	CauseConnect
	// CauseBroken means that the connection ended while the request ran.
	CauseBroken
	// CauseCanceled means that the context of the request ended.
	CauseCanceled
)

// Order is one request for the backend server.
type Order struct {
	Server  *messenger.ServerRow
	Request *messenger.Request
	Body    io.Reader
	Shard   uint32
	Fence   uint64
	// Deadline is the wall-clock time after which it must not be started.
	Deadline time.Time
}

// Result is what became of an Order.
type Result struct {
	Outcome messenger.Outcome
	Reason  messenger.Reason
	Cause   Cause
	// Response is the head of the answer, when done.
	Response messenger.Response
	// Body must be closed, when done.
	Body io.ReadCloser
}

// Dispatcher sends requests to backend servers. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	transport *http.Transport
}

// New returns a Dispatcher that dials through network.
func New(network networker.Network) *Dispatcher {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &watched{Conn: conn}, nil
	}
	return &Dispatcher{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: maxHeader,
	}}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.transport.CloseIdleConnections()
}

// Send sends one request and waits for the head of the answer.
func (d *Dispatcher) Send(ctx context.Context, order *Order) Result {
	var used usage
	trace := &httptrace.ClientTrace{GotConn: used.add}
	request, err := build(httptrace.WithClientTrace(ctx, trace), order)
	if err != nil {
		return refused(messenger.ReasonMalformed, CauseNone)
	}
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return d.failure(ctx, &used, err)
	}
	return answer(response)
}

// failure tells what a request without an answer has become.
func (d *Dispatcher) failure(ctx context.Context, used *usage, err error) Result {
	if used.seal() {
		return unknown(ctx, err)
	}
	if ctx.Err() != nil {
		return refused(canceledReason(ctx), CauseCanceled)
	}
	return refused(messenger.ReasonDown, CauseConnect)
}

func unknown(ctx context.Context, err error) Result {
	result := Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Cause: CauseBroken}
	if ctx.Err() != nil {
		result.Reason = messenger.ReasonExpired
		result.Cause = CauseCanceled
		return result
	}
	if errors.Is(err, errBody) {
		result.Reason = messenger.ReasonLost
		result.Cause = CauseCanceled
	}
	return result
}

// canceledReason is the reason of a request that its context ended before it
// was sent.
func canceledReason(ctx context.Context) messenger.Reason {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return messenger.ReasonCanceled
	}
	return messenger.ReasonDeadline
}

func refused(reason messenger.Reason, cause Cause) Result {
	return Result{Outcome: messenger.OutcomeRefused, Reason: reason, Cause: cause}
}
