package messenger

import "time"

// NoKey is the key of requests that carry none.
const NoKey = -1

// Relay is a caller's request for a service of a [Configuration], on its way
// from the entry router to the router of the backend server. The body follows on
// the stream.
type Relay struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID is the caller's id of this attempt.
	ID      string
	Service string
	// Route is the name of the route, which groups requests of like cost.
	Route string
	// Key is the numeric key, or NoKey.
	Key int32
	// Caller is the service of the VM where the request began, or empty.
	Caller string
	Method string
	// Target is the path with its query as the caller sent it.
	Target string
	Host   string
	Header []Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64

	Rank int
	Aim  time.Duration
	// Left is the time until the deadline, when sent. Grace is how much longer
	// an answer is still of use.
	Left  time.Duration
	Grace time.Duration
	// Version is the version of the configuration that the entry router used.
	Version uint64
}

// RelayAnswer is the answer to a Relay. When Outcome is done, the body follows
// on the stream.
type RelayAnswer struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      string
	Outcome Outcome
	Reason  Reason
	// Ran says that an arrival at the backend server was spent, also when the
	// server refused it.
	Ran    bool
	Status int
	Header []Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// RetryAfter is when a refused caller should come back; 0 says nothing.
	RetryAfter time.Duration
	Load       ServerWork
}

// ServerWork is how busy a backend server is, as its router sees it.
type ServerWork struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Running int
	Waiting int
	Slots   int
	// Pace is the mean time that the server takes for what it has to do now.
	Pace time.Duration
	// Slowness is the time that the server takes for a request, as a part of the aim
	// of its route: with the same aims everywhere it compares servers, whatever
	// kinds of requests each of them has. It is 0 when nothing is known.
	Slowness float32
}
