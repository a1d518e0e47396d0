package launcher

import (
	"context"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/requester"
)

const (
	// requestTimeout bounds one call of the operator interface.
	requestTimeout = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
	// clientIdle is the most unused connections to each address.
	clientIdle = 16
	// callerNode is the VM that callers and operators of the bench are on.
	callerNode = "bench"
)

// Client returns the HTTP client of callers and operators, on a VM of its own.
func (c *Cluster) Client() *http.Client { return c.client }

// Requester returns a client of the operator interface.
func (c *Cluster) Requester() *requester.Requester {
	var bases []string
	for _, member := range c.settings.members() {
		bases = append(bases, member.Operator)
	}
	return requester.New(bases, requestTimeout).Over(c.client)
}

// configure applies the profiles and services of the plan. What a data folder
// from an earlier run has already is left as it is.
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

// create puts value at path unless there is one.
func create[T any](ctx context.Context, operator *requester.Requester, path string, value T) error {
	_, err := requester.Get[T](ctx, operator, path)
	if err == nil {
		return nil
	}
	if !requester.IsMissing(err) {
		return Error.New("reading %s: %w", path, err)
	}
	_, err = operator.Change(ctx, requester.Change{Method: http.MethodPut, Path: path, Body: value})
	if err != nil {
		return Error.New("creating %s: %w", path, err)
	}
	return nil
}

// Status reads the status of the cluster.
func (c *Cluster) Status(ctx context.Context) (messenger.Status, error) {
	got, err := requester.Get[messenger.Status](ctx, c.Requester(), "/v1/status")
	if err != nil {
		return got.Value, Error.New("reading the status: %w", err)
	}
	return got.Value, nil
}
