// Package granter tells the backend server which grants it holds, and that it
// drains.
//
// Requests carry their fence as well, so a call that is lost only delays when
// the server learns of a newer fence of a shard without requests.
//
// # Usage
//
//	grants := granter.New(network, set)
//	go grants.Run(ctx)
//	grants.Follow(row, rows) // each new routing table or backend server
//	grants.Drain()
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
)

// Error is the class of all errors of this package.
var Error = errs.Class("granter")

const (
	// callTime bounds one call.
	callTime = time.Second
	// retryInterval is the time between two tries of what failed.
	retryInterval = 500 * time.Millisecond
)

// Granter tells one backend server of its grants. Its methods are safe for
// concurrent use.
type Granter struct {
	client  *http.Client
	metrics *metrics.Set
	wake    chan struct{}

	mu     sync.Mutex
	url    string
	wanted map[messenger.FencedShard]struct{}
	drains bool

	// told and drained are what the server at toldURL knows; only the goroutine
	// of Run uses them.
	told    map[messenger.FencedShard]struct{}
	toldURL string
	drained bool
}

// New returns a Granter that dials through network.
func New(network networker.Network, set *metrics.Set) *Granter {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address)
	}
	return &Granter{
		client:  &http.Client{Timeout: callTime, Transport: &http.Transport{DialContext: dial, MaxIdleConns: 1}},
		metrics: set,
		wake:    make(chan struct{}, 1),
	}
}

// Follow takes the backend server, or nil, and the shards that it holds now.
func (g *Granter) Follow(server *messenger.ServerRow, rows []messenger.ShardRow) {
	wanted := make(map[messenger.FencedShard]struct{}, len(rows))
	for _, row := range rows {
		wanted[messenger.FencedShard{Service: row.Service, Shard: row.Shard, Fence: row.Fence}] = struct{}{}
	}
	g.mu.Lock()
	g.wanted = wanted
	g.url = ""
	if server != nil {
		g.url = strings.TrimSuffix(server.URL, "/")
	}
	g.mu.Unlock()
	g.signal()
}

// Drain tells the server that no new work follows.
func (g *Granter) Drain() {
	g.mu.Lock()
	g.drains = true
	g.mu.Unlock()
	g.signal()
}

func (g *Granter) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run tells the server what changed until ctx ends. It must be called once.
func (g *Granter) Run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	for {
		var retry <-chan time.Time
		if !g.tell(ctx) {
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

// tell makes the calls that are due and reports whether all were answered.
func (g *Granter) tell(ctx context.Context) bool {
	g.mu.Lock()
	url, wanted, drains := g.url, g.wanted, g.drains
	g.mu.Unlock()
	if url == "" {
		return true
	}
	if url != g.toldURL {
		g.told = nil
		g.toldURL = url
		g.drained = false
	}
	granted, revoked := difference(wanted, g.told), difference(g.told, wanted)
	if len(granted) > 0 && !g.call(ctx, url+messenger.PathGrants, messenger.ShardList{Shards: granted}) {
		return false
	}
	if len(revoked) > 0 && !g.call(ctx, url+messenger.PathRevokes, messenger.ShardList{Shards: revoked}) {
		return false
	}
	g.told = wanted
	if drains && !g.drained {
		g.drained = g.call(ctx, url+messenger.PathDrain, nil)
		return g.drained
	}
	return true
}

// difference lists what is in a and not in b.
func difference(a, b map[messenger.FencedShard]struct{}) []messenger.FencedShard {
	var list []messenger.FencedShard
	for shard := range a {
		if _, ok := b[shard]; !ok {
			list = append(list, shard)
		}
	}
	return list
}

// call makes one call and reports whether it was answered well.
func (g *Granter) call(ctx context.Context, url string, body any) bool {
	var data []byte
	if body != nil {
		// A list of plain structs can always be encoded.
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		g.metrics.GetOrCreateCounter(`marigold_grant_calls_total{reason="failed"}`).Inc()
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	g.metrics.GetOrCreateCounter(`marigold_grant_calls_total{reason="answered"}`).Inc()
	return response.StatusCode < http.StatusInternalServerError
}
