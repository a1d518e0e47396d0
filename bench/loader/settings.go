package loader

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// Kind is one kind of request in a mix.
type Kind struct {
	// Name identifies the kind in the report.
	Name string `json:"name"`
	// Class only groups kinds in the report. Routers take the class from their
	// profiles.
	Class  messenger.Class `json:"class"`
	Method string          `json:"method"`
	Route  string          `json:"route"`
	// Weight is the share of the arrivals relative to the other kinds.
	Weight float64 `json:"weight"`
	// HasIdempotencyKey means that requests carry an Idempotency-Key.
	HasIdempotencyKey bool `json:"numbered"`
	// Work is the processing time that is requested from the stand-in server;
	// 0 leaves it to the server.
	Work time.Duration `json:"work"`
	// BodyBytes is the length of the request body in bytes.
	BodyBytes int `json:"size"`
	// ResponsePaddingBytes is the length of the padding in the response in bytes.
	ResponsePaddingBytes int `json:"answer"`
}

// HotKey is a key that gets a fixed share of all arrivals for a limited time.
type HotKey struct {
	Key string
	// Share is the share of the arrivals, 0 to 1.
	Share float64
	// From and Until are times since the start of the run.
	From  time.Duration
	Until time.Duration
}

// Settings configure one run.
type Settings struct {
	// Routers are the base URLs of the caller interfaces. Arrivals are
	// distributed over them in round-robin order.
	Routers []string
	// Servers are the base URLs of the stand-in servers whose run counts are
	// read after the run. It may be empty.
	Servers []string
	Service string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Count and Duration limit the run, which ends at the first limit reached.
	Count    int
	Duration time.Duration
	// Keys is the number of keys, Skew the exponent of their Zipf distribution,
	// above 1.
	Keys int
	Skew float64
	// KeyPrefix is the prefix of all keys other than Hot.
	KeyPrefix string
	Kinds     []Kind
	Hot       []HotKey
	// Flight is the maximum number of requests in flight. Arrivals beyond it are
	// not sent and have OutcomeUnsent.
	Flight int
	// Timeout is the timeout of each request, sent as Marigold-Timeout.
	Timeout time.Duration
	// Resends is the maximum number of times that a request with an
	// Idempotency-Key is sent again after an unknown outcome.
	Resends int
	// Seed makes arrivals, keys and idempotency keys reproducible.
	Seed uint64
}

// Limits of a run.
const (
	maxCount    = 5_000_000
	maxDuration = time.Hour
	maxRate     = 200_000
)

// Check returns an error that describes the first invalid field.
func (s Settings) Check() error {
	switch {
	case len(s.Routers) == 0:
		return Error.New("no router is given")
	case s.Rate <= 0 || s.Rate > maxRate:
		return Error.New("the rate must be above 0 and at most %d a second", maxRate)
	case s.Count < 1 || s.Count > maxCount:
		return Error.New("the count must be from 1 to %d", maxCount)
	case s.Duration <= 0 || s.Duration > maxDuration:
		return Error.New("the duration must be above 0 and at most %s", maxDuration)
	case s.Keys < 1:
		return Error.New("the number of keys must be at least 1")
	case s.Skew <= 1:
		return Error.New("the skew must be above 1")
	case len(s.Kinds) == 0:
		return Error.New("no kind of request is given")
	case s.Flight < 1:
		return Error.New("the limit of requests in flight must be at least 1")
	}
	return nil
}
