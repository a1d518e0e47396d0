package loader

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// Kind is one kind of request in a mix.
type Kind struct {
	// Name is the name in the report.
	Name string `json:"name"`
	// Class only groups the report; the routers decide by their profiles.
	Class  messenger.Class `json:"class"`
	Method string          `json:"method"`
	Route  string          `json:"route"`
	// Weight is its part of the arrivals in proportion to the other kinds.
	Weight float64 `json:"weight"`
	// Numbered says that requests carry an Idempotency-Key.
	Numbered bool `json:"numbered"`
	// Work is the time that the stand-in server shall take; 0 leaves it to the
	// server.
	Work time.Duration `json:"work"`
	// Size is the length of the body that is sent, in bytes.
	Size int `json:"size"`
	// Answer is the length of padding in the answer, in bytes.
	Answer int `json:"answer"`
}

// HotKey is a key that takes a part of all arrivals for a while.
type HotKey struct {
	Key string
	// Part is its part of the arrivals, 0 to 1.
	Part float64
	// From and Until are counted from the start of the run.
	From  time.Duration
	Until time.Duration
}

// Settings describe one run of load.
type Settings struct {
	// Routers are the base URLs of the caller interfaces; arrivals go to them
	// in turn.
	Routers []string
	// Servers are the base URLs of the stand-in servers, whose runs are read
	// afterwards. They may be empty.
	Servers []string
	Service string
	// Rate is the mean of arrivals a second.
	Rate float64
	// Count and Duration bound the run; the first that is reached ends it.
	Count    int
	Duration time.Duration
	// Keys is the number of keys and Skew the exponent of their Zipf law,
	// above 1.
	Keys int
	Skew float64
	// Prefix starts the name of each key.
	Prefix string
	Kinds  []Kind
	// Hot are keys that take a part of the arrivals for a while.
	Hot []HotKey
	// Flight is the most requests in flight; arrivals above it are not sent and
	// counted as such.
	Flight int
	// Timeout is sent as Marigold-Timeout.
	Timeout time.Duration
	// Resends is how often a numbered request is sent again after an unknown
	// outcome.
	Resends int
	// Seed makes arrivals, keys and numbers the same in each run.
	Seed uint64
}

// Limits of a run.
const (
	countMax    = 5_000_000
	durationMax = time.Hour
	rateMax     = 200_000
)

// Check says which field of the settings is wrong, and why.
func (s Settings) Check() error {
	switch {
	case len(s.Routers) == 0:
		return Error.New("no router is named")
	case s.Rate <= 0 || s.Rate > rateMax:
		return Error.New("the rate must be above 0 and at most %d a second", rateMax)
	case s.Count < 1 || s.Count > countMax:
		return Error.New("the count must be from 1 to %d", countMax)
	case s.Duration <= 0 || s.Duration > durationMax:
		return Error.New("the duration must be above 0 and at most %s", durationMax)
	case s.Keys < 1:
		return Error.New("there must be one key at least")
	case s.Skew <= 1:
		return Error.New("the skew must be above 1")
	case len(s.Kinds) == 0:
		return Error.New("no kind of request is named")
	case s.Flight < 1:
		return Error.New("one request at least must be in flight")
	}
	return nil
}
