// Package administrator serves the operator interface of a control replica over
// HTTP. docs/OPERATOR.md specifies each call.
//
// Only the leader answers. Another replica redirects to the leader's operator
// interface with 307, and answers 503 with Retry-After while there is none.
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
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("administrator")

const (
	// requestTime bounds one call, but for those that wait for events.
	requestTime = 5 * time.Second
	// memberTime bounds a change of the members, which waits until a new one
	// has caught up.
	memberTime = 30 * time.Second
	// maxBody is the largest body of a call in bytes.
	maxBody = 256 << 10
	// maxConfiguration is the largest configuration in bytes: some 100,000
	// routes.
	maxConfiguration = 32 << 20
	// retryAfter is the value of Retry-After without a leader, in seconds.
	retryAfter = "1"
)

// Replica is the part of a replica that an Administrator uses.
type Replica interface {
	// Propose commits and applies a command.
	Propose(ctx context.Context, command []byte) (replicator.Proposal, error)
	// Query asks the state machine of the replica.
	Query(ctx context.Context, query any) (any, error)
	// Standing is the place of the replica in the group.
	Standing() replicator.Standing
	// AddMember and RemoveMember change the group; they return the log index.
	AddMember(ctx context.Context, member messenger.Member) (uint64, error)
	RemoveMember(ctx context.Context, name string) (uint64, error)
}

// Options are the settings of an Administrator.
type Options struct {
	// Losses is how many disks may be lost at once without a configuration.
	Losses int
	Log    *logger.Log
	// Metrics gets the counters; nil counts nothing.
	Metrics *metrics.Set
}

// Administrator serves operators. It is safe for concurrent use.
type Administrator struct {
	replica        Replica
	options        Options
	configurations *configurer.Configurer
}

// New returns an Administrator over replica.
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
		configurations: configurer.New(replica, configurer.Options{Losses: options.Losses, Log: options.Log}),
	}
}

// Handler returns the handler of all calls.
func (a *Administrator) Handler() http.Handler {
	server := echo.New()
	server.HTTPErrorHandler = a.fail
	server.Group("/v1", limitBody(maxConfiguration)).PUT("/configuration", a.putConfiguration)
	api := server.Group("/v1", limitBody(maxBody))
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
	api.GET("/members", a.listMembers)
	api.POST("/members", a.addMember)
	api.DELETE("/members/:name", a.removeMember)
	api.GET("/quarantines", a.listQuarantines)
	api.DELETE("/quarantines/:fingerprint", a.liftQuarantine)
	return server
}

// limitBody ends the reading of a body that is larger than limit bytes.
func limitBody(limit int64) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			request := c.Request()
			request.Body = http.MaxBytesReader(c.Response(), request.Body, limit)
			return next(c)
		}
	}
}
