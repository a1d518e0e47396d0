package responder

import (
	"net/http"
	"time"
)

// Report says how a stand-in server reports its load or health.
type Report string

// The ways to report.
const (
	// ReportTrue reports what is so.
	ReportTrue Report = "true"
	// ReportIdle always reports no load and good health.
	ReportIdle Report = "idle"
	// ReportBusy always reports full load and a cold start.
	ReportBusy Report = "busy"
)

// Settings describe one stand-in backend server.
type Settings struct {
	// Name and Service are announced to the router.
	Name    string
	Service string
	// Listen is the address to serve at, host:port.
	Listen string
	// Router is the base URL of the local router's backend interface. Without
	// one the server announces itself to nobody.
	Router string
	// Slots is how many requests run at once.
	Slots int
	// Work is the time that one request takes.
	Work time.Duration
	// Warmup is how long the server is cold after its start. Cold work takes
	// up to coldFactor times as long.
	Warmup time.Duration
	// Queue is how many requests may wait for a slot; the server sheds those
	// above it. With 0 it never sheds.
	Queue int
	// Fences says that requests with an old fence are refused.
	Fences bool
	// Deadlines says that work past its deadline is refused.
	Deadlines bool
	// Real is how many requests really run at once when that is fewer than the
	// announced Slots; 0 means Slots.
	Real int
	// Slow multiplies the time that work takes; 0 means 1.
	Slow float64
	// Revive is how long after a crash the server starts again. With 0 it
	// stays down.
	Revive time.Duration
	// Lag is the age of the load and health that are reported.
	Lag time.Duration
	// Watch, unless nil, is called when a request starts to run; the function
	// that it returns, when the run has ended.
	Watch func(request *http.Request) func()
	// Load and Health say how truthful the reports are.
	Load   Report
	Health Report
}

// Defaults returns the settings of an ordinary server with 6 slots.
func Defaults() Settings {
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

// realSlots is how many requests run at once.
func (s Settings) realSlots() int {
	if s.Real > 0 {
		return s.Real
	}
	return s.Slots
}
