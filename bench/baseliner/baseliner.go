// Package baseliner is a simple entry for callers that the experiments compare
// the project with. It places keys by a fixed hash over a fixed list of servers.
// It has no ownership, no classes, no queues and no limits.
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
	idleMax        = 128
)

// Settings describe a baseline.
type Settings struct {
	// Listen is the address for callers.
	Listen string
	// Servers are the base URLs of each service's servers.
	Servers map[string][]string
	// Retries is how often a request that was not answered is sent to the next
	// server, at once and whatever it is.
	Retries int
}

// Baseline is one entry for callers.
type Baseline struct {
	settings Settings
	network  networker.Network
	client   *http.Client
	server   *http.Server
	done     chan struct{}
}

// New returns a Baseline that is not started.
func New(settings Settings, network networker.Network) *Baseline {
	return &Baseline{settings: settings, network: network, client: transporter.New(network, idleMax)}
}

// Start serves callers.
func (b *Baseline) Start() error {
	listener, err := b.network.Listen(b.settings.Listen)
	if err != nil {
		return Error.New("starting: %w", err)
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: headerTimeout}
	b.done = make(chan struct{})
	go func() {
		defer close(b.done)
		_ = b.server.Serve(listener)
	}()
	return nil
}

// Stop ends the baseline and its connections.
func (b *Baseline) Stop() {
	_ = b.server.Close()
	b.client.CloseIdleConnections()
	<-b.done
}

// URL returns the base URL for callers.
func (b *Baseline) URL() string { return "http://" + b.settings.Listen }

// ServeHTTP implements http.Handler.
func (b *Baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/")
	service, path, _ := strings.Cut(path, "/")
	servers := b.settings.Servers[service]
	if len(servers) == 0 {
		refuse(w, messenger.OutcomeRefused, messenger.ReasonService)
		return
	}
	segment, _, _ := strings.Cut(path, "/")
	key, err := url.PathUnescape(segment)
	if err != nil {
		refuse(w, messenger.OutcomeRefused, messenger.ReasonMalformed)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeoutOf(r))
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, messenger.OutcomeRefused, messenger.ReasonMalformed)
		return
	}
	order := order{method: r.Method, path: path, query: r.URL.RawQuery, number: r.Header.Get(messenger.HeaderIdempotency), body: string(body)}
	start := int(hasher.Shard(key, uint32(len(servers))))
	b.send(ctx, w, order, servers, start)
}

// order is what a server is asked to do.
type order struct {
	method string
	path   string
	query  string
	number string
	body   string
}

// send tries the server of the key, and after it the next ones.
func (b *Baseline) send(ctx context.Context, w http.ResponseWriter, order order, servers []string, start int) {
	outcome, reason := messenger.OutcomeRefused, messenger.ReasonUnreachable
	for try := 0; try <= b.settings.Retries && ctx.Err() == nil; try++ {
		var answer *http.Response
		answer, outcome, reason = b.try(ctx, servers[(start+try)%len(servers)], order)
		if answer != nil {
			copyAnswer(w, answer)
			return
		}
	}
	refuse(w, outcome, reason)
}

// try sends an order to one server. Without an answer it says what became of it.
func (b *Baseline) try(ctx context.Context, server string, order order) (*http.Response, messenger.Outcome, messenger.Reason) {
	request, err := http.NewRequestWithContext(ctx, order.method, server+"/"+order.path+"?"+order.query, strings.NewReader(order.body))
	if err != nil {
		return nil, messenger.OutcomeRefused, messenger.ReasonMalformed
	}
	if order.number != "" {
		request.Header.Set(messenger.HeaderIdempotency, order.number)
	}
	answer, err := b.client.Do(request)
	if err != nil {
		return nil, messenger.OutcomeUnknown, messenger.ReasonLost
	}
	if refused := answer.Header.Get(messenger.HeaderRefused); refused != "" {
		_ = answer.Body.Close()
		return nil, messenger.OutcomeRefused, messenger.Reason(refused)
	}
	return answer, messenger.OutcomeDone, messenger.ReasonNone
}

// copyAnswer hands a server's answer to the caller.
func copyAnswer(w http.ResponseWriter, answer *http.Response) {
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set(messenger.HeaderOutcome, string(messenger.OutcomeDone))
	w.Header().Set(messenger.HeaderServer, answer.Request.URL.Host)
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
}

func refuse(w http.ResponseWriter, outcome messenger.Outcome, reason messenger.Reason) {
	w.Header().Set(messenger.HeaderOutcome, string(outcome))
	w.Header().Set(messenger.HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func timeoutOf(r *http.Request) time.Duration {
	timeout, err := time.ParseDuration(r.Header.Get(messenger.HeaderTimeout))
	if err != nil || timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}
