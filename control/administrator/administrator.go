// Package administrator implements the operator interface of a control replica,
// an HTTP API. docs/OPERATOR.md specifies each call.
//
// Only the leader serves calls. Other replicas redirect to the operator interface
// of the leader with status 307, or respond with 503 and Retry-After when there is no
// leader.
//
// # Usage
//
//	handler := administrator.New(replica, administrator.Options{Log: log, Metrics: set}).Handler()
//	server := http.Server{Addr: operatorAddress, Handler: handler}
package administrator

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"marigoldhill/control/configurer"
	"marigoldhill/control/proposer"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("administrator")

const (
	// requestTimeout limits each query or proposal of a call.
	requestTimeout = 5 * time.Second
	// memberChangeTimeout limits a membership change. It is longer than
	// requestTimeout because adding a member waits until it has caught up with
	// the log.
	memberChangeTimeout = 30 * time.Second
	// maxBodyBytes limits the body of all calls except PUT /v1/configuration.
	maxBodyBytes = 256 << 10
	// maxConfigurationBytes limits the body of PUT /v1/configuration. It is enough
	// for about 100,000 routes.
	maxConfigurationBytes = 32 << 20
	// retryAfterSeconds is the value of Retry-After in responses with status 503.
	retryAfterSeconds = "1"
)

// Replica is the subset of the methods of [replicator.Replica] that an
// Administrator needs.
type Replica interface {
	// Propose replicates a command and returns once it is committed and applied.
	Propose(ctx context.Context, command []byte) (replicator.Proposal, error)
	// Query reads from the state machine.
	Query(ctx context.Context, query any) (any, error)
	// RaftStatus returns the role of the replica and the members of the group.
	RaftStatus() replicator.RaftStatus
	// AddMember and RemoveMember change the membership of the group. They return
	// the log index of the change.
	AddMember(ctx context.Context, member messenger.Member) (uint64, error)
	RemoveMember(ctx context.Context, name string) (uint64, error)
}

// Options configure an Administrator.
type Options struct {
	// ToleratedLosses is the number of disks that may fail at once without the loss
	// of an acknowledged configuration or evacuation.
	ToleratedLosses int
	// Log discards all events if nil.
	Log *logger.Log
	// Metrics holds the counters. If nil, they are not exported.
	Metrics *metrics.Set
}

// Administrator serves the operator interface. It is safe for concurrent use.
type Administrator struct {
	replica        Replica
	options        Options
	configurations *configurer.Configurer
	changes        *proposer.Proposer
}

// New returns an Administrator that reads from and proposes changes to replica.
func New(replica Replica, options Options) *Administrator {
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	return &Administrator{
		replica:        replica,
		options:        options,
		configurations: configurer.New(replica, configurer.Options{ToleratedLosses: options.ToleratedLosses, Log: options.Log}),
		changes:        proposer.New(replica, proposer.Options{ToleratedLosses: options.ToleratedLosses}),
	}
}

// Handler returns an HTTP handler for the whole operator interface.
func (a *Administrator) Handler() http.Handler {
	server := echo.New()
	server.HTTPErrorHandler = a.writeProblem
	server.Group("/v1", limitBody(maxConfigurationBytes)).PUT("/configuration", a.putConfiguration)
	api := server.Group("/v1", limitBody(maxBodyBytes))
	api.GET("/configuration", a.getConfiguration)
	api.GET("/status", a.getStatus)
	api.GET("/profiles", a.listProfiles)
	api.GET("/profiles/:name", a.getProfile)
	api.PUT("/profiles/:name", a.putProfile)
	api.DELETE("/profiles/:name", a.deleteProfile)
	api.GET("/services", a.listServices)
	api.GET("/services/:name", a.getService)
	api.PUT("/services/:name", a.putService)
	api.GET("/explain", a.getExplanation)
	api.GET("/events", a.listEvents)
	api.GET("/progress", a.getProgress)
	api.PUT("/drains/:server", a.putDrain)
	api.DELETE("/drains/:server", a.deleteDrain)
	api.GET("/evacuations", a.listEvacuations)
	api.PUT("/evacuations/:domain", a.putEvacuation)
	api.DELETE("/evacuations/:domain", a.deleteEvacuation)
	api.GET("/members", a.listMembers)
	api.POST("/members", a.addMember)
	api.DELETE("/members/:name", a.removeMember)
	api.GET("/quarantines", a.listQuarantines)
	api.DELETE("/quarantines/:fingerprint", a.liftQuarantine)
	return server
}

// limitBody returns middleware that makes reads of a request body fail after limit
// bytes.
func limitBody(limit int64) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			request := c.Request()
			request.Body = http.MaxBytesReader(c.Response(), request.Body, limit)
			return next(c)
		}
	}
}
