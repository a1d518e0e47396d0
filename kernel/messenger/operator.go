package messenger

import "time"

// Problem is an application/problem+json body (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is also sent in [HeaderReason].
	Reason Reason `json:"reason,omitempty"`
	// Revision and Current are the current state, sent after a conflict.
	Revision uint64 `json:"revision,omitempty"`
	Current  any    `json:"current,omitempty"`
}

// Status is the response to GET /v1/status of the operator interface.
type Status struct {
	Cluster  string          `json:"cluster"`
	Replica  string          `json:"replica"`
	Leader   string          `json:"leader"`
	Term     uint64          `json:"term"`
	Revision uint64          `json:"revision"`
	Members  []MemberStatus  `json:"members"`
	Sessions []SessionStatus `json:"sessions"`
	Services []ServiceStatus `json:"services"`
	// Quarantines is the number of quarantined fingerprints.
	Quarantines int `json:"quarantines"`
	// Evacuations are the evacuated failure domains.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
}

// EvacuationStatus is the progress of the evacuation of a failure domain.
type EvacuationStatus struct {
	Domain string `json:"domain"`
	// By identifies the operator who gave the order.
	By string `json:"by"`
	// Since is the time of the order, in milliseconds of the wall clock.
	Since int64 `json:"since"`
	// Servers is the number of backend servers in the domain, Ranges and Shards the
	// number of key ranges and shards that are still there or moving there.
	Servers int `json:"servers"`
	Ranges  int `json:"ranges"`
	Shards  int `json:"shards"`
	// Behind is the number of routers of all domains that have not yet applied the
	// order.
	Behind int `json:"behind"`
}

// MemberStatus is the status of one replica of the control group.
type MemberStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Operator string `json:"operator"`
	Leader   bool   `json:"leader"`
	// Match is the highest log index known to be stored on the replica. Only the
	// leader tracks it.
	Match uint64 `json:"match"`
	// Silence is the time since the last message from the replica.
	Silence time.Duration `json:"silence"`
}

// SessionStatus is the status of one router and its backend server.
type SessionStatus struct {
	Session uint64      `json:"session"`
	Router  string      `json:"router"`
	Address string      `json:"address"`
	Domain  string      `json:"domain"`
	Server  string      `json:"server"`
	Service string      `json:"service"`
	State   ServerState `json:"state"`
	Leaving bool        `json:"leaving"`
	Shards  int         `json:"shards"`
	Moving  int         `json:"moving"`
	// Ranges is the number of key ranges that the router owns. Failing is the
	// fraction of recent requests that its backend server failed.
	Ranges    int      `json:"ranges"`
	Failing   float64  `json:"failing"`
	Queue     int      `json:"queue"`
	Stalled   int      `json:"stalled"`
	Revision  uint64   `json:"revision"`
	Recorders []string `json:"recorders"`
	// Rate is the number of requests per second over the balancing window.
	Rate float64 `json:"rate"`
	// Silence is the time since the last heartbeat of the router.
	Silence time.Duration `json:"silence"`
}

// ServiceStatus summarizes one service, with the three quantities that balancing
// minimizes: imbalance, churn and unavailability.
type ServiceStatus struct {
	Name    string `json:"name"`
	Shards  int    `json:"shards"`
	Free    int    `json:"free"`
	Moving  int    `json:"moving"`
	Keys    int    `json:"keys"`
	Servers int    `json:"servers"`
	// Imbalance is the ratio of the largest to the mean load of the backend
	// servers; 1 is even.
	Imbalance float64 `json:"imbalance"`
	// Churn is the number of owner changes per shard and hour.
	Churn float64 `json:"churn"`
	// UnavailableWorst, UnavailableP99 and UnavailableTotal are the maximum, the
	// 99th percentile and the total of the times that shards had no serving owner.
	UnavailableWorst time.Duration `json:"unavailable_worst"`
	UnavailableP99   time.Duration `json:"unavailable_p99"`
	UnavailableTotal time.Duration `json:"unavailable_total"`
}

// Explanation is the response to GET /v1/explain?service=S&key=K.
type Explanation struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Shard   uint32 `json:"shard"`
	// Range is set instead of Shard for a service that is partitioned into ranges.
	Range *RangeExplanation `json:"range,omitempty"`
	// Own means that the key has a shard of its own.
	Own    bool   `json:"own"`
	Phase  string `json:"phase"`
	Router string `json:"router"`
	Server string `json:"server"`
	Domain string `json:"domain"`
	// Evacuation is set if the failure domain of the owner is evacuated.
	Evacuation *EvacuationRow `json:"evacuation,omitempty"`
	Fence      uint64         `json:"fence"`
	// Since is when the owner or phase of the shard last changed, or when the range
	// was granted, in milliseconds of the wall clock.
	Since int64 `json:"since"`
	// Why is the reason for the placement.
	Why       string   `json:"why"`
	Recorders []string `json:"recorders"`
	// History holds the latest owner changes, newest first.
	History []ClusterEvent `json:"history"`
}

// RangeExplanation holds what the leader takes into account when it places a key
// range: the load of the range and of the backend server that holds it. The range
// includes both ends.
type RangeExplanation struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
	// Next is the router that the range is moving to.
	Next string `json:"next,omitempty"`
	// Rate is the number of requests per second for the range, KeyRate the number for
	// the key.
	Rate    float64 `json:"rate"`
	KeyRate float64 `json:"keyrate"`
	// Pace is the mean time that the server takes for a request. Failing is the
	// fraction of recent requests that it failed.
	Pace    time.Duration `json:"pace"`
	Failing float64       `json:"failing"`
}

// ClusterEvent is one event in the event log of the control group.
type ClusterEvent struct {
	// Revision is the index of the log entry that caused the event.
	Revision uint64 `json:"revision"`
	// Time is in milliseconds of the wall clock.
	Time int64 `json:"time"`
	// Number is the event number in docs/EVENTS.md.
	Number  int    `json:"number"`
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Progress is the response to GET /v1/progress?revision=N.
type Progress struct {
	Revision uint64 `json:"revision"`
	// Applied is the number of routers, out of Sessions, that have applied the
	// revision.
	Applied  int `json:"applied"`
	Sessions int `json:"sessions"`
	// Behind lists the names of the other routers.
	Behind []string `json:"behind"`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Revision uint64 `json:"revision"`
}

// Member is one member of the control group, in settings and in the operator
// interface.
type Member struct {
	Name string `json:"name" yaml:"name"`
	// Address is where other processes connect to it, host:port.
	Address string `json:"address" yaml:"address"`
	// Operator is the base URL of its operator interface.
	Operator string `json:"operator" yaml:"operator"`
}
