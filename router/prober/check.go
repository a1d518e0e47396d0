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
)

const (
	// maxHealth is the largest health report in bytes.
	maxHealth = 4 << 10
	// healthDraining is the state of a backend server that is leaving.
	healthDraining = "draining"
)

// check asks the health endpoint once, on a connection of its own, so that a
// silent connection is not taken for a silent server.
func check(ctx context.Context, network networker.Network, url string) Evidence {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	var isDialFailure atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives: true,
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
		return failure(ctx, isDialFailure.Load())
	}
	defer func() { _ = response.Body.Close() }()
	return report(response)
}

// failure tells a silent server from one that refused the connection.
func failure(ctx context.Context, isDialFailure bool) Evidence {
	if isDialFailure && ctx.Err() == nil {
		return ProbeRefused
	}
	return ProbeSilent
}

// report reads a health report. Any answer shows that the server lives.
func report(response *http.Response) Evidence {
	var health messenger.ServerHealth
	err := json.NewDecoder(io.LimitReader(response.Body, maxHealth)).Decode(&health)
	if err == nil && health.State == healthDraining {
		return ProbeDraining
	}
	return ProbeAnswered
}
