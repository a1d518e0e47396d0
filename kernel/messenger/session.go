package messenger

import (
	"hash/fnv"
	"slices"
	"time"
)

// Default times of the lease protocol; see [Timing].
const (
	// HeartbeatInterval is the interval between the heartbeats of a router.
	HeartbeatInterval = 300 * time.Millisecond
	// LeaseDuration is how long a lease is valid after its heartbeat was sent.
	LeaseDuration = 1500 * time.Millisecond
	// LeaseMargin is how much later than the router the control group treats a
	// lease as expired, to allow for clock drift.
	LeaseMargin = 150 * time.Millisecond
)

// Timing holds the times of the lease protocol. They must be equal in all
// processes of a cluster.
type Timing struct {
	// Interval is the interval between the heartbeats of a router.
	Interval time.Duration `yaml:"interval"`
	// Lease is how long a lease is valid after its heartbeat was sent.
	Lease time.Duration `yaml:"lease"`
	// Margin is how much later than the router the control group treats a lease
	// as expired, to allow for clock drift.
	Margin time.Duration `yaml:"margin"`
}

// WithDefaults returns the timing with zeros replaced by the defaults.
func (t Timing) WithDefaults() Timing {
	if t.Interval == 0 {
		t.Interval = HeartbeatInterval
	}
	if t.Lease == 0 {
		t.Lease = LeaseDuration
	}
	if t.Margin == 0 {
		t.Margin = LeaseMargin
	}
	return t
}

// Times of the control group.
const (
	// MinElectionTimeout is the minimum election timeout. A follower also grants no
	// vote for this time after a message from the leader.
	MinElectionTimeout = 450 * time.Millisecond
	// MaxElectionTimeout is the maximum election timeout.
	MaxElectionTimeout = 700 * time.Millisecond
	// MaxUnanswered is the number of consecutive heartbeats that may remain without
	// a response before the next one does not renew the lease.
	MaxUnanswered = 1
	// LeaderHeartbeatInterval is the interval between the heartbeats of the leader of the
	// control group.
	LeaderHeartbeatInterval = 75 * time.Millisecond
)

// ServerState is the state of a backend server as determined by its router.
type ServerState string

// The states of a backend server.
const (
	ServerReady   ServerState = "ready"
	ServerFrozen  ServerState = "frozen"
	ServerDown    ServerState = "down"
	ServerLeaving ServerState = "leaving"
	ServerAbsent  ServerState = "absent"
)

// ServerStates returns all states of a backend server.
func ServerStates() []ServerState {
	return []ServerState{ServerReady, ServerFrozen, ServerDown, ServerLeaving, ServerAbsent}
}

// ShardRef identifies a shard under one grant.
type ShardRef struct {
	Service string
	Shard   uint32
	Fence   uint64
}

// ShardLoad is the load of one shard since the last heartbeat.
type ShardLoad struct {
	Service string
	Shard   uint32
	// Requests is the number of finished requests.
	Requests uint64
	// Busy is the slot time that they took.
	Busy time.Duration
}

// KeyLoad is the estimated load of one key in the last window.
type KeyLoad struct {
	Service string
	Key     string
	// Part is the fraction of the server's load, 0 to 1.
	Part float64
}

// Heartbeat opens or renews the session of a router.
type Heartbeat struct {
	Router string
	// Instance is a random number that the process generates when it starts, and again
	// when it may go on with a session that ended. A session belongs to one instance.
	Instance uint64
	// Session is the session to renew; 0 opens one.
	Session uint64
	// Sequence increases with each heartbeat of the instance.
	Sequence uint64
	Address  string
	Domain   string
	Region   string
	Server   *ServerRow
	State    ServerState
	// Revision is the revision of the routing table that the router has
	// applied.
	Revision uint64
	// Released are shards that the router no longer serves: none of their requests
	// are in flight, and none will be admitted under that fence.
	Released []ShardRef
	// Recovered are shards granted with Survivors whose records this router has
	// read and stored at its own recorders.
	Recovered []ShardRef
	// Copied are the joining recorders to which all records have been copied.
	Copied []uint64
	// Loads are the busiest shards, at most 64.
	Loads []ShardLoad
	// Requests and Busy are the totals of all shards since the last heartbeat; when
	// both are 0, the totals of Loads are used.
	Requests uint64
	Busy     time.Duration
	// Keys are the hottest keys, at most 16.
	Keys []KeyLoad
	// Queue is the number of requests waiting at this owner.
	Queue int
	// Stalled is the number of background requests that have waited for more than
	// half of their deadline.
	Stalled int
	// Unanswered is the number of heartbeats sent since the last response.
	Unanswered int
	// Unreached are the sessions of other routers that this one cannot reach.
	Unreached []uint64
	// Leaving means that the process is shutting down and requests that its shards
	// be moved.
	Leaving bool
	// Close means that the router has released all its shards and ranges and ends its
	// session.
	Close bool
	// Routed means that the router runs in routed mode, that is, serves the routes
	// of a [Configuration]: its backend server holds key ranges, or no keys, instead
	// of shards.
	Routed bool
	// Sole means that no earlier process of the router is still running, because
	// this one listens on the same address.
	Sole bool
	// Freed are ranges that the backend server no longer holds.
	Freed []RangeRef
	// Work is sent with some heartbeats, by routers whose service has ranges; nil
	// otherwise.
	Work *RangeLoadReport
	// Members is the [HashAddresses] value of the addresses of the control group that
	// the router has; see HeartbeatResponse.Members.
	Members uint64
}

