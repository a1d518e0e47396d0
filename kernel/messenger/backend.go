package messenger

// Refusal is the reason why a backend server did not run a request. It is the
// value of [HeaderRefused].
type Refusal string

// The refusals of backend servers.
const (
	RefusalShed     Refusal = "shed"     // the server is overloaded
	RefusalFence    Refusal = "fence"    // the server has received a newer fence for the shard
	RefusalDeadline Refusal = "deadline" // the deadline has passed
	RefusalDraining Refusal = "draining" // the server is draining
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

// AnnounceResponse is the response to an announcement, whose body is a [ServerRow].
type AnnounceResponse struct {
	Router string      `json:"router"`
	State  ServerState `json:"state"`
	// Shards is the number of shards that the server currently holds.
	Shards int `json:"shards"`
	// Ranges is the number of key ranges that the server currently holds, for
	// services of a [Configuration].
	Ranges int `json:"ranges,omitempty"`
}

// RangeCall is the body of a request that grants or revokes a key range. The
// range includes both ends.
type RangeCall struct {
	From  uint32 `json:"from"`
	To    uint32 `json:"to"`
	Fence uint64 `json:"fence"`
	// Hold is how long a grant is valid after it arrives, in milliseconds.
	Hold int64 `json:"hold,omitempty"`
	// Handover is the data that the previous holder left for this one, or empty.
	Handover string `json:"handover,omitempty"`
}

// FencedShard identifies a shard and the fence of its grant.
type FencedShard struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Fence   uint64 `json:"fence"`
}

// ShardList is the body of a request that grants or revokes shards.
type ShardList struct {
	Shards []FencedShard `json:"shards"`
}

// ServerHealth is the health that a backend server reports. It may be outdated
// or wrong.
type ServerHealth struct {
	// State is ready, cold or draining.
	State string `json:"state"`
}

// ServerLoad is the load that a backend server reports. It may be outdated or
// wrong.
type ServerLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}
