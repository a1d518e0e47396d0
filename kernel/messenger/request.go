package messenger

import "time"

// Outcome is the result of a request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the complete response of the backend server follows.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the request was not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the request may have run. A retry with the same
	// Idempotency-Key never runs it a second time.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning is sent between routers only, in response to an
	// OutcomeQuery.
	OutcomeRunning Outcome = "running"
)

// Header names of the caller interface and of the backend interface.
const (
	HeaderOutcome        = "Marigold-Outcome"
	HeaderReason         = "Marigold-Reason"
	HeaderTimeout        = "Marigold-Timeout"
	HeaderServer         = "Marigold-Server"
	HeaderBorn           = "Marigold-Born"
	HeaderFence          = "Marigold-Fence"
	HeaderShard          = "Marigold-Shard"
	HeaderDeadline       = "Marigold-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOperator identifies the operator who sends a call of the operator interface,
	// in at most MaxOperatorBytes.
	HeaderOperator = "Marigold-Operator"
	// HeaderRequestNumber is the number of a request, which also appears in the logs.
	HeaderRequestNumber = "Marigold-Request"
	// HeaderKey is a numeric key, from 0 to LastKey.
	HeaderKey = "Marigold-Key"
	// HeaderCaller is the service of the VM where a request originated.
	HeaderCaller = "Marigold-Caller"
	// HeaderHandover is the data that a holder of keys leaves for the next one.
	HeaderHandover = "Marigold-Handover"
	// HeaderLimit is set by a backend server of a configuration: how many requests per
	// second it takes from all routers together, a decimal number, as long as it is set.
	HeaderLimit = "Marigold-Limit"
	// HeaderLeaving is set to 1 by a backend server of a configuration that is leaving.
	HeaderLeaving = "Marigold-Leaving"
	// HeaderCold is set by a backend server of a configuration in its answer to a health
	// check: how many milliseconds it stays cold, 0 when it is warm.
	HeaderCold = "Marigold-Cold"
	// HeaderRefused is set by a backend server on the response to a request that
	// it did not run; its value is a Refusal.
	HeaderRefused = "Marigold-Refused"
)

// MaxOperatorBytes is the maximum length of [HeaderOperator].
const MaxOperatorBytes = 64

// Header is one HTTP header field of a request or a response.
type Header struct {
	Name   string
	Values []string
}

// Request is a caller's request, as the entry router sends it to the owner. The
// body follows on the stream.
type Request struct {
	// Number identifies the request between routers. It is unique for each request
	// that an entry router accepts and the same for each retry of it.
	Number  string
	Service string
	// Key is percent-decoded.
	Key string
	// Route is the rest of the path after the key, percent-encoded, without a
	// leading slash.
	Route string
	// Query is the raw query string.
	Query  string
	Method string
	// Header holds the end-to-end header fields of the caller.
	Header []Header
	// Idempotency is the Idempotency-Key of the request, or empty.
	Idempotency string
	// Caller identifies the caller for fair queuing: the peer address without the
	// port.
	Caller string
	// Timeout is the time until the caller's deadline when the message was sent.
	Timeout time.Duration
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Revision is the revision of the routing table that the entry router used.
	Revision uint64
	// Attempt counts the attempts of the entry router, from 1.
	Attempt int
}

// Response is the response of the owner. When Outcome is OutcomeDone, the body
// follows on the stream.
type Response struct {
	Number  string
	Outcome Outcome
	// Reason is set unless Outcome is OutcomeDone.
	Reason Reason
	// Status is the HTTP status of the backend server when Outcome is OutcomeDone.
	Status int
	Header []Header
	// Server is the name of the backend server that responded.
	Server string
	// Fence is the fence of the grant that the request ran under.
	Fence uint64
	// RetryAfter is how long a refused caller should wait before a retry; 0 when
	// unknown.
	RetryAfter time.Duration
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Revision is the revision of the owner's routing table when Reason is
	// ReasonMisrouted.
	Revision uint64
}

// OutcomeQuery asks an owner for the outcome of a request.
type OutcomeQuery struct {
	Number string
	// Session is the session that the request was sent to. A router with another
	// session has no data on the requests that ran under that one and never responds
	// with OutcomeRefused.
	Session     uint64
	Service     string
	Key         string
	Idempotency string
	// Age is the time since the request was last sent, the larger of the
	// differences on the monotonic and on the wall clock. An owner that may have dropped its data
	// on a request of that age responds with OutcomeUnknown.
	Age time.Duration
}

// OutcomeResponse is the response to an OutcomeQuery. OutcomeRefused means that the
// request did not run and will not: the owner stores its number and refuses the
// request if it arrives late.
type OutcomeResponse struct {
	Outcome Outcome
	Reason  Reason
	// Response and Body are set when Outcome is OutcomeDone and the response was
	// stored.
	Response *Response
	Body     []byte
}
