package prober

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/sanitizer"
)

const (
	// maxHealthBytes is the maximum size of a health report.
	maxHealthBytes = 4 << 10
	// maxHealthHeaderBytes is the maximum size of the header of a health report.
	maxHealthHeaderBytes = 16 << 10
	// healthDraining is the state that a backend server reports while it drains.
	healthDraining = "draining"
)

// checkHealth sends one request to the health endpoint. It opens a new connection, so
// that a stalled connection is not taken for a stalled server.
func checkHealth(ctx context.Context, network networker.Network, url string) Evidence {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var isDialFailure atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHealthHeaderBytes,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := network.Dial(ctx, address)
			isDialFailure.Store(err != nil)
			return conn, err
		},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+messenger.PathHealth, nil)
	if err != nil {
		return ProbeRefused
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return classifyFailure(ctx, isDialFailure.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if sanitizer.CheckResponse(response) != nil {
		return classifyFailure(ctx, false)
	}
	return classifyResponse(response)
}

// classifyFailure distinguishes a server that does not answer in time from one that
// refused the connection.
func classifyFailure(ctx context.Context, isDialFailure bool) Evidence {
	if isDialFailure && ctx.Err() == nil {
		return ProbeRefused
	}
	return ProbeTimeout
}

// classifyResponse reads a health report. Any response means that the server is alive.
func classifyResponse(response *http.Response) Evidence {
	var health messenger.ServerHealth
	err := json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health)
	if err == nil && health.State == healthDraining {
		return ProbeDraining
	}
	return ProbeAnswered
}
