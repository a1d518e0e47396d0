// Package receiver handles heartbeats and reports from routers on a control replica.
//
// # Usage
//
//	handler := receiver.New(replica, receiver.Options{Log: log, Metrics: set})
//	options := linker.Options{Hello: hello, Handler: handler.Handle}
package receiver

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("receiver")

// handleTimeout limits the handling of one heartbeat or report.
const handleTimeout = time.Second

// Replica is the subset of the methods of [replicator.Replica] that a Receiver
// needs.
type Replica interface {
	// Propose replicates a command and returns once it is committed and applied.
	Propose(ctx context.Context, command []byte) (replicator.Proposal, error)
	// Query reads from the state machine.
	Query(ctx context.Context, query any) (any, error)
}

// Options configure a Receiver.
type Options struct {
	Log *logger.Log
	// Metrics holds the counters. If nil, they are not exported.
	Metrics *metrics.Set
}

// Receiver handles heartbeats and reports. It is safe for concurrent use.
type Receiver struct {
	replica Replica
	metrics *metrics.Set
	encoder *encoder
}

// New returns a Receiver that reads from and proposes commands to replica.
func New(replica Replica, options Options) *Receiver {
	set := options.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	return &Receiver{replica: replica, metrics: set, encoder: newEncoder()}
}

// Handle is a [linker.Handler] for streams of the kinds heartbeat and report.
func (r *Receiver) Handle(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	err := r.serve(ctx, stream)
	if err != nil {
		r.metrics.GetOrCreateCounter(`marigold_control_refusals_total{reason="stream"}`).Inc()
	}
}

func (r *Receiver) serve(ctx context.Context, stream *linker.Stream) error {
	switch stream.Kind() {
	case messenger.KindHeartbeat:
		return linker.Respond(stream, func(request *messenger.Heartbeat) (*wireResponse, error) {
			return r.heartbeat(ctx, request)
		})
	case messenger.KindReport:
		return linker.Respond(stream, func(report *messenger.Report) (*messenger.ReportResponse, error) {
			return r.report(ctx, report)
		})
	}
	return Error.New("stream of kind %d", stream.Kind())
}

func (r *Receiver) heartbeat(ctx context.Context, request *messenger.Heartbeat) (*wireResponse, error) {
	response, err := r.replica.Query(ctx, request)
	if err != nil {
		return nil, Error.New("querying the replica for a heartbeat: %w", err)
	}
	typed, ok := response.(*messenger.HeartbeatResponse)
	if !ok {
		return nil, Error.New("response to a heartbeat is a %T", response)
	}
	return r.encoder.encode(typed)
}

// report returns an accepting response only once the report is committed.
func (r *Receiver) report(ctx context.Context, report *messenger.Report) (*messenger.ReportResponse, error) {
	response, err := r.replica.Query(ctx, report)
	if err != nil {
		return nil, Error.New("querying the replica for a report: %w", err)
	}
	switch typed := response.(type) {
	case *messenger.ReportResponse:
		return typed, nil
	case *supervisor.NotLeader:
		return &messenger.ReportResponse{Leader: typed.Leader.Address}, nil
	case *supervisor.ReportProposal:
		return r.commit(ctx, typed.Command)
	}
	return nil, Error.New("response to a report is a %T", response)
}

func (r *Receiver) commit(ctx context.Context, command []byte) (*messenger.ReportResponse, error) {
	if _, err := r.replica.Propose(ctx, command); err != nil {
		return nil, Error.New("committing a report: %w", err)
	}
	return &messenger.ReportResponse{Accepted: true}, nil
}
