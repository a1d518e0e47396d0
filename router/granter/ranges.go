package granter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/holder"
	"marigoldhill/router/sanitizer"
)

const (
	// maxResponseBytes is the maximum number of bytes that are read of a response.
	maxResponseBytes = 4 << 10
	// maxResponseHeaderBytes is the maximum size of the header of a response.
	maxResponseHeaderBytes = 16 << 10
	// maxIdleConnections is the number of idle connections to the backend server that
	// are kept: two for renewals and one for a release, which may take seconds.
	maxIdleConnections = 3
)

// RangeProtocol is the wire format of calls about ranges of keys.
type RangeProtocol struct {
	// GrantPath and ReleasePath are the paths of the calls. Both use POST.
	GrantPath   string
	ReleasePath string
	// ServerHeader is the header with the name of the server that a call is for. A
	// server with another name must respond with status 421 and not carry it out.
	ServerHeader string
	// StartHeader is the header with the start of that server, in Unix milliseconds. A
	// server that was started at another time must respond with status 421 and not carry
	// the call out. It is empty if the servers know no such header.
	StartHeader string
	// Body returns the value that is encoded as the JSON body of a call.
	Body func(call *holder.Call) any
	// Handover returns the handover token for the next holder from the header of a
	// response.
	Handover func(header http.Header) string
}

// RangeClient makes the calls that grant and release ranges of keys. Status 200 means that
// the call was carried out, 409 that the server has seen a higher fence for some of
// the keys, 421 that the call is for another server.
//
// Responses do not say which call they are for, so a late copy of one can be taken for the
// response to the next call on its connection. A copy that denies a grant would free keys
// that the server holds, and one that ends a release would let them be granted elsewhere
// while the server works on them. Calls therefore share a connection as long as a copy can
// be told apart: all grants on it were accepted, and each release has returned another
// handover token. Otherwise a release is sent again over a connection of its own.
type RangeClient struct {
	protocol RangeProtocol
	kept     *http.Client
	// single opens a connection for each call.
	single *http.Client
	// onRefused is called when the port of the server refused a connection.
	onRefused func()
	// open is the number of open connections.
	open atomic.Int64
}

var _ holder.Caller = (*RangeClient)(nil)

// NewRangeClient returns a RangeClient that dials through network. It calls onRefused,
// which must not block, for each call whose connection the server's port refused.
func NewRangeClient(network networker.Network, protocol RangeProtocol, onRefused func()) *RangeClient {
	r := &RangeClient{protocol: protocol, onRefused: onRefused}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, Error.New("dialing the backend server for range calls: %w", err)
		}
		r.open.Add(1)
		return &rangeConn{Conn: conn, open: &r.open, handovers: make(map[string]bool)}, nil
	}
	r.kept = &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	r.single = &http.Client{Transport: &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	return r
}

// IsConnected reports whether a connection to the backend server is open. The transport
// closes its side as soon as the server has closed or reset a connection.
func (r *RangeClient) IsConnected() bool {
	return r.open.Load() > 0
}

// NativeRangeProtocol returns the native format of the calls, which docs/BACKEND.md
// specifies.
func NativeRangeProtocol() RangeProtocol {
	return RangeProtocol{
		GrantPath:    messenger.PathGrants,
		ReleasePath:  messenger.PathRevokes,
		ServerHeader: messenger.HeaderServer,
		StartHeader:  messenger.HeaderBorn,
		Body: func(call *holder.Call) any {
			return messenger.RangeCall{
				From: call.From, To: call.To, Fence: call.Fence, Hold: call.Hold.Milliseconds(), Handover: call.Handover,
			}
		},
		Handover: func(header http.Header) string { return header.Get(messenger.HeaderHandover) },
	}
}

// Grant implements [holder.Caller].
func (r *RangeClient) Grant(ctx context.Context, address string, call *holder.Call) (holder.CallResult, error) {
	var used usedConn
	defer used.done()
	result, handover, err := r.call(used.trace(ctx), r.kept, "http://"+address+r.protocol.GrantPath, call)
	if result != holder.Accepted || handover != "" {
		used.close()
	}
	if handover != "" {
		return holder.Unanswered, Error.New("response to a grant has the handover of a release: %w", errLateCopy)
	}
	return result, err
}

// errLateCopy means that a response belongs to an earlier call.
var errLateCopy = errs.New("late copy of an earlier response")

// Release implements [holder.Caller].
func (r *RangeClient) Release(ctx context.Context, address string, call *holder.Call) (holder.CallResult, string, error) {
	var used usedConn
	defer used.done()
	url := "http://" + address + r.protocol.ReleasePath
	result, handover, err := r.call(used.trace(ctx), r.kept, url, call)
	if used.conn == nil {
		return result, handover, err
	}
	isOwn := result == holder.Accepted && used.conn.addHandover(handover)
	if !isOwn || len(used.conn.handovers) >= maxHandovers {
		used.close()
	}
	if isOwn || err != nil || !used.reused {
		return result, handover, err
	}
	used.done() // the next call must not wait for the repeated one
	return r.call(ctx, r.single, url, call)
}

func (r *RangeClient) call(ctx context.Context, client *http.Client, url string, call *holder.Call) (holder.CallResult, string, error) {
	encoded, err := json.Marshal(r.protocol.Body(call))
	if err != nil {
		return holder.NotSent, "", Error.New("encoding the body of a range call: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return holder.NotSent, "", Error.New("creating the request of a range call: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(r.protocol.ServerHeader, call.Server)
	if r.protocol.StartHeader != "" {
		request.Header.Set(r.protocol.StartHeader, strconv.FormatInt(call.Born, 10))
	}
	response, err := client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.onRefused()
		return holder.NotSent, "", Error.New("connecting to the backend server for a range call: %w", err)
	}
	if err != nil {
		return holder.Unanswered, "", Error.New("sending a range call to the backend server: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return holder.Unanswered, "", Error.New("reading the backend server's response to a range call: %w", err)
	}
	if err := sanitizer.CheckResponse(response); err != nil {
		return holder.Unanswered, "", Error.New("reading the backend server's response to a range call: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return holder.Accepted, r.protocol.Handover(response.Header), nil
	case http.StatusConflict:
		return holder.Fenced, "", nil
	case http.StatusMisdirectedRequest:
		return holder.Misdirected, "", nil
	}
	return holder.Unanswered, "", Error.New("backend server answered a range call with status %s, want 200, 409 or 421", response.Status)
}
