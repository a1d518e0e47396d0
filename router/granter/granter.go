// Package granter notifies the backend server of its grants and that it is being drained.
// It also implements the calls that grant and release ranges of keys.
//
// Requests carry the fence of their grant as well, so a lost call only delays when the
// server receives the new fence of a shard that has no requests.
//
// # Usage
//
//	grants := granter.New(network, set)
//	go grants.Run(ctx)
//	grants.SetRows(row, rows) // each new routing table or backend server
//	grants.NotifyDrain()
package granter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/sanitizer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("granter")

const (
	// callTimeout is the timeout of one call.
	callTimeout = time.Second
	// retryInterval is the time between two attempts after a failure.
	retryInterval = 500 * time.Millisecond
)

// Granter notifies one backend server of its grants. Its methods are safe for
// concurrent use.
type Granter struct {
	client  *http.Client
	metrics *metrics.Set
	wake    chan struct{}

	mu             sync.Mutex
	url            string
	grants         map[messenger.FencedShard]struct{}
	drainRequested bool

	// deliveredGrants and drainDelivered are the state that the server at deliveredURL
	// has acknowledged. Only the goroutine of Run uses them.
	deliveredGrants map[messenger.FencedShard]struct{}
	deliveredURL    string
	drainDelivered  bool
}

// New returns a Granter that dials through network.
func New(network networker.Network, set *metrics.Set) *Granter {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address)
	}
	return &Granter{
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: dial, MaxIdleConns: 1, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		metrics: set,
		wake:    make(chan struct{}, 1),
	}
}

// SetRows updates the backend server, nil if there is none, and the shards that it
// holds.
func (g *Granter) SetRows(server *messenger.ServerRow, rows []messenger.ShardRow) {
	grants := make(map[messenger.FencedShard]struct{}, len(rows))
	for _, row := range rows {
		grants[messenger.FencedShard{Service: row.Service, Shard: row.Shard, Fence: row.Fence}] = struct{}{}
	}
	g.mu.Lock()
	g.grants = grants
	g.url = ""
	if server != nil {
		g.url = strings.TrimSuffix(server.URL, "/")
	}
	g.mu.Unlock()
	g.signal()
}

// NotifyDrain notifies the server that it will receive no new requests.
func (g *Granter) NotifyDrain() {
	g.mu.Lock()
	g.drainRequested = true
	g.mu.Unlock()
	g.signal()
}

func (g *Granter) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run delivers changes to the server until ctx ends. It must be called once.
func (g *Granter) Run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	for {
		var retry <-chan time.Time
		if !g.deliver(ctx) {
			retry = time.After(retryInterval)
		}
		select {
		case <-g.wake:
		case <-retry:
		case <-ctx.Done():
			return
		}
	}
}

// deliver makes the calls that are due and reports whether all of them succeeded.
func (g *Granter) deliver(ctx context.Context) bool {
	g.mu.Lock()
	url, grants, drainRequested := g.url, g.grants, g.drainRequested
	g.mu.Unlock()
	if url == "" {
		return true
	}
	if url != g.deliveredURL {
		g.deliveredGrants = nil
		g.deliveredURL = url
		g.drainDelivered = false
	}
	granted, revoked := difference(grants, g.deliveredGrants), difference(g.deliveredGrants, grants)
	if len(granted) > 0 && !g.call(ctx, url+messenger.PathGrants, messenger.ShardList{Shards: granted}) {
		return false
	}
	if len(revoked) > 0 && !g.call(ctx, url+messenger.PathRevokes, messenger.ShardList{Shards: revoked}) {
		return false
	}
	g.deliveredGrants = grants
	if drainRequested && !g.drainDelivered {
		g.drainDelivered = g.call(ctx, url+messenger.PathDrain, nil)
		return g.drainDelivered
	}
	return true
}

// difference returns the shards that are in a but not in b.
func difference(a, b map[messenger.FencedShard]struct{}) []messenger.FencedShard {
	var list []messenger.FencedShard
	for shard := range a {
		if _, ok := b[shard]; !ok {
			list = append(list, shard)
		}
	}
	return list
}

// call makes one call and reports whether the server answered it without a server
// error.
func (g *Granter) call(ctx context.Context, url string, body any) bool {
	var encoded []byte
	if body != nil {
		// Encoding a list of plain structs cannot fail.
		encoded, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		g.metrics.GetOrCreateCounter(`marigold_grant_calls_total{reason="failed"}`).Inc()
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close()
	if err := sanitizer.CheckResponse(response); err != nil {
		g.client.CloseIdleConnections()
		g.metrics.GetOrCreateCounter(`marigold_grant_calls_total{reason="invalid"}`).Inc()
		return false
	}
	g.metrics.GetOrCreateCounter(`marigold_grant_calls_total{reason="answered"}`).Inc()
	return response.StatusCode < http.StatusInternalServerError
}
