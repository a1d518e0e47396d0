package launcher

import (
	"context"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
)

// probeKey is the key that probes ask for.
const probeKey = "probe"

// AwaitOwned waits until each service of the plan has all its servers and no
// shard is free or moving.
func (c *Cluster) AwaitOwned(ctx context.Context) error {
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if c.isOwned(status) {
			return nil
		}
		if err := pause(ctx); err != nil {
			return Error.New("waiting until all shards are owned: %w", err)
		}
	}
}

func (c *Cluster) isOwned(status messenger.Status) bool {
	found := make(map[string]messenger.ServiceStatus)
	for _, service := range status.Services {
		found[service.Name] = service
	}
	for _, row := range c.settings.Plan.Servers {
		service := found[row.Service]
		if service.Servers < row.Count || service.Free > 0 || service.Moving > 0 {
			return false
		}
	}
	return true
}

// probe waits until each router has answered one request for each service.
func (c *Cluster) probe(ctx context.Context) error {
	for _, node := range c.Routers {
		for _, row := range c.settings.Plan.Servers {
			url := node.Process().CallerURL() + "/v1/" + row.Service + "/" + probeKey + "/probe"
			if err := probeURL(ctx, c.client, url); err != nil {
				return Error.New("probing router %s: %w", node.Name(), err)
			}
		}
	}
	return nil
}

// probeURL asks until the answer is done.
func probeURL(ctx context.Context, client *http.Client, url string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return Error.New("making a probe: %w", err)
		}
		last := "no answer"
		answer, err := client.Do(request)
		if err == nil {
			_ = answer.Body.Close()
			last = answer.Header.Get(messenger.HeaderOutcome) + " " + answer.Header.Get(messenger.HeaderReason)
			if answer.Header.Get(messenger.HeaderOutcome) == string(messenger.OutcomeDone) {
				return nil
			}
		}
		if err := pause(ctx); err != nil {
			return Error.New("last answer %q: %w", last, err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
