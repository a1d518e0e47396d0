package matrix

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"marigoldhill/operator/requester"
	router "marigoldhill/router/assembler"
)

// observeTimeout bounds one status request to a router.
const observeTimeout = 100 * time.Millisecond

// getFromControl reads a resource of the operator API of the control group.
func (h *Harness) getFromControl(ctx context.Context, path string, value any) error {
	response, err := requester.Get[json.RawMessage](ctx, h.Cluster.Requester(), path)
	if err != nil {
		return Error.New("reading %s: %w", path, err)
	}
	if err := json.Unmarshal(response.Value, value); err != nil {
		return Error.New("decoding %s: %w", path, err)
	}
	return nil
}

// Observe records the revision that each router has in force, at an interval, until
// ctx ends.
func (h *Harness) Observe(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, node := range h.Cluster.Routers {
			if !h.IsDead(node.Name()) {
				h.observe(ctx, node.Name(), node.Process().OperatorURL())
			}
		}
	}
}

func (h *Harness) observe(ctx context.Context, name, base string) {
	restartCount := h.restartCount(name)
	var status router.Status
	if err := h.getFromRouter(ctx, base+"/v1/status", &status); err != nil {
		return
	}
	h.History.AddObservation(Observation{
		Router:   name,
		Restarts: restartCount,
		Revision: status.Revision,
		Serving:  status.Lease,
		At:       h.History.Now(),
	})
}

func (h *Harness) getFromRouter(ctx context.Context, target string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Error.New("requesting %s: %w", target, err)
	}
	response, err := h.Cluster.Client().Do(request)
	if err != nil {
		return Error.New("requesting %s: %w", target, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return Error.New("decoding %s: %w", target, err)
	}
	return nil
}
