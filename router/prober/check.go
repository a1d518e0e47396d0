package prober

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

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
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+messenger.PathHealth, nil)
	if err != nil {
		return ProbeRefused
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	return report(response)
}

// failure tells a silent server from one that cannot be reached.
func failure(ctx context.Context, err error) Evidence {
	var operation *net.OpError
	if ctx.Err() == nil && errors.As(err, &operation) && operation.Op == "dial" {
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
