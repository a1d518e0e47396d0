// Package baseliner is a minimal proxy that experiments compare the routers with.
// It maps keys to servers by a fixed hash over a static list of servers. It has
// no ownership, no request classes, no queues and no limits.
//
// # Usage
//
//	baseline := baseliner.New(baseliner.Settings{Listen: "b1:7200", Servers: servers}, network)
//	if err := baseline.Start(); err != nil { ... }
//	defer baseline.Stop()
package baseliner

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/bench/transporter"
	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("baseliner")

const (
	headerTimeout  = 10 * time.Second
	defaultTimeout = 10 * time.Second
	maxIdleConns   = 128
)

// Settings configure a Proxy.
type Settings struct {
	// Listen is the address at which callers are served.
	Listen string
	// Servers are the base URLs of each service's servers.
	Servers map[string][]string
	// Retries is the maximum number of further servers that are tried after one
	// fails or refuses. Retries are immediate and made for all methods, whether
	// or not the request is idempotent.
	Retries int
}

// Proxy is a proxy that callers send requests to.
type Proxy struct {
	settings Settings
	network  networker.Network
	client   *http.Client
	server   *http.Server
	done     chan struct{}
}

// New returns a Proxy that is not started.
func New(settings Settings, network networker.Network) *Proxy {
	return &Proxy{settings: settings, network: network, client: transporter.New(network, maxIdleConns)}
}

// Start listens for callers and serves them in the background.
func (b *Proxy) Start() error {
	listener, err := b.network.Listen(b.settings.Listen)
	if err != nil {
		return Error.New("listening for callers: %w", err)
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: headerTimeout}
	b.done = make(chan struct{})
	go func() {
		defer close(b.done)
		_ = b.server.Serve(listener)
	}()
	return nil
}

// Stop closes the listener and all connections, and waits until serving has
// ended.
func (b *Proxy) Stop() {
	_ = b.server.Close()
	b.client.CloseIdleConnections()
	<-b.done
}

// URL returns the base URL for callers.
func (b *Proxy) URL() string { return "http://" + b.settings.Listen }

// ServeHTTP implements http.Handler.
func (b *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/")
	service, path, _ := strings.Cut(path, "/")
	servers := b.settings.Servers[service]
	if len(servers) == 0 {
		writeFailure(w, messenger.OutcomeRefused, messenger.ReasonService)
		return
	}
	keySegment, _, _ := strings.Cut(path, "/")
	key, err := url.PathUnescape(keySegment)
	if err != nil {
		writeFailure(w, messenger.OutcomeRefused, messenger.ReasonMalformed)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r))
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeFailure(w, messenger.OutcomeRefused, messenger.ReasonMalformed)
		return
	}
	upstreamRequest := upstreamRequest{method: r.Method, path: path, query: r.URL.RawQuery, idempotencyKey: r.Header.Get(messenger.HeaderIdempotencyKey), body: string(body)}
	start := int(hasher.Shard(key, uint32(len(servers))))
	b.send(ctx, w, upstreamRequest, servers, start)
}

// upstreamRequest is a request as it is sent to a backend server.
type upstreamRequest struct {
	method         string
	path           string
	query          string
	idempotencyKey string
	body           string
}

// send tries the server at index start, which the key maps to, and then the
// following ones.
func (b *Proxy) send(ctx context.Context, w http.ResponseWriter, upstreamRequest upstreamRequest, servers []string, start int) {
	outcome, reason := messenger.OutcomeRefused, messenger.ReasonUnreachable
	for attempt := 0; attempt <= b.settings.Retries && ctx.Err() == nil; attempt++ {
		var response *http.Response
		response, outcome, reason = b.attempt(ctx, servers[(start+attempt)%len(servers)], upstreamRequest)
		if response != nil {
			copyResponse(w, response)
			return
		}
	}
	writeFailure(w, outcome, reason)
}

// attempt sends a request to one server. If there is no response to pass on, it
// returns the outcome and its reason.
func (b *Proxy) attempt(ctx context.Context, server string, upstreamRequest upstreamRequest) (*http.Response, messenger.Outcome, messenger.Reason) {
	request, err := http.NewRequestWithContext(ctx, upstreamRequest.method, server+"/"+upstreamRequest.path+"?"+upstreamRequest.query, strings.NewReader(upstreamRequest.body))
	if err != nil {
		return nil, messenger.OutcomeRefused, messenger.ReasonMalformed
	}
	if upstreamRequest.idempotencyKey != "" {
		request.Header.Set(messenger.HeaderIdempotencyKey, upstreamRequest.idempotencyKey)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, messenger.OutcomeUnknown, messenger.ReasonLost
	}
	if refused := response.Header.Get(messenger.HeaderRefused); refused != "" {
		_ = response.Body.Close()
		return nil, messenger.OutcomeRefused, messenger.Reason(refused)
	}
	return response, messenger.OutcomeDone, messenger.ReasonNone
}

// copyResponse writes a server's response to the caller.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	w.Header().Set(messenger.HeaderOutcome, string(messenger.OutcomeDone))
	w.Header().Set(messenger.HeaderServer, response.Request.URL.Host)
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func writeFailure(w http.ResponseWriter, outcome messenger.Outcome, reason messenger.Reason) {
	w.Header().Set(messenger.HeaderOutcome, string(outcome))
	w.Header().Set(messenger.HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func requestTimeout(r *http.Request) time.Duration {
	timeout, err := time.ParseDuration(r.Header.Get(messenger.HeaderTimeout))
	if err != nil || timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}
