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
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/control/assigner"
	"marigoldhill/control/enroller"
	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("configurer")

// ErrUnavailable means that the group has no confirmed leader, has too few members,
// or failed to complete the operation. It leaves open whether a change was applied.
// It is safe to retry the change.
var ErrUnavailable = errs.New("control group is not available")

// InvalidError is returned for a configuration that was rejected because of an
// invalid field.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

// NotLeaderError is returned when another replica is the leader.
type NotLeaderError struct {
	Leader messenger.Member
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return "replica " + e.Leader.Name + " leads"
}

// Replica is the subset of the methods of [replicator.Replica] that a Configurer
// needs.
type Replica interface {
	Propose(ctx context.Context, command []byte) (replicator.Proposal, error)
	Query(ctx context.Context, query any) (any, error)
	RaftStatus() replicator.RaftStatus
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
	options Options
}

// New returns a Configurer that reads from and proposes changes to replica.
func New(replica Replica, options Options) *Configurer {
	return &Configurer{replica: replica, options: options}
}

// Put replaces the configuration, unless the current one has the same or a higher
// version. It decodes source, which is stored unchanged with the result. It
// returns the revision of the change once the change is committed.
func (c *Configurer) Put(ctx context.Context, source []byte, decode func(source []byte) (*messenger.Configuration, error)) (revision uint64, err error) {
	configuration, err := decode(source)
	if err != nil {
		return 0, c.logRefusal(0, &InvalidError{Field: "body", Reason: err.Error()})
	}
	if err := c.checkLeader(); err != nil {
		return 0, err
	}
	data, err := assigner.Encode(&assigner.Command{
		Time:      time.Now().UnixMilli(),
		Configure: &assigner.Configure{Configuration: *configuration, Source: source},
	})
	if err != nil {
		return 0, Error.New("encoding version %d: %w", configuration.Version, err)
	}
	proposal, err := c.replica.Propose(ctx, data)
	if err != nil {
		if errors.Is(err, replicator.ErrNotLeader) {
			return 0, c.notLeaderError()
		}
		return 0, Error.New("committing version %d: %w: %w", configuration.Version, ErrUnavailable, err)
	}
	result, ok := proposal.Result.(assigner.Result)
	if !ok {
		return 0, Error.New("result of a change is a %T", proposal.Result)
	}
	if result.Verdict != assigner.VerdictApplied {
		return 0, c.logRefusal(configuration.Version, &InvalidError{Field: result.Field, Reason: result.Reason})
	}
	c.options.Log.Emit(logger.ConfigurationCommitted, "version", configuration.Version,
		"changed", result.Count > 0, "index", proposal.Index)
	return proposal.Index, nil
}

// logRefusal logs a rejected configuration and returns invalid.
func (c *Configurer) logRefusal(version uint64, invalid *InvalidError) error {
	c.options.Log.Emit(logger.ConfigurationRejected, "version", version, "field", invalid.Field, "reason", invalid.Reason)
	return invalid
}

// checkLeader returns an error unless this replica is a confirmed leader of a group
// that is large enough for [Options.ToleratedLosses].
func (c *Configurer) checkLeader() error {
	raftStatus := c.replica.RaftStatus()
	if !raftStatus.Leading {
		return c.notLeaderError()
	}
	if !raftStatus.Confirmed || !enroller.ToleratesLosses(len(raftStatus.Members), c.options.ToleratedLosses) {
		return Error.New("%w: %d members, confirmed %t", ErrUnavailable, len(raftStatus.Members), raftStatus.Confirmed)
	}
	return nil
}

// notLeaderError returns a [NotLeaderError], or [ErrUnavailable] if no other replica
// is known to be the leader.
func (c *Configurer) notLeaderError() error {
	raftStatus := c.replica.RaftStatus()
	if raftStatus.Leader.Name == "" || raftStatus.Leader.Name == raftStatus.Name {
		return Error.New("%w: no leader is known", ErrUnavailable)
	}
	return &NotLeaderError{Leader: raftStatus.Leader}
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
		return nil, c.notLeaderError()
	}
	return nil, Error.New("answer about the configuration is a %T", result)
}
