package matrix

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"marigoldhill/operator/requester"
	router "marigoldhill/router/assembler"
)

// observeTime bounds one look at a router.
const observeTime = 100 * time.Millisecond

// get reads a page of the operator interface.
func (a *Arena) get(ctx context.Context, path string, into any) error {
	got, err := requester.Get[json.RawMessage](ctx, a.Cluster.Requester(), path)
	if err != nil {
		return Error.New("reading %s: %w", path, err)
	}
	if err := json.Unmarshal(got.Value, into); err != nil {
		return Error.New("decoding %s: %w", path, err)
	}
	return nil
}

// Observe records what each router has in force until ctx ends.
func (a *Arena) Observe(ctx context.Context) {
	ticker := time.NewTicker(sightInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, node := range a.Cluster.Routers {
			if !a.IsDead(node.Name()) {
				a.observe(ctx, node.Name(), node.Process().OperatorURL())
			}
		}
	}
}

func (a *Arena) observe(ctx context.Context, name, base string) {
	instance := a.instance(name)
	var status router.Status
	if err := a.look(ctx, base+"/v1/status", &status); err != nil {
		return
	}
	a.History.AddSight(Sight{
		Router:   name,
		Instance: instance,
		Revision: status.Revision,
		Serving:  status.Lease,
		At:       a.History.Now(),
	})
}

func (a *Arena) look(ctx context.Context, page string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, observeTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, page, nil)
	if err != nil {
		return Error.New("asking %s: %w", page, err)
	}
	answer, err := a.Cluster.Client().Do(request)
	if err != nil {
		return Error.New("asking %s: %w", page, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if err := json.NewDecoder(answer.Body).Decode(into); err != nil {
		return Error.New("decoding %s: %w", page, err)
	}
	return nil
}
