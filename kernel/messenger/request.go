package messenger

import "time"

// Outcome tells a caller what became of a request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the whole answer of the backend server follows.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the request was not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the request may have run. A resend with the
	// same Idempotency-Key never runs it twice.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning is sent between routers only, as an answer to an
	// OutcomeQuery.
	OutcomeRunning Outcome = "running"
)

// Header names of the caller interface and of the backend interface.
const (
	HeaderOutcome     = "Marigold-Outcome"
	HeaderReason      = "Marigold-Reason"
	HeaderTimeout     = "Marigold-Timeout"
	HeaderServer      = "Marigold-Server"
	HeaderFence       = "Marigold-Fence"
	HeaderShard       = "Marigold-Shard"
	HeaderDeadline    = "Marigold-Deadline"
	HeaderIdempotency = "Idempotency-Key"
	// HeaderRequest is the number of a request, the same in the logs.
	HeaderRequest = "Marigold-Request"
	// HeaderKey is a numeric key, from 0 to LastKey.
	HeaderKey = "Marigold-Key"
	// HeaderCaller is the service of the VM where a request began.
	HeaderCaller = "Marigold-Caller"
	// HeaderHandover is what a holder of keys leaves for the next one.
	HeaderHandover = "Marigold-Handover"
	// HeaderRefused is set by a backend server on an answer to a request that
	// it did not run; its value is a Refusal.
	HeaderRefused = "Marigold-Refused"
)

// Header is one HTTP header field of a request or a response.
type Header struct {
	Name   string
	Values []string
}

// Request is a caller's request on its way from the entry router to the owner.
// The body follows on the stream.
type Request struct {
	// Number identifies the request on its way: unique for each request that
	// an entry router accepts, the same for each retry of it.
	Number string
	// Service is the name of the service.
	Service string
	// Key is the key, percent-decoded.
	Key string
	// Route is the rest of the path after the key, percent-encoded, without a
	// leading slash.
	Route string
	// Query is the raw query string.
	Query string
	// Method is the HTTP method.
	Method string
	// Header has the end-to-end header fields of the caller.
	Header []Header
	// Idempotency is the caller's Idempotency-Key, or empty.
	Idempotency string
	// Caller identifies the caller for fairness: the peer address without its
	// port.
	Caller string
	// Timeout is the time left until the caller's deadline, when sent.
	Timeout time.Duration
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Revision is the revision of the routing table that the entry router used.
	Revision uint64
	// Attempt counts the attempts of the entry router, from 1.
	Attempt int
}

// Response is the answer of the owner. When Outcome is done, the body follows
// on the stream.
type Response struct {
	Number  string
	Outcome Outcome
	// Reason is set unless Outcome is done.
	Reason Reason
	// Status is the HTTP status of the backend server, when done.
	Status int
	Header []Header
	// Server is the name of the backend server that answered.
	Server string
	// Fence is the fence of the grant that the request ran under.
	Fence uint64
	// RetryAfter is when a refused caller should come back; 0 says nothing.
	RetryAfter time.Duration
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Revision is the revision of the owner's routing table when it answers
	// ReasonMisrouted.
	Revision uint64
}

// OutcomeQuery asks an owner what became of a request.
type OutcomeQuery struct {
	Number string
	// Session is the session that the request was sent to. A router with
	// another one cannot know what that one ran, and never answers refused.
	Session     uint64
	Service     string
	Key         string
	Idempotency string
	// Age is how long ago the request was sent last, by both clocks. An owner
	// that may have forgotten a request of that age says that its outcome is
	// unknown.
	Age time.Duration
}

// OutcomeAnswer tells it. Refused means that the request was not and will not
// be run: the owner remembers the number and refuses it when it arrives late.
type OutcomeAnswer struct {
	Outcome Outcome
	Reason  Reason
	// Response and Body are set when the outcome is done and the answer kept.
	Response *Response
	Body     []byte
}
