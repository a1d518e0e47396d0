package messenger

import "time"

// LastKey is the largest key of a service that is partitioned into ranges.
const LastKey = 1<<16 - 1

// RangeRow is the ownership of a key range. The range includes both ends.
type RangeRow struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	From    uint32
	To      uint32
	Phase   Phase
	// Owner is a session number; 0 when the range is free.
	Owner uint64
	// Fence is the log index of the grant. It increases with each grant.
	Fence uint64
	// Next is the session that the range is moving to.
	Next uint64
	// Life is the start time of the backend server that the grant is for, in
	// milliseconds of its wall clock. A server that has restarted does not hold the
	// range.
	Life int64
	// Handover is the data that the last holder left for the next one, or empty.
	Handover string
}

// RangeRef identifies a key range under one grant.
type RangeRef struct {
	Service string
	From    uint32
	To      uint32
	Fence   uint64
	// Handover is the data that the holder left for the next one, or empty.
	Handover string
}

// RangeLoad is the number of requests for a key range since the last report.
type RangeLoad struct {
	//lint:ignore U1000 msgpack reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	From uint32
	To   uint32
	// Arrivals includes refused requests.
	Arrivals uint64
}

// RangeLoadReport is the load of a router whose service is partitioned into ranges.
type RangeLoadReport struct {
	// Span is the time that the report covers.
	Span  time.Duration
	Loads []RangeLoad
	// Finished is the number of requests that the backend server finished, Busy
	// the slot time that they took.
	Finished uint64
	Busy     time.Duration
	// Judged is the number of requests whose result shows whether the backend
	// server works, Failed the number of those that it failed.
	Judged uint64
	Failed uint64
}
