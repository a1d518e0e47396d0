package messenger

// Refusal is the value of HeaderRefused: why a backend server did not run a
// request.
type Refusal string

// The refusals of backend servers.
const (
	RefusalShed     Refusal = "shed"     // it has too much to do
	RefusalFence    Refusal = "fence"    // it has seen a newer fence for the shard
	RefusalDeadline Refusal = "deadline" // the deadline has passed
	RefusalDraining Refusal = "draining" // it is leaving
)

// Paths of the backend interface. The announce path is served by routers, the
// others by backend servers.
const (
	PathAnnounce = "/v1/announce"
	PathGrants   = "/marigold/grants"
	PathRevokes  = "/marigold/revokes"
	PathHealth   = "/marigold/health"
	PathLoad     = "/marigold/load"
	PathDrain    = "/marigold/drain"
)

// Announced answers an announcement (ServerRow is its body).
type Announced struct {
	Router string      `json:"router"`
	State  ServerState `json:"state"`
	// Shards is how many shards the server holds now.
	Shards int `json:"shards"`
	// Ranges is how many ranges of keys it holds now, for services of a
	// configuration.
	Ranges int `json:"ranges,omitempty"`
}

// RangeCall is the body of a grant or a revoke of a range of keys, both ends
// included.
type RangeCall struct {
	From  uint32 `json:"from"`
	To    uint32 `json:"to"`
	Fence uint64 `json:"fence"`
	// Hold is how long a grant lasts from its arrival, in milliseconds.
	Hold     int64  `json:"hold,omitempty"`
	Handover string `json:"handover,omitempty"`
}

// FencedShard is a shard with the fence of its grant.
type FencedShard struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Fence   uint64 `json:"fence"`
}

// ShardList is the body of grants and revokes.
type ShardList struct {
	Shards []FencedShard `json:"shards"`
}

// ServerHealth is what a backend server says of its health. It may lag or
// mislead.
type ServerHealth struct {
	// State is ready, cold or draining.
	State string `json:"state"`
}

// ServerLoad is what a backend server says of its load. It may lag or mislead.
type ServerLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}
