package responder

import (
	"net/http"
	"time"
)

// ReportMode selects how a stand-in server reports its load or health.
type ReportMode string

// Ways to report load and health.
const (
	// ReportTrue reports the actual state.
	ReportTrue ReportMode = "true"
	// ReportIdle always reports no load and the state ready.
	ReportIdle ReportMode = "idle"
	// ReportBusy always reports full load and the state cold.
	ReportBusy ReportMode = "busy"
)

// Settings configure a Server.
type Settings struct {
	// Name and Service are announced to the router.
	Name    string
	Service string
	// Listen is the address to listen at, host:port.
	Listen string
	// Router is the base URL of the local router's backend interface. If it is
	// empty, the server does not announce itself.
	Router string
	// Slots is the announced number of requests that run concurrently.
	Slots int
	// Work is the processing time of a request that does not specify one.
	Work time.Duration
	// Warmup is how long the server is cold after a start. While it is cold,
	// requests take up to coldFactor times as long.
	Warmup time.Duration
	// Queue is the maximum number of requests that wait for a slot; the server
	// sheds requests beyond it. With 0 the queue is unlimited.
	Queue int
	// Fences enables refusing requests with an outdated fence.
	Fences bool
	// Deadlines enables refusing requests whose deadline has passed.
	Deadlines bool
	// ActualSlots is the actual number of requests that run concurrently, for a server
	// that announces more Slots than it has; 0 means Slots.
	ActualSlots int
	// SlowFactor multiplies processing times; values below 1 count as 1.
	SlowFactor float64
	// Revive is the delay between a crash and the restart. With 0 the server
	// stays down.
	Revive time.Duration
	// Lag is the interval at which the reported load is refreshed. With 0 the
	// current load is reported.
	Lag time.Duration
	// OnRun, unless nil, is called when a request starts to run. The function
	// that it returns is called when the run has ended.
	OnRun func(request *http.Request) func()
	// Load and Health select how load and health are reported.
	Load   ReportMode
	Health ReportMode
}

// DefaultSettings returns settings for a server with 6 slots and no injected faults.
func DefaultSettings() Settings {
	return Settings{
		Slots:     6,
		Work:      5 * time.Millisecond,
		Fences:    true,
		Deadlines: true,
		Revive:    2 * time.Second,
		Load:      ReportTrue,
		Health:    ReportTrue,
	}
}

// actualSlots returns the number of requests that run concurrently.
func (s Settings) actualSlots() int {
	if s.ActualSlots > 0 {
		return s.ActualSlots
	}
	return s.Slots
}
