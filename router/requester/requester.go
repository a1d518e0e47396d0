// Package requester is the HTTP/1.1 client for the backend server on the VM of the
// router. It reports whether a request was executed, was not, or may have been.
// It is used in routed mode; in sharded mode a router uses package dispatcher.
//
// A connection carries one request at a time. A response is accepted only when it
// contains the ID of the request: a server may send a response twice or late, and
// bytes that belong to no request must not be taken for its response. All attempts of a
// request have the same ID, so the next one uses another connection than those on which
// the server refused it. A request has not been executed when none of its bytes were sent
// or when the server reports so. In all other cases without a complete response the
// outcome is unknown. A request is never sent twice. All that a server can send before the
// body of a response is bounded, and reads end with the deadline of the request; see
// [ErrExcess].
//
// A [HeaderCodec] defines the protocol of a server, such as the names of header fields.
//
// # Usage
//
//	backend := requester.New(requester.Options{Network: network, HeaderCodec: codec})
//	result := backend.Send(ctx, address, &requester.ServerRequest{Relay: relay, Deadline: deadline, Server: "d1"}, body)
//	if result.Outcome == messenger.OutcomeDone {
//		defer result.Body.Close()
//	}
package requester

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("requester")

const (
	// dialTimeout limits a dial. It is short because the server is on the same VM.
	dialTimeout = time.Second
	// defaultIdleTimeout is the idle timeout of the server that is assumed when its
	// responses have no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleCloseMargin is how long before the idle timeout of the server a connection
	// is no longer reused.
	idleCloseMargin = 500 * time.Millisecond
	// maxUnmatched is how many responses to other requests are skipped before the
	// connection is closed.
	maxUnmatched = 8
	// maxInlineBodyBytes is the largest body that is sent in one write with the header.
	maxInlineBodyBytes = 16 << 10
)

// HeaderCodec is the protocol of a kind of backend server.
type HeaderCodec interface {
	// SetHeader sets the header fields of a request.
	SetHeader(header http.Header, serverRequest *ServerRequest)
	// ParseHeader extracts the metadata of a response.
	ParseHeader(status int, header http.Header) ResponseInfo
}

// ResponseInfo is the metadata of a response.
type ResponseInfo struct {
	// ID is the ID of the request that it belongs to, empty when missing.
	ID string
	// NotExecuted is set when the server did not execute the request.
	NotExecuted bool
	// Misdirected is set when the server does not hold the key or is not the server that
	// the request was meant for.
	Misdirected bool
	// Limit is how many requests per second the server takes from all routers together;
	// nil when it names no limit.
	Limit *float64
	// Leaving means that the server leaves and must get no new requests.
	Leaving bool
	// ColdLeft is for how long the server stays cold; nil when it does not say.
	ColdLeft *time.Duration
}

// ServerRequest is a request to the backend server.
type ServerRequest struct {
	Relay *messenger.Relay
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Server is the name of the server that must execute the request.
	Server string
}

// Result is the outcome of a ServerRequest.
type Result struct {
	Outcome messenger.Outcome
	Reason  messenger.Reason
	// Sent is set when bytes of the request were sent.
	Sent bool
	// ResponseInfo is the metadata of the response, if there is one.
	ResponseInfo ResponseInfo
	Status       int
	Header       http.Header
	// Length is the length of the body, -1 when unknown.
	Length int64
	// Body must be closed when Outcome is done. It is nil otherwise.
	Body io.ReadCloser
	// Err is the cause of a result without a response.
	Err error
	// endsWithConnection is set if nothing but the end of the connection ends Body.
	endsWithConnection bool
}

// Options are the dependencies of a Client.
type Options struct {
	Network     networker.Network
	HeaderCodec HeaderCodec
	Metrics     *metrics.Set
	// OnBroken, if not nil, is called when a connection was found to be broken: the
	// server closed it while it was idle, or a request could not be sent on it. It must
	// not block.
	OnBroken func()
}

// Client sends requests and pools connections to one backend server at a time. Its
// methods are safe for concurrent use.
type Client struct {
	options Options

	open atomic.Int64
	// checks is the number of open connections of health checks.
	checks atomic.Int64

	mu       sync.Mutex
	idle     []*conn
	refusals refusals
}

// New returns a Client without connections.
func New(options Options) *Client {
	return &Client{options: options, refusals: newRefusals()}
}

// Reset closes the idle connections. It is meant for when another server listens on
// the address.
func (c *Client) Reset() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// IsConnected reports whether a connection to the server is open. It closes the idle ones
// that the server has closed.
func (c *Client) IsConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = slices.DeleteFunc(c.idle, func(conn *conn) bool {
		if conn.isUsable() {
			return false
		}
		conn.close()
		return true
	})
	return c.open.Load() > 0
}

