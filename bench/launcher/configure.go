package launcher

import (
	"context"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/requester"
)

const (
	// requestTimeout limits one request to the operator interface.
	requestTimeout = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
	// maxIdleConns limits the idle connections to each address.
	maxIdleConns = 16
	// callerNode is the VM of the callers and operators of the bench.
	callerNode = "bench"
)

// Client returns the HTTP client of callers and operators. It dials from a separate
// VM.
func (c *Cluster) Client() *http.Client { return c.client }

// Requester returns a client of the operator interface.
func (c *Cluster) Requester() *requester.Requester {
	var baseURLs []string
	for _, member := range c.settings.members() {
		baseURLs = append(baseURLs, member.Operator)
	}
	return requester.New(baseURLs, requestTimeout).WithHTTPClient(c.client)
}

// configure creates the profiles and services of the plan. Those that already exist,
// because the data directory is from an earlier run, are left unchanged.
func (c *Cluster) configure(ctx context.Context) error {
	operator := c.Requester()
	for _, profile := range c.settings.Plan.Profiles {
		if err := create(ctx, operator, "/v1/profiles/"+profile.Name, profile); err != nil {
			return err
		}
	}
	for _, service := range c.settings.Plan.Services {
		if err := create(ctx, operator, "/v1/services/"+service.Name, service); err != nil {
			return err
		}
	}
	return nil
}

// create puts value at path unless a value exists there.
func create[T any](ctx context.Context, operator *requester.Requester, path string, value T) error {
	_, err := requester.Get[T](ctx, operator, path)
	if err == nil {
		return nil
	}
	if !requester.IsNotFound(err) {
		return Error.New("reading %s: %w", path, err)
	}
	_, err = operator.Change(ctx, requester.Change{Method: http.MethodPut, Path: path, Body: value})
	if err != nil {
		return Error.New("creating %s: %w", path, err)
	}
	return nil
}

// Status returns the status of the cluster.
func (c *Cluster) Status(ctx context.Context) (messenger.Status, error) {
	got, err := requester.Get[messenger.Status](ctx, c.Requester(), "/v1/status")
	if err != nil {
		return got.Value, Error.New("reading the status: %w", err)
	}
	return got.Value, nil
}
