package granter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/holder"
)

const (
	// maxAnswer is the most bytes that are read of an answer.
	maxAnswer = 4 << 10
	// maxIdle is how many unused connections to the backend server are kept: one
	// for renewals and one for a release, which may take seconds.
	maxIdle = 2
)

// Wire is how calls about ranges of keys are written.
type Wire struct {
	// GrantPath and ReleasePath are the paths of the calls, both with POST.
	GrantPath   string
	ReleasePath string
	// Body returns the JSON body of a call.
	Body func(call *holder.Call) any
	// Handover reads what the server leaves for the next holder from its answer.
	Handover func(header http.Header) string
}

// Ranges makes the calls that grant ranges of keys and take them back. An answer of
// 200 means that the call was carried out, one of 409 that the server has seen a
// higher fence on some of the keys.
type Ranges struct {
	wire   Wire
	client *http.Client
}

var _ holder.Caller = (*Ranges)(nil)

// NewRanges returns Ranges that dial through network.
func NewRanges(network networker.Network, wire Wire) *Ranges {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address)
	}
	return &Ranges{wire: wire, client: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
	}}}
}

// OwnWire is the product's own form of the calls; docs/BACKEND.md specifies it.
func OwnWire() Wire {
	return Wire{
		GrantPath:   messenger.PathGrants,
		ReleasePath: messenger.PathRevokes,
		Body: func(call *holder.Call) any {
			return messenger.RangeCall{
				From: call.From, To: call.To, Fence: call.Fence, Hold: call.Hold.Milliseconds(), Handover: call.Handover,
			}
		},
		Handover: func(header http.Header) string { return header.Get(messenger.HeaderHandover) },
	}
}

// Grant implements [holder.Caller].
func (r *Ranges) Grant(ctx context.Context, address string, call *holder.Call) (holder.Verdict, error) {
	verdict, _, err := r.call(ctx, "http://"+address+r.wire.GrantPath, call)
	return verdict, err
}

// Release implements [holder.Caller].
func (r *Ranges) Release(ctx context.Context, address string, call *holder.Call) (holder.Verdict, string, error) {
	return r.call(ctx, "http://"+address+r.wire.ReleasePath, call)
}

func (r *Ranges) call(ctx context.Context, url string, call *holder.Call) (holder.Verdict, string, error) {
	data, err := json.Marshal(r.wire.Body(call))
	if err != nil {
		return holder.Unsent, "", Error.New("encoding a call: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return holder.Unsent, "", Error.New("building a call: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return holder.Unsent, "", Error.New("calling the server: %w", err)
	}
	if err != nil {
		return holder.Unanswered, "", Error.New("calling the server: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer)); err != nil {
		return holder.Unanswered, "", Error.New("reading the answer: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return holder.Taken, r.wire.Handover(response.Header), nil
	case http.StatusConflict:
		return holder.Outrun, "", nil
	}
	return holder.Unanswered, "", Error.New("the server answered %s", response.Status)
}
