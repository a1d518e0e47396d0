// Package dispatcher sends requests to the backend server beside the router and
// reports whether a request may have run. Package executor uses it in sharded mode; in
// routed mode package relayer uses package requester, by default with the [HeaderCodec]
// of this package.
//
// A request counts as not run only if no byte of it was handed to a connection, or
// if the backend server reports so with Marigold-Refused. The outcome of every other
// request without a complete response is unknown. The HTTP client of the standard
// library resends some requests automatically when a reused connection breaks, among
// them those with an Idempotency-Key; the dispatcher prevents this with a body that
// cannot be replayed.
//
// Each attempt of a request carries its own number, and a server that returns it in its
// responses is sent many requests over one connection: a response with another number, such
// as a late copy of an earlier one, is recognized. A server that does not is sent one request over each
// connection, so that nothing late can arrive on a connection in use.
//
// # Usage
//
//	backend := dispatcher.New(network)
//	result := backend.Send(ctx, &dispatcher.ServerRequest{Server: row, Request: request, Fence: 7, ...})
//	switch result.Outcome { ... }
package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/sanitizer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatcher")

const (
	// maxIdleConns is the maximum number of idle connections to the backend server.
	maxIdleConns = 128
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
)

// Cause is why a request ended without a response, as evidence on the state of the
// backend server.
type Cause uint8

const (
	// CauseNone means that the backend server answered.
	CauseNone Cause = iota
	// CauseConnect means that no connection was established.
	CauseConnect
	// CauseBroken means that the connection broke after bytes of the request may have
	// been sent.
	CauseBroken
	// CauseCanceled means that the context of the request ended, or that reading the
	// caller's body failed.
	CauseCanceled
)

// ServerRequest is a request to send to the backend server.
type ServerRequest struct {
	Server  *messenger.ServerRow
	Request *messenger.Request
	Body    io.Reader
	Shard   uint32
	Fence   uint64
	// Deadline is the wall-clock time after which the request must not be started.
	Deadline time.Time
}

// Result is the result of a ServerRequest.
type Result struct {
	Outcome messenger.Outcome
	Reason  messenger.Reason
	Cause   Cause
	// Response is the header of the response, set when Outcome is done.
	Response messenger.Response
	// Body is set when Outcome is done and must be closed.
	Body io.ReadCloser
}

// Dispatcher sends requests to backend servers. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	transport *http.Transport
	// numbering is set while the server returns the numbers of requests.
	numbering atomic.Bool
}

// New returns a Dispatcher that dials through network.
func New(network networker.Network) *Dispatcher {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	return &Dispatcher{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.transport.CloseIdleConnections()
}

// Send sends one request and waits for the header of the response.
func (d *Dispatcher) Send(ctx context.Context, serverRequest *ServerRequest) Result {
	var conns usedConns
	trace := &httptrace.ClientTrace{GotConn: conns.add}
	request, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), serverRequest)
	if err != nil {
		return refusedResult(messenger.ReasonMalformed, CauseNone)
	}
	request.Close = !d.numbering.Load()
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return d.failedResult(ctx, &conns, err)
	}
	if sanitizer.CheckResponse(response) != nil || !d.belongsTo(response, attemptNumber(serverRequest.Request), request.Close) {
		conns.close()
		return Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonTruncated, Cause: CauseNone}
	}
	return responseResult(response)
}

// belongsTo reports whether a response belongs to the request with a number. It takes a
// response without a number only from a connection that served no other request.
func (d *Dispatcher) belongsTo(response *http.Response, number string, soleRequest bool) bool {
	returned := response.Header.Get(messenger.HeaderRequestNumber)
	switch {
	case returned == "" || number == "":
		d.numbering.Store(false)
		return soleRequest
	case returned != number:
		return false
	}
	d.numbering.Store(true)
	return true
}

// failedResult returns the result of a request without a response.
func (d *Dispatcher) failedResult(ctx context.Context, conns *usedConns, err error) Result {
	if conns.blockWrites() {
		return unknownResult(ctx, err)
	}
	if ctx.Err() != nil {
		return refusedResult(canceledReason(ctx), CauseCanceled)
	}
	return refusedResult(messenger.ReasonDown, CauseConnect)
}

func unknownResult(ctx context.Context, err error) Result {
	result := Result{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCrashed, Cause: CauseBroken}
	if ctx.Err() != nil {
		result.Reason = messenger.ReasonExpired
		result.Cause = CauseCanceled
		return result
	}
	if errors.Is(err, errReadBody) {
		result.Reason = messenger.ReasonLost
		result.Cause = CauseCanceled
	}
	return result
}

// canceledReason returns the reason for a request whose context ended before the
// request was sent.
func canceledReason(ctx context.Context) messenger.Reason {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return messenger.ReasonCanceled
	}
	return messenger.ReasonDeadline
}

func refusedResult(reason messenger.Reason, cause Cause) Result {
	return Result{Outcome: messenger.OutcomeRefused, Reason: reason, Cause: cause}
}
