// Package reporter brings reports to the control group that do not fit the
// rhythm of heartbeats: deaths of the backend server and stalled requests.
//
// # Usage
//
//	reports := reporter.New(reporter.Options{Control: addresses, Opener: pool, Leaser: keeper, Metrics: set})
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
	// maxReports is how many reports wait to be sent.
	maxReports = 64
	// tryTime bounds one send, tryPause is the time before the next.
	tryTime  = 300 * time.Millisecond
	tryPause = 100 * time.Millisecond
	// giveUpTime is how long a report is tried.
	giveUpTime = 10 * time.Second
)

// Leaser tells the lease of the router.
type Leaser interface {
	Lease() *keeper.Lease
}

// Options are the parts that a Reporter works with.
type Options struct {
	// Control are the addresses of the members of the control group.
	Control []string
	Opener  linker.Opener
	Leaser  Leaser
	Metrics *metrics.Set
}

// Reporter sends reports in order. Send is safe for concurrent use.
type Reporter struct {
	options Options
	reports chan messenger.Report
	number  uint64
	// target is the member that is asked next, leader where it pointed.
	target int
	leader string
}

// New returns a Reporter.
func New(options Options) *Reporter {
	return &Reporter{options: options, reports: make(chan messenger.Report, maxReports)}
}

// Send queues a report. When there is no room, it is dropped and counted.
func (r *Reporter) Send(report messenger.Report) {
	select {
	case r.reports <- report:
	default:
		r.count("full")
	}
}

// Run sends reports until ctx ends. It must be called once.
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

// deliver sends one report until it is taken.
func (r *Reporter) deliver(ctx context.Context, report messenger.Report) {
	ctx, cancel := context.WithTimeout(ctx, giveUpTime)
	defer cancel()
	r.number++
	report.Number = r.number
	for ctx.Err() == nil {
		report.Session = r.options.Leaser.Lease().Session
		if report.Session != 0 && r.try(ctx, &report) {
			r.count("sent")
			return
		}
		select {
		case <-time.After(tryPause):
		case <-ctx.Done():
		}
	}
	r.count("failed")
}

// try sends a report once and reports whether it was taken.
func (r *Reporter) try(ctx context.Context, report *messenger.Report) bool {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	address := r.leader
	if address == "" {
		address = r.options.Control[r.target%len(r.options.Control)]
	}
	answer, err := linker.Call[messenger.Report, messenger.ReportAnswer](
		ctx, r.options.Opener, address, messenger.KindReport, report)
	r.leader = ""
	if err == nil && answer.Accepted {
		r.leader = address
		return true
	}
	if err == nil && answer.Leader != "" && answer.Leader != address {
		r.leader = answer.Leader
		return false
	}
	r.target++
	return false
}

func (r *Reporter) count(reason string) {
	r.options.Metrics.GetOrCreateCounter(`marigold_reports_total{reason="` + reason + `"}`).Inc()
}
