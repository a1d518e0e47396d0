// Package configurer takes whole configurations from operators and gives them
// back.
//
// A change is acknowledged once it is committed by a group so large that the
// change outlives the loss of as many disks as the settings say. A read is
// answered only by a leader that a majority has just confirmed, so it never
// shows an older configuration than one that was acknowledged.
//
// # Usage
//
//	changes := configurer.New(replica, configurer.Options{Losses: 2, Log: log})
//	revision, err := changes.Put(ctx, source, decode)
//	var moved *configurer.MovedError
//	if errors.As(err, &moved) { ... } // ask at moved.Leader.Operator
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

// ErrUnavailable means that the group can't answer for certain just now. After a
// change it does not say whether the change is in force; it may be sent again.
var ErrUnavailable = errs.New("control group is not available")

// InvalidError says what is wrong with a configuration, which was not taken.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

// MovedError says that another replica leads.
type MovedError struct {
	Leader messenger.Member
}

// Error implements error.
func (e *MovedError) Error() string {
	return "replica " + e.Leader.Name + " leads"
}

// Replica is the part of a replica that a Configurer uses.
type Replica interface {
	Propose(ctx context.Context, command []byte) (replicator.Proposal, error)
	Query(ctx context.Context, query any) (any, error)
	Standing() replicator.Standing
}

// Options are the settings of a Configurer.
type Options struct {
	// Losses is how many disks may be lost at once.
	Losses int
	Log    *logger.Log
}

// Configurer is safe for concurrent use.
type Configurer struct {
	replica Replica
	options Options
}

// New returns a Configurer over a replica.
func New(replica Replica, options Options) *Configurer {
	return &Configurer{replica: replica, options: options}
}

// Put puts a configuration into force, unless one of the same or a higher version
// is. Decode reads what the operator sent. It returns the revision of the change
// once the change is safe.
func (c *Configurer) Put(ctx context.Context, source []byte, decode func(source []byte) (*messenger.Configuration, error)) (revision uint64, err error) {
	configuration, err := decode(source)
	if err != nil {
		return 0, c.refuse(0, &InvalidError{Field: "body", Reason: err.Error()})
	}
	if err := c.checkLead(); err != nil {
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
			return 0, c.moved()
		}
		return 0, Error.New("committing version %d: %w: %w", configuration.Version, ErrUnavailable, err)
	}
	result, ok := proposal.Result.(assigner.Result)
	if !ok {
		return 0, Error.New("result of a change is a %T", proposal.Result)
	}
	if result.Verdict != assigner.VerdictApplied {
		return 0, c.refuse(configuration.Version, &InvalidError{Field: result.Field, Reason: result.Reason})
	}
	c.options.Log.Emit(logger.ConfigurationTaken, "version", configuration.Version,
		"changed", result.Count > 0, "index", proposal.Index)
	return proposal.Index, nil
}

// refuse logs a configuration that was not taken.
func (c *Configurer) refuse(version uint64, invalid *InvalidError) error {
	c.options.Log.Emit(logger.ConfigurationRefused, "version", version, "field", invalid.Field, "reason", invalid.Reason)
	return invalid
}

// checkLead reports whether a change may be proposed here.
func (c *Configurer) checkLead() error {
	standing := c.replica.Standing()
	if !standing.Leading {
		return c.moved()
	}
	if !standing.Confirmed || !enroller.Endures(len(standing.Members), c.options.Losses) {
		return Error.New("%w: %d members, confirmed %t", ErrUnavailable, len(standing.Members), standing.Confirmed)
	}
	return nil
}

// moved says who leads instead.
func (c *Configurer) moved() error {
	standing := c.replica.Standing()
	if standing.Leader.Name == "" || standing.Leader.Name == standing.Name {
		return Error.New("%w: no leader is known", ErrUnavailable)
	}
	return &MovedError{Leader: standing.Leader}
}

// Current returns the newest configuration as its operator sent it, nil before
// the first one.
func (c *Configurer) Current(ctx context.Context) ([]byte, error) {
	answer, err := c.replica.Query(ctx, supervisor.ConfigurationQuestion{})
	if err != nil {
		return nil, Error.New("%w: %w", ErrUnavailable, err)
	}
	switch typed := answer.(type) {
	case *supervisor.ConfigurationAnswer:
		return typed.Source, nil
	case *supervisor.NotLeading:
		return nil, c.moved()
	}
	return nil, Error.New("answer about the configuration is a %T", answer)
}
