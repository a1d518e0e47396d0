package launcher

import (
	"context"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
)

// probeKey is the key of probe requests.
const probeKey = "probe"

// AwaitAssigned waits until each service of the plan has all its servers, and no shard
// is free or moving.
func (c *Cluster) AwaitAssigned(ctx context.Context) error {
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if c.isFullyAssigned(status) {
			return nil
		}
		if err := awaitNextPoll(ctx); err != nil {
			return Error.New("waiting until all shards are assigned: %w", err)
		}
	}
}

func (c *Cluster) isFullyAssigned(status messenger.Status) bool {
	statuses := make(map[string]messenger.ServiceStatus)
	for _, service := range status.Services {
		statuses[service.Name] = service
	}
	for _, row := range c.settings.Plan.Servers {
		service := statuses[row.Service]
		if service.Servers < row.Count || service.Free > 0 || service.Moving > 0 {
			return false
		}
	}
	return true
}

// probe waits until each router has served one request for each service.
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

// probeURL sends requests until one has the outcome done.
func probeURL(ctx context.Context, client *http.Client, url string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return Error.New("creating a probe request: %w", err)
		}
		lastOutcome := "no response"
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			lastOutcome = response.Header.Get(messenger.HeaderOutcome) + " " + response.Header.Get(messenger.HeaderReason)
			if response.Header.Get(messenger.HeaderOutcome) == string(messenger.OutcomeDone) {
				return nil
			}
		}
		if err := awaitNextPoll(ctx); err != nil {
			return Error.New("last response %q: %w", lastOutcome, err)
		}
	}
}

func awaitNextPoll(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
