// Package budgeter limits how many requests are sent to backend servers again. Package
// relayer uses it in routed mode; in sharded mode package forwarder uses package
// retrier.
//
// The routers of a fleet share the budget of a service without communication: each
// may retry a ratio of the requests that it has sent itself, plus an equal share of
// a fixed reserve.
//
// # Usage
//
//	budget := budgeter.New(budgeter.Settings{Ratio: 0.2, Reserve: 58, Window: 10 * time.Second})
//	budget.CountRequest(now, "findings")
//	if budget.Take(now, "findings", routers) { ... } // send it again
package budgeter

import (
	"sync"
	"time"
)

// Settings are the limits for a whole fleet.
type Settings struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64 `yaml:"ratio"`
	// Reserve is the number of retries allowed per window in addition.
	Reserve float64 `yaml:"reserve"`
	// Window is the time over which requests and retries are counted.
	Window time.Duration `yaml:"window"`
}

// safetyFactor is the share of the budget that is used. Retries caused elsewhere,
// such as by a server that refuses first attempts, are counted late.
const safetyFactor = 0.6

// Budgeter counts requests and retries by service. It is safe for concurrent use.
type Budgeter struct {
	settings Settings

	mu       sync.Mutex
	services map[string]*counters
}

// counters holds the requests and retries of the previous and the current half of a
// window.
type counters struct {
	start   time.Duration
	sent    [2]float64
	retried [2]float64
}

func New(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, services: make(map[string]*counters)}
}

func (b *Budgeter) counters(now time.Duration, service string) *counters {
	counted := b.services[service]
	if counted == nil {
		counted = &counters{start: now}
		b.services[service] = counted
	}
	half := b.settings.Window / 2
	for half > 0 && now-counted.start >= half {
		counted.start += half
		counted.sent[0], counted.sent[1] = counted.sent[1], 0
		counted.retried[0], counted.retried[1] = counted.retried[1], 0
		if now-counted.start >= 4*half {
			counted.start = now
		}
	}
	return counted
}

// CountRequest counts the first attempt of a request.
func (b *Budgeter) CountRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters(now, service).sent[1]++
}

// Take reports whether the budget allows one more retry, and counts it if so. routers
// is the number of routers that share the reserve.
func (b *Budgeter) Take(now time.Duration, service string, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := b.counters(now, service)
	limit := safetyFactor * (b.settings.Ratio*(counted.sent[0]+counted.sent[1]) + b.settings.Reserve/float64(max(routers, 1)))
	if counted.retried[0]+counted.retried[1]+1 > limit {
		return false
	}
	counted.retried[1]++
	return true
}
