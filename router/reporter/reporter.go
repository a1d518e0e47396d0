// Package reporter sends events to the control group that are not part of the
// periodic heartbeats: crashes of the backend server and stalled requests.
//
// # Usage
//
//	reports := reporter.New(reporter.Options{Control: members, Opener: pool, LeaseSource: keeper, Metrics: set})
//	go reports.Run(ctx)
//	reports.Send(messenger.Report{Stalled: "archives: a key waits"})
package reporter

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/keeper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("reporter")

const (
	// queueSize is the maximum number of reports waiting to be sent.
	queueSize = 64
	// attemptTimeout limits one attempt to send a report, retryDelay is the pause
	// before the next attempt.
	attemptTimeout = 300 * time.Millisecond
	retryDelay     = 100 * time.Millisecond
	// deliveryTimeout is the time after which a report is dropped.
	deliveryTimeout = 10 * time.Second
)

// LeaseSource returns the lease of the router.
type LeaseSource interface {
	Lease() *keeper.Lease
}

// Options are the dependencies of a Reporter.
type Options struct {
	// Control returns the addresses of the members of the control group.
	Control     func() []string
	Opener      linker.Opener
	LeaseSource LeaseSource
	Metrics     *metrics.Set
}

// Reporter sends reports one at a time, in order. Send is safe for concurrent use.
type Reporter struct {
	options    Options
	reports    chan messenger.Report
	lastNumber uint64
	// nextMember selects the member of Options.Control for the next attempt.
	// leaderAddress takes precedence: it is the member that accepted the last report
	// or that another member named as the leader; empty when unknown.
	nextMember    int
	leaderAddress string
}

// New returns a Reporter.
func New(options Options) *Reporter {
	return &Reporter{options: options, reports: make(chan messenger.Report, queueSize)}
}

// Send queues a report. When the queue is full, the report is dropped and counted.
func (r *Reporter) Send(report messenger.Report) {
	select {
	case r.reports <- report:
	default:
		r.count("full")
	}
}

// Run sends reports until ctx is done. It must be called only once.
func (r *Reporter) Run(ctx context.Context) {
	for {
		select {
		case report := <-r.reports:
			r.deliver(ctx, report)
		case <-ctx.Done():
			return
		}
	}
}

// deliver retries a report until it is accepted or deliveryTimeout has passed.
func (r *Reporter) deliver(ctx context.Context, report messenger.Report) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	r.lastNumber++
	report.Number = r.lastNumber
	for ctx.Err() == nil {
		report.Session = r.options.LeaseSource.Lease().Session
		if report.Session != 0 && r.attempt(ctx, &report) {
			r.count("sent")
			return
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
	r.count("failed")
}

// attempt sends a report once and reports whether it was accepted.
func (r *Reporter) attempt(ctx context.Context, report *messenger.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	address := r.leaderAddress
	if address == "" {
		members := r.options.Control()
		if len(members) == 0 {
			return false
		}
		address = members[r.nextMember%len(members)]
	}
	response, err := linker.Call[messenger.Report, messenger.ReportResponse](
		ctx, r.options.Opener, address, messenger.KindReport, report)
	r.leaderAddress = ""
	if err == nil && response.Accepted {
		r.leaderAddress = address
		return true
	}
	if err == nil && response.Leader != "" && response.Leader != address {
		r.leaderAddress = response.Leader
		return false
	}
	r.nextMember++
	return false
}

func (r *Reporter) count(reason string) {
	r.options.Metrics.GetOrCreateCounter(`marigold_reports_total{reason="` + reason + `"}`).Inc()
}
