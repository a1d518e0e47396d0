// Package budgeter bounds how often requests are sent to backend servers again.
//
// The budget of a service is shared by all routers without talking: each spends
// a part of the requests that it sent itself, and an equal part of a fixed
// reserve.
//
// # Usage
//
//	budget := budgeter.New(budgeter.Settings{Ratio: 0.2, Reserve: 58, Window: 10 * time.Second})
//	budget.Sent("findings")
//	if budget.Take(now, "findings", routers) { ... } // send it again
package budgeter

import (
	"sync"
	"time"
)

// Settings are those of a whole fleet.
type Settings struct {
	// Ratio is how many repeats may be sent for each request.
	Ratio float64 `yaml:"ratio"`
	// Reserve is how many more may be sent in each window.
	Reserve float64 `yaml:"reserve"`
	// Window is the time over which repeats are counted.
	Window time.Duration `yaml:"window"`
}

// safety is the part of the budget that is used. Repeats that others cause, such
// as a server's refusals of first sends, are counted late.
const safety = 0.6

// Budgeter is safe for concurrent use.
type Budgeter struct {
	settings Settings

	mu       sync.Mutex
	services map[string]*account
}

// account counts over two halves of a window.
type account struct {
	start time.Duration
	sent  [2]float64
	spent [2]float64
}

// New returns a Budgeter.
func New(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, services: make(map[string]*account)}
}

func (b *Budgeter) account(now time.Duration, service string) *account {
	known := b.services[service]
	if known == nil {
		known = &account{start: now}
		b.services[service] = known
	}
	half := b.settings.Window / 2
	for half > 0 && now-known.start >= half {
		known.start += half
		known.sent[0], known.sent[1] = known.sent[1], 0
		known.spent[0], known.spent[1] = known.spent[1], 0
		if now-known.start >= 4*half {
			known.start = now
		}
	}
	return known
}

// Sent notes that a request was sent for the first time.
func (b *Budgeter) Sent(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(now, service).sent[1]++
}

// Take spends one repeat and reports whether the budget allows it. Routers is how
// many share the reserve.
func (b *Budgeter) Take(now time.Duration, service string, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.account(now, service)
	limit := safety * (b.settings.Ratio*(known.sent[0]+known.sent[1]) + b.settings.Reserve/float64(max(routers, 1)))
	if known.spent[0]+known.spent[1]+1 > limit {
		return false
	}
	known.spent[1]++
	return true
}
