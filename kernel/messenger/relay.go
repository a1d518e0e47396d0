package messenger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// NoKey is the key of requests without a key.
const NoKey = -1

// FieldCallerKey is the name of a field in [Relay.Header] with the numeric key that the caller
// named, if the service has no keys. HTTP does not allow the name: no caller can send it, and a
// router of the previous version does not pass it on to a server.
const FieldCallerKey = ":key"

// Relay is a caller's request for a service of a [Configuration], as the entry
// router sends it to the router of the backend server. The body follows on the
// stream.
type Relay struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID is the caller's identifier for this attempt.
	ID      string
	Service string
	// Route is the name of the route. Requests of one route have similar costs.
	Route string
	// Key is the numeric key, or NoKey if there is none or the service has no keys.
	Key int32
	// Caller is the service of the VM where the request originated, or empty.
	Caller string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header []Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64

	Rank int
	Aim  time.Duration
	// Left is the time until the deadline when the message was sent. Grace is how
	// long after the deadline a response is still accepted.
	Left  time.Duration
	Grace time.Duration
	// Version is the version of the configuration that the entry router used.
	Version uint64
	// Fingerprint identifies requests for the same work, whoever sends them and runs them; see
	// [hasher.Fingerprint]. It is not sent: the router of the server computes it again.
	Fingerprint string `msgpack:"-"`
}

// RelayInvitation tells the entry router whether to send the body of a request. A request
// whose body was not invited has not run, and a RelayResponse follows at once.
type RelayInvitation struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Invited bool
}

// RelayResponse is the response to a Relay. When Outcome is OutcomeDone, the body
// follows on the stream.
type RelayResponse struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      string
	Outcome Outcome
	Reason  Reason
	// Ran means that the request counts as one that arrived at the backend server,
	// even if the server refused it.
	Ran    bool
	Status int
	Header []Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// RetryAfter is how long a refused caller should wait before a retry; 0 when
	// unknown.
	RetryAfter time.Duration
	Load       ServerWork
	// Leaving means that the backend server has said that it leaves. Only a RelayReply
	// carries it.
	Leaving bool `msgpack:"-"`
}

// ServerWork is the load of a backend server, as measured by its router.
type ServerWork struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Running int
	Waiting int
	Slots   int
	// Pace is the mean expected duration of the requests that run and wait.
	Pace time.Duration
	// Slowness is the mean ratio of the duration of a request to the target latency
	// of its route. Because all routers use the same targets, servers can be compared
	// by it regardless of the mix of requests that they receive. It is 0 when unknown.
	Slowness float32
	// Limit is the limit that the server has named, in requests per second; 0 means none.
	// LimitWait is the time until one more request could start under it. Only a RelayReply
	// carries both.
	Limit     float32       `msgpack:"-"`
	LimitWait time.Duration `msgpack:"-"`
	// Fraction is the fraction of the requests of the same rank that entry routers should
	// still send to the server; 0 means all. Only a RelayReply carries it.
	Fraction float32 `msgpack:"-"`
}

// RelayReply is sent instead of a RelayResponse between routers that both set
// [Hello.Replies]. Other messages are sent as arrays and must keep their fields, as a process
// refuses one with another number of them; this one is sent as a map.
type RelayReply struct {
	Response  *RelayResponse `msgpack:"response"`
	Leaving   bool           `msgpack:"leaving,omitempty"`
	Limit     float32        `msgpack:"limit,omitempty"`
	LimitWait time.Duration  `msgpack:"wait,omitempty"`
	Fraction  float32        `msgpack:"fraction,omitempty"`
}

var _ msgpack.CustomEncoder = (*RelayReply)(nil)

// EncodeMsgpack implements [msgpack.CustomEncoder].
func (r *RelayReply) EncodeMsgpack(encoder *msgpack.Encoder) error {
	type fields RelayReply
	encoder.UseArrayEncodedStructs(false)
	defer encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode((*fields)(r)); err != nil {
		return fmt.Errorf("encoding a reply: %w", err)
	}
	return nil
}

// NewRelayReply returns the message that carries all of a response.
func NewRelayReply(response *RelayResponse) *RelayReply {
	load := &response.Load
	return &RelayReply{Response: response, Leaving: response.Leaving, Limit: load.Limit, LimitWait: load.LimitWait, Fraction: load.Fraction}
}

// Unpack returns the response, nil if the message has none.
func (r *RelayReply) Unpack() *RelayResponse {
	if r.Response != nil {
		load := &r.Response.Load
		r.Response.Leaving, load.Limit, load.LimitWait, load.Fraction = r.Leaving, r.Limit, r.LimitWait, r.Fraction
	}
	return r.Response
}
