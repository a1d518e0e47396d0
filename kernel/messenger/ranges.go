package messenger

import "time"

// LastKey is the largest key of a service that is divided by ranges.
const LastKey = 1<<16 - 1

// RangeRow is the ownership of a range of keys, both ends included.
type RangeRow struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	From    uint32
	To      uint32
	Phase   Phase
	// Owner is a session number, 0 when free.
	Owner uint64
	// Fence is the log index of the grant. It grows with each grant.
	Fence uint64
	// Next is the session that a moving range goes to.
	Next uint64
	// Life is the start of the backend server that the grant was made for, in
	// milliseconds of its wall clock. A server that started anew holds nothing.
	Life int64
	// Handover is what the last holder left for the next one, or empty.
	Handover string
}

// RangeRef names a range of keys under one grant.
type RangeRef struct {
	Service string
	From    uint32
	To      uint32
	Fence   uint64
	// Handover is what the holder left for the next one, or empty.
	Handover string
}

// RangeLoad is what callers asked of a range of keys since the last report.
type RangeLoad struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	From uint32
	To   uint32
	// Arrivals counts the requests, refused ones included.
	Arrivals uint64
}

// RangeReport is the work of a router whose service is divided by ranges.
type RangeReport struct {
	// Span is the time that the report covers.
	Span  time.Duration
	Loads []RangeLoad
	// Finished counts the requests that the backend server finished, and Busy
	// is the slot time that they took.
	Finished uint64
	Busy     time.Duration
	// Judged counts the requests whose end speaks for or against the backend
	// server, and Failed those of them that it failed.
	Judged uint64
	Failed uint64
}
