// Package loader generates load on routers and records the outcome of each request.
//
// Arrivals are open-loop: their times do not depend on the responses, and latency
// is measured from when a request was due. Every arrival has exactly one outcome.
// After the run, the loader reads from the stand-in servers how often each request
// with an Idempotency-Key ran.
//
// # Usage
//
//	report, err := loader.Run(ctx, settings, networker.TCP{})
//	fmt.Print(report.Table())
package loader

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loader")

// Run generates the load described by settings and waits for all outcomes. When
// ctx is done, no more requests are sent, and those in flight count as lost.
func Run(ctx context.Context, settings Settings, network networker.Network) (Report, error) {
	if err := settings.Check(); err != nil {
		return Report{}, err
	}
	caller := newCaller(settings, network)
	defer caller.client.CloseIdleConnections()

	aggregator := newAggregator(settings)
	results := make(chan result, settings.Flight)
	aggregated := make(chan struct{})
	go func() {
		defer close(aggregated)
		for result := range results {
			aggregator.add(result)
		}
	}()
	started := time.Now()
	send(ctx, settings, caller, results, started)
	close(results)
	<-aggregated
	report := aggregator.report(time.Since(started))
	err := report.fetchRuns(context.WithoutCancel(ctx), settings, caller.client)
	return report, err
}

// send sends the request of each arrival when it is due. It returns after the last
// outcome.
func send(ctx context.Context, settings Settings, caller caller, results chan<- result, started time.Time) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	permits := make(chan struct{}, settings.Flight)
	schedule := newSchedule(settings)
	for {
		arrival, more := schedule.next()
		if !more || !sleepUntil(ctx, started.Add(arrival.due)) {
			return
		}
		select {
		case permits <- struct{}{}:
		default:
			results <- result{kind: arrival.kind, key: arrival.key, due: arrival.due, outcome: OutcomeUnsent}
			continue
		}
		inFlight.Go(func() {
			record := caller.call(ctx, arrival)
			record.latency = time.Since(started) - arrival.due
			<-permits
			results <- record
		})
	}
}

// sleepUntil waits until due. It returns false if ctx is done before.
func sleepUntil(ctx context.Context, due time.Time) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