// HeartbeatStatus is the result of a heartbeat.
type HeartbeatStatus string

// The results of a heartbeat.
const (
	// HeartbeatRenewed renews the lease from the time at which the heartbeat was sent.
	HeartbeatRenewed HeartbeatStatus = "alive"
	// HeartbeatRedirect means that another replica is leader; see Leader.
	HeartbeatRedirect HeartbeatStatus = "redirect"
	// HeartbeatUnconfirmed means that the leader could not confirm its leadership.
	HeartbeatUnconfirmed HeartbeatStatus = "unconfirmed"
	// HeartbeatUnacknowledged means that the router did not receive the responses to its
	// previous heartbeats. Its lease is not renewed until it has received one, so
	// that a router that can send but not receive loses its shards.
	HeartbeatUnacknowledged HeartbeatStatus = "unheard"
	// HeartbeatExpired means that the session is closed and the router must open a
	// new one.
	HeartbeatExpired HeartbeatStatus = "expired"
	// HeartbeatWait means that the session of an earlier instance must expire
	// first, or that the new session is not committed yet.
	HeartbeatWait HeartbeatStatus = "wait"
)

// HeartbeatStatuses returns all results of a heartbeat.
func HeartbeatStatuses() []HeartbeatStatus {
	return []HeartbeatStatus{
		HeartbeatRenewed, HeartbeatRedirect, HeartbeatUnconfirmed, HeartbeatUnacknowledged, HeartbeatExpired, HeartbeatWait,
	}
}

// HeartbeatResponse is the response to a Heartbeat. The router extends its lease only
// when Status is HeartbeatRenewed, and after it has applied Delta.
type HeartbeatResponse struct {
	Status   HeartbeatStatus
	Session  uint64
	Sequence uint64
	// Leader is the address of the leader when Status is HeartbeatRedirect, or empty
	// if unknown.
	Leader string
	// Delta updates the routing table of the router; nil when it is up to date.
	Delta *TableDelta
	// More means that Delta does not reach the latest revision because its size is
	// limited. The router should send another heartbeat at once and does not extend
	// its lease yet.
	More bool
	// Members are the addresses of the control group when they differ from those
	// that the router has.
	Members []string
}

// Report is sent to the control group at once, without waiting for the next
// heartbeat.
type Report struct {
	Session uint64
	// Number increases with each report of a session. A resent report has the same
	// number, so that a death is counted once. Reports with number 0 are not
	// deduplicated.
	Number uint64
	// Death lists the requests that were in flight when a backend server ended.
	Death []QuarantineRow
	// Stalled describes a background request that waits too long, for the event
	// log.
	Stalled string
}

// ReportResponse is the response to a Report.
type ReportResponse struct {
	// Accepted means that the report was committed.
	Accepted bool
	// Leader is the address of the leader when the report was not committed, or
	// empty if unknown.
	Leader string
}

// HashAddresses returns a hash of a set of addresses, independent of their order.
func HashAddresses(addresses []string) uint64 {
	sum := fnv.New64a()
	for _, address := range slices.Sorted(slices.Values(addresses)) {
		// Writes to a hash never fail.
		_, _ = sum.Write([]byte(address + "\n"))
	}
	return sum.Sum64()
}
