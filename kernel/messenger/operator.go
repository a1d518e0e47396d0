package messenger

import "time"

// Problem is an application/problem+json body (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the Marigold-Reason.
	Reason Reason `json:"reason,omitempty"`
	// Revision and Current show the newest state after a conflict.
	Revision uint64 `json:"revision,omitempty"`
	Current  any    `json:"current,omitempty"`
}

// Status is the answer to GET /v1/status of the operator interface.
type Status struct {
	Cluster  string          `json:"cluster"`
	Replica  string          `json:"replica"`
	Leader   string          `json:"leader"`
	Term     uint64          `json:"term"`
	Revision uint64          `json:"revision"`
	Members  []MemberStatus  `json:"members"`
	Sessions []SessionStatus `json:"sessions"`
	Services []ServiceStatus `json:"services"`
	// Quarantines is how many fingerprints are quarantined.
	Quarantines int `json:"quarantines"`
}

// MemberStatus is one replica of the control group.
type MemberStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Operator string `json:"operator"`
	Leader   bool   `json:"leader"`
	// Match is the log index known to be stored there; only the leader knows.
	Match uint64 `json:"match"`
	// Silence is the time since it was last heard of.
	Silence time.Duration `json:"silence"`
}

// SessionStatus is one router with its backend server.
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
	// Ranges is how many ranges of keys it owns, Failing the share of requests that
	// its backend server failed lately.
	Ranges    int      `json:"ranges"`
	Failing   float64  `json:"failing"`
	Queue     int      `json:"queue"`
	Stalled   int      `json:"stalled"`
	Revision  uint64   `json:"revision"`
	Recorders []string `json:"recorders"`
	// Rate is requests a second over the balancing window.
	Rate float64 `json:"rate"`
	// Silence is the time since its last heartbeat.
	Silence time.Duration `json:"silence"`
}

// ServiceStatus sums up one service with the three measures.
type ServiceStatus struct {
	Name    string `json:"name"`
	Shards  int    `json:"shards"`
	Free    int    `json:"free"`
	Moving  int    `json:"moving"`
	Keys    int    `json:"keys"`
	Servers int    `json:"servers"`
	// Imbalance is the largest to the mean of the servers' work, 1 is even.
	Imbalance float64 `json:"imbalance"`
	// Churn is the owner changes a shard and hour.
	Churn float64 `json:"churn"`
	// Unavailable is the worst, 99th percentile and total time that shards had
	// no serving owner.
	UnavailableWorst time.Duration `json:"unavailable_worst"`
	UnavailableP99   time.Duration `json:"unavailable_p99"`
	UnavailableTotal time.Duration `json:"unavailable_total"`
}

// Explanation is the answer to GET /v1/explain?service=S&key=K.
type Explanation struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Shard   uint32 `json:"shard"`
	// Range is there in place of the shard for a service that is divided by ranges.
	Range *RangeExplanation `json:"range,omitempty"`
	// Own says that the key has a shard of its own.
	Own    bool   `json:"own"`
	Phase  string `json:"phase"`
	Router string `json:"router"`
	Server string `json:"server"`
	Domain string `json:"domain"`
	Fence  uint64 `json:"fence"`
	// Since is in milliseconds of the wall clock.
	Since int64 `json:"since"`
	// Why says why the shard was placed there.
	Why       string   `json:"why"`
	Recorders []string `json:"recorders"`
	// History has the newest changes of owner, newest first.
	History []ClusterEvent `json:"history"`
}

// RangeExplanation is what the leader weighs of a range of keys, both ends included,
// and of the backend server that holds it.
type RangeExplanation struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
	// Next is the router that the range moves to.
	Next string `json:"next,omitempty"`
	// Rate is requests a second for the range, KeyRate those for the key.
	Rate    float64 `json:"rate"`
	KeyRate float64 `json:"keyrate"`
	// Pace is the mean time for a request at the server, Failing the share of
	// requests that it failed lately.
	Pace    time.Duration `json:"pace"`
	Failing float64       `json:"failing"`
}

// ClusterEvent is one numbered event of the control group.
type ClusterEvent struct {
	// Revision is the log index that caused it.
	Revision uint64 `json:"revision"`
	// Time is in milliseconds of the wall clock.
	Time int64 `json:"time"`
	// Number is the number in the catalogue, docs/EVENTS.md.
	Number  int    `json:"number"`
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Progress is the answer to GET /v1/progress?revision=N.
type Progress struct {
	Revision uint64 `json:"revision"`
	// Applied of Sessions routers have it in force.
	Applied  int `json:"applied"`
	Sessions int `json:"sessions"`
	// Behind names the routers that have not.
	Behind []string `json:"behind"`
}

// Accepted answers a change of configuration.
type Accepted struct {
	Revision uint64 `json:"revision"`
}

// Member is one member of the control group, as settings and operators name it.
type Member struct {
	Name string `json:"name" yaml:"name"`
	// Address is where processes reach it, host:port.
	Address string `json:"address" yaml:"address"`
	// Operator is the base URL of its operator interface.
	Operator string `json:"operator" yaml:"operator"`
}
