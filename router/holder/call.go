package holder

import (
	"time"

	"marigoldhill/kernel/timer"
)

// fencedRange is a range under one fence.
type fencedRange struct {
	from  uint32
	to    uint32
	fence uint64
}

func (r fencedRange) overlaps(other fencedRange) bool {
	return r.from <= other.to && other.from <= r.to
}

// Call is a call to the backend server.
type Call struct {
	Service string
	// Server is the name of the backend server that the call is for. Any other server
	// at its address refuses the call.
	Server string
	// Born is when the start of the server that the call is for began, in Unix
	// milliseconds. Another start under the same name refuses the call, if the protocol of
	// the server has a field for it.
	Born  int64
	From  uint32
	To    uint32
	Fence uint64
	// Release revokes the keys; otherwise they are granted.
	Release bool
	// Hold and Handover are for grants.
	Hold     time.Duration
	Handover string
	// First is set for a grant of keys that the server does not hold yet.
	First bool

	plannedAt timer.Instant
}

func (c *Call) fencedRange() fencedRange {
	return fencedRange{from: c.From, to: c.To, fence: c.Fence}
}

// CallResult is the outcome of a call.
type CallResult uint8

const (
	// Accepted means that the server carried out the call.
	Accepted CallResult = iota
	// Fenced means that the server has seen a higher fence.
	Fenced
	// Misdirected means that another server is at the address, which refused the call.
	Misdirected
	// Unanswered means that the call failed but that the server may still carry it
	// out.
	Unanswered
	// NotSent means that the call cannot have reached the server.
	NotSent
)

// unconfirmedGrant is an unanswered grant that may still take effect.
type unconfirmedGrant struct {
	fencedRange
	plannedAt timer.Instant
	// validFor is the time from plannedAt during which the server may hold the keys.
	validFor time.Duration
}

// String returns the value of the field verdict in log lines.
func (v CallResult) String() string {
	switch v {
	case Accepted:
		return "taken"
	case Fenced:
		return "outrun"
	case Misdirected:
		return "misdirected"
	case Unanswered:
		return "unanswered"
	}
	return "unsent"
}
