package timer

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two checks whether the process ran.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the shortest time between two checks that counts as a pause. Shorter ones
	// are delays of a busy processor.
	minPause = 500 * time.Millisecond
)

// pauseMeter sums the times in which the process did not run, as when it was stopped or had
// no processor. It relies on being checked every pauseCheckInterval.
type pauseMeter struct {
	mu      sync.Mutex
	watched bool
	checked time.Time
	total   time.Duration
}

// processPauses is the meter of this process.
var processPauses pauseMeter

// check counts the time since the last check if it is a pause, and returns the sum.
func (p *pauseMeter) check() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.watched {
		return p.total
	}
	now := time.Now()
	if gap := now.Sub(p.checked); gap >= minPause {
		p.total += gap
	}
	p.checked = now
	return p.total
}

// watch checks for pauses until ctx is done, and calls onPause after each.
func (p *pauseMeter) watch(ctx context.Context, onPause func(pause time.Duration)) {
	p.mu.Lock()
	p.watched, p.checked = true, time.Now()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.watched = false
		p.mu.Unlock()
	}()
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	reported := p.check()
	for {
		select {
		case <-ticker.C:
			if total := p.check(); total > reported {
				onPause(total - reported)
				reported = total
			}
		case <-ctx.Done():
			return
		}
	}
}

// WatchPauses measures the time in which the process does not run, until ctx is done. It calls
// onPause after each pause. It must not be called again before it has returned.
func WatchPauses(ctx context.Context, onPause func(pause time.Duration)) {
	processPauses.watch(ctx, onPause)
}

// Paused returns for how long the process has not run, in all, while WatchPauses was
// running. A pause counts as soon as the process runs again.
func Paused() time.Duration {
	return processPauses.check()
}

// Stopwatch measures how long something else took: pauses of this process do not count.
type Stopwatch struct {
	started time.Time
	paused  time.Duration
}

// StartStopwatch returns a Stopwatch that runs from now on.
func StartStopwatch() Stopwatch {
	return Stopwatch{started: time.Now(), paused: Paused()}
}

// Elapsed returns the time since the start without pauses of the process.
func (s Stopwatch) Elapsed() time.Duration {
	return time.Since(s.started) - s.Paused()
}

// Paused returns for how long the process has not run since the start.
func (s Stopwatch) Paused() time.Duration {
	return Paused() - s.paused
}
