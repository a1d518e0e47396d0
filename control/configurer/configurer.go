// Package configurer replaces and reads the configuration of routes and services as
// a whole.
//
// A change is acknowledged once it is committed by a group that is large enough to
// keep it when [Options.ToleratedLosses] disks fail at once. Reads are linearizable:
// only a leader that a majority has just confirmed serves them, so they never return
// an older configuration than one that was acknowledged.
//
// # Usage
//
//	configurations := configurer.New(replica, configurer.Options{ToleratedLosses: 2, Log: log})
//	revision, err := configurations.Put(ctx, source, decode)
//	var moved *configurer.NotLeaderError
//	if errors.As(err, &moved) { ... } // retry at moved.Leader.Operator
package configurer

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"marigoldhill/control/assigner"
	"marigoldhill/control/proposer"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("configurer")

// ErrUnavailable is [proposer.ErrUnavailable].
var ErrUnavailable = proposer.ErrUnavailable

// InvalidError is returned for a configuration that was rejected because of an
// invalid field.
type InvalidError = proposer.InvalidError

// NotLeaderError is returned when another replica is the leader.
type NotLeaderError = proposer.NotLeaderError

// Replica is the subset of the methods of [replicator.Replica] that a Configurer
// needs.
type Replica interface {
	proposer.Replica
	Query(ctx context.Context, query any) (any, error)
}

// Options configure a Configurer.
type Options struct {
	// ToleratedLosses is the number of disks that may fail at once without the loss
	// of an acknowledged change.
	ToleratedLosses int
	Log             *logger.Log
}

// Configurer replaces and reads the configuration through a replica. It is safe for
// concurrent use.
type Configurer struct {
	replica Replica
	changes *proposer.Proposer
	options Options
}

// New returns a Configurer that reads from and proposes changes to replica.
func New(replica Replica, options Options) *Configurer {
	return &Configurer{
		replica: replica,
		changes: proposer.New(replica, proposer.Options{ToleratedLosses: options.ToleratedLosses}),
		options: options,
	}
}

// Put replaces the configuration, unless the current one has the same or a higher
// version. It decodes source, which is stored unchanged with the result. It
// returns the revision of the change once the change is committed.
func (c *Configurer) Put(ctx context.Context, source []byte, decode func(source []byte) (*messenger.Configuration, error)) (revision uint64, err error) {
	configuration, err := decode(source)
	if err != nil {
		return 0, c.logRefusal(0, &InvalidError{Field: "body", Reason: err.Error()})
	}
	committed, err := c.changes.Commit(ctx, &assigner.Command{
		Configure: &assigner.Configure{Configuration: *configuration, Source: source},
	})
	var invalid *InvalidError
	var moved *NotLeaderError
	switch {
	case errors.As(err, &invalid):
		return 0, c.logRefusal(configuration.Version, invalid)
	case errors.As(err, &moved):
		return 0, moved
	case err != nil:
		return 0, Error.New("committing version %d: %w", configuration.Version, err)
	}
	c.options.Log.Emit(logger.ConfigurationCommitted, "version", configuration.Version,
		"changed", committed.Result.Count > 0, "index", committed.Index)
	return committed.Index, nil
}

// logRefusal logs a rejected configuration and returns invalid.
func (c *Configurer) logRefusal(version uint64, invalid *InvalidError) error {
	c.options.Log.Emit(logger.ConfigurationRejected, "version", version, "field", invalid.Field, "reason", invalid.Reason)
	return invalid
}

// Current returns the source text of the current configuration, and nil if there is
// none yet.
func (c *Configurer) Current(ctx context.Context) ([]byte, error) {
	result, err := c.replica.Query(ctx, supervisor.ConfigurationQuery{})
	if err != nil {
		return nil, Error.New("%w: %w", ErrUnavailable, err)
	}
	switch response := result.(type) {
	case *supervisor.ConfigurationResponse:
		return response.Source, nil
	case *supervisor.NotLeader:
		return nil, c.changes.NotLeaderError()
	}
	return nil, Error.New("answer about the configuration is a %T", result)
}