// Send sends a request and waits for the header of the response. When ctx is done,
// the connection is closed, so that the server can cancel the request.
func (c *Client) Send(ctx context.Context, address string, serverRequest *ServerRequest, body io.Reader) Result {
	conn, err := c.connect(ctx, address, serverRequest.Relay.ID)
	if err != nil {
		return refusedResult(contextReason(ctx, messenger.ReasonDown), err)
	}
	stop := context.AfterFunc(ctx, conn.interrupt)
	result := conn.roundTrip(c, serverRequest, body)
	if !result.Sent && result.Reason == messenger.ReasonDown && ctx.Err() == nil && !errors.Is(result.Err, errBody) {
		c.reportBroken()
	}
	if result.Outcome == messenger.OutcomeDone {
		result.Body = &responseBody{client: c, conn: conn, source: result.Body, stop: stop, endsWithConnection: result.endsWithConnection}
		return result
	}
	if !stop() || result.Outcome != messenger.OutcomeRefused || !conn.reusable {
		conn.close()
	} else {
		c.addRefusal(conn, serverRequest)
		c.putIdle(conn)
	}
	if result.Outcome == messenger.OutcomeUnknown && ctx.Err() != nil {
		result.Reason = messenger.ReasonExpired
		if errors.Is(context.Cause(ctx), context.Canceled) {
			result.Reason = messenger.ReasonCanceled
		}
	}
	return result
}

// connect returns an idle connection that is still usable for the request with an ID, or
// dials a new one.
func (c *Client) connect(ctx context.Context, address, id string) (*conn, error) {
	for {
		conn := c.popIdle(address, id)
		if conn == nil {
			break
		}
		if conn.isUsable() {
			c.countRepeat(id, "kept")
			return conn, nil
		}
		c.reportClosed(conn)
		conn.close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.options.Network.Dial(ctx, address)
	if err != nil {
		return nil, Error.New("dialing the backend server: %w", err)
	}
	c.count("dials")
	c.countRepeat(id, "new")
	return newConn(raw, address, &c.open), nil
}

// popIdle returns the idle connection that was used last, so that the others reach
// their idle timeout. It skips those on which the server refused the request with the ID,
// and returns nil when there is no other one to the address.
func (c *Client) popIdle(address, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		conn := c.idle[i]
		if conn.address == address && c.refusals.has(id, conn) {
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		if conn.address == address {
			return conn
		}
		conn.close()
	}
	return nil
}

func (c *Client) putIdle(conn *conn) {
	_ = conn.raw.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.retired {
		conn.close()
		return
	}
	c.idle = append(c.idle, conn)
}

// addRefusal records that the server refused a request on a connection.
func (c *Client) addRefusal(conn *conn, serverRequest *ServerRequest) {
	refused := refusal{hash: c.refusals.hash(serverRequest.Relay.ID), conn: conn}
	if !serverRequest.Deadline.IsZero() {
		refused.expiresAt = serverRequest.Deadline.Add(refusalMargin)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	forgotten := c.refusals.add(time.Now(), refused)
	if forgotten == nil {
		return
	}
	forgotten.retired = true
	if i := slices.Index(c.idle, forgotten); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
		forgotten.close()
	}
}

// countRepeat counts an attempt of a request that the server refused before, by the kind of
// its connection.
func (c *Client) countRepeat(id, connection string) {
	c.mu.Lock()
	isRepeat := c.refusals.hasRequest(id)
	c.mu.Unlock()
	if isRepeat {
		c.increment(`marigold_backend_repeats_total{connection="` + connection + `"}`)
	}
}

func (c *Client) count(name string) {
	c.increment("marigold_backend_" + name + "_total")
}

// countExcess counts a response of which a part exceeded its bound.
func (c *Client) countExcess(part string) {
	c.increment(`marigold_backend_excess_total{part="` + part + `"}`)
}

func (c *Client) increment(metric string) {
	if c.options.Metrics != nil {
		c.options.Metrics.GetOrCreateCounter(metric).Inc()
	}
}

func refusedResult(reason messenger.Reason, err error) Result {
	return Result{Outcome: messenger.OutcomeRefused, Reason: reason, Err: err}
}

func unknownResult(reason messenger.Reason, err error) Result {
	return Result{Outcome: messenger.OutcomeUnknown, Reason: reason, Sent: true, Err: err}
}

// contextReason returns the reason for which ctx is done, or fallback when it is not.
func contextReason(ctx context.Context, fallback messenger.Reason) messenger.Reason {
	switch {
	case ctx.Err() == nil:
		return fallback
	case errors.Is(context.Cause(ctx), context.Canceled):
		return messenger.ReasonCanceled
	}
	return messenger.ReasonDeadline
}
