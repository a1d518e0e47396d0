// Package loader sends load to routers and counts what becomes of each request.
//
// Arrivals are open-loop: their times do not depend on the answers, and latency
// is counted from when a request was due. Every arrival ends in one outcome.
// Afterwards the stand-in servers are asked how often each numbered request ran.
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

// Run sends the load that settings describe and waits for all outcomes. When
// ctx ends, no more is sent, and what is in flight counts as lost.
func Run(ctx context.Context, settings Settings, network networker.Network) (Report, error) {
	if err := settings.Check(); err != nil {
		return Report{}, err
	}
	caller := newCaller(settings, network)
	defer caller.client.CloseIdleConnections()

	tally := newTally(settings)
	results := make(chan result, settings.Flight)
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for result := range results {
			tally.add(result)
		}
	}()
	started := time.Now()
	send(ctx, settings, caller, results, started)
	close(results)
	<-counted
	report := tally.report(time.Since(started))
	err := report.readRuns(context.WithoutCancel(ctx), settings, caller.client)
	return report, err
}

// send starts each arrival when it is due, and returns after the last outcome.
func send(ctx context.Context, settings Settings, caller caller, results chan<- result, started time.Time) {
	var flying sync.WaitGroup
	defer flying.Wait()
	places := make(chan struct{}, settings.Flight)
	schedule := newArrivals(settings)
	for {
		arrival, more := schedule.next()
		if !more || !sleepUntil(ctx, started.Add(arrival.due)) {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			results <- result{kind: arrival.kind, key: arrival.key, due: arrival.due, outcome: OutcomeUnsent}
			continue
		}
		flying.Go(func() {
			found := caller.call(ctx, arrival)
			found.latency = time.Since(started) - arrival.due
			<-places
			results <- found
		})
	}
}

// sleepUntil waits until due and reports whether ctx still lives.
func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
