package messenger

import (
	"hash/fnv"
	"slices"
	"time"
)

// Times of the lease protocol, unless settings say otherwise; see Timing.
const (
	// HeartbeatInterval is the time between two heartbeats of a router.
	HeartbeatInterval = 300 * time.Millisecond
	// LeaseTime is how long a lease lasts after the heartbeat was sent.
	LeaseTime = 1500 * time.Millisecond
	// LeaseMargin covers clock drift: control counts a lease longer by it.
	LeaseMargin = 150 * time.Millisecond
)

// Timing are the times of the lease protocol. All processes of a cluster must
// have the same.
type Timing struct {
	// Interval is the time between two heartbeats of a router.
	Interval time.Duration `yaml:"interval"`
	// Lease is how long a lease lasts after the heartbeat was sent.
	Lease time.Duration `yaml:"lease"`
	// Margin covers clock drift: control counts a lease longer by it.
	Margin time.Duration `yaml:"margin"`
}

// Complete returns the timing with defaults in place of zeros.
func (t Timing) Complete() Timing {
	if t.Interval == 0 {
		t.Interval = HeartbeatInterval
	}
	if t.Lease == 0 {
		t.Lease = LeaseTime
	}
	if t.Margin == 0 {
		t.Margin = LeaseMargin
	}
	return t
}

// Times of the control group.
const (
	// ElectionTimeMin is the shortest election time-out, and how long a
	// follower withholds its vote after it heard a leader.
	ElectionTimeMin = 450 * time.Millisecond
	// ElectionTimeMax is the longest election time-out.
	ElectionTimeMax = 700 * time.Millisecond
	// UnansweredMax is how many heartbeats in a row may go without an answer
	// before the next one renews nothing.
	UnansweredMax = 1
	// ReplicaInterval is the time between two heartbeats of a control leader.
	ReplicaInterval = 75 * time.Millisecond
)

// ServerState is the state of a backend server as its router judges it.
type ServerState string

// The states of a backend server.
const (
	ServerReady   ServerState = "ready"
	ServerFrozen  ServerState = "frozen"
	ServerDown    ServerState = "down"
	ServerLeaving ServerState = "leaving"
	ServerAbsent  ServerState = "absent"
)

// ShardRef names a shard under one grant.
type ShardRef struct {
	Service string
	Shard   uint32
	Fence   uint64
}

// ShardLoad is the work of one shard since the last heartbeat.
type ShardLoad struct {
	Service string
	Shard   uint32
	// Requests is how many requests were finished.
	Requests uint64
	// Busy is the slot time that they took.
	Busy time.Duration
}

// KeyLoad is the estimated work of one key in the last window.
type KeyLoad struct {
	Service string
	Key     string
	// Part is its part of the server's load, 0 to 1.
	Part float64
}

// Heartbeat opens or renews the session of a router.
type Heartbeat struct {
	Router string
	// Instance is a random number of this start of the process. A session
	// belongs to one instance.
	Instance uint64
	// Session is the session to renew; 0 opens one.
	Session uint64
	// Sequence grows with each heartbeat of the instance.
	Sequence uint64
	Address  string
	Domain   string
	Region   string
	Server   *ServerRow
	State    ServerState
	// Revision is the revision of the routing table that the router has
	// applied.
	Revision uint64
	// Released are shards that the router serves no more: nothing of them is
	// in flight and nothing will be admitted under that fence.
	Released []ShardRef
	// Recovered are shards granted with Survivors whose records this router has
	// read and stored at its own recorders.
	Recovered []ShardRef
	// Copied are joining recorders that hold all records now.
	Copied []uint64
	// Loads are the busiest shards, at most 64.
	Loads []ShardLoad
	// Requests and Busy sum up the finished work of all shards since the last
	// heartbeat; when both are 0 the sums of Loads stand for them.
	Requests uint64
	Busy     time.Duration
	// Keys are the hottest keys, at most 16.
	Keys []KeyLoad
	// Queue is the number of requests waiting at this owner.
	Queue int
	// Stalled is the number of background requests waiting longer than half
	// their deadline.
	Stalled int
	// Unanswered is how many heartbeats went out since an answer came in.
	Unanswered int
	// Unreached are the sessions of other routers that this one cannot reach.
	Unreached []uint64
	// Leaving says that the process is shutting down and wants to give its
	// shards away.
	Leaving bool
	// Close says that the router has released everything and ends its session.
	Close bool
	// Routed says that the router serves the routes of a configuration: its
	// backend server takes ranges of keys, or none, in place of shards.
	Routed bool
	// Sole says that no earlier process of the router is left on its VM, since
	// this one listens at the address that the earlier one had.
	Sole bool
	// Freed are ranges that the backend server does not hold any more.
	Freed []RangeRef
	// Work is sent once in a while by a router whose service has ranges.
	Work *RangeReport
	// Members is the sum of the addresses of the control group that the router
	// knows, see HeartbeatAnswer.
	Members uint64
}

// HeartbeatStatus says how a heartbeat was taken.
type HeartbeatStatus string

// The ways a heartbeat is taken.
const (
	// HeartbeatAlive renews the lease, counted from when the heartbeat was sent.
	HeartbeatAlive HeartbeatStatus = "alive"
	// HeartbeatRedirect means that another replica leads; see Leader.
	HeartbeatRedirect HeartbeatStatus = "redirect"
	// HeartbeatUnconfirmed means that the leader cannot confirm that it leads.
	HeartbeatUnconfirmed HeartbeatStatus = "unconfirmed"
	// HeartbeatUnheard means that the answers before were lost, so the lease is
	// not renewed until the router has heard one: a router that can be heard
	// but hears nothing must not keep its shards.
	HeartbeatUnheard HeartbeatStatus = "unheard"
	// HeartbeatExpired means that the session is closed; open a new one.
	HeartbeatExpired HeartbeatStatus = "expired"
	// HeartbeatWait means that the session of an earlier instance must lapse
	// first, or that the opening is not committed yet.
	HeartbeatWait HeartbeatStatus = "wait"
)

// HeartbeatStatuses lists all ways, for counters.
func HeartbeatStatuses() []HeartbeatStatus {
	return []HeartbeatStatus{
		HeartbeatAlive, HeartbeatRedirect, HeartbeatUnconfirmed, HeartbeatUnheard, HeartbeatExpired, HeartbeatWait,
	}
}

// HeartbeatAnswer answers a Heartbeat. The router extends its lease only after
// it applied Delta, and only when Status is alive.
type HeartbeatAnswer struct {
	Status   HeartbeatStatus
	Session  uint64
	Sequence uint64
	// Leader is the address of the leader, when known and redirecting.
	Leader string
	// Delta brings the routing table of the router up to the newest revision;
	// nil when it has that already.
	Delta *TableDelta
	// More says that Delta was bounded and another heartbeat should follow at
	// once; the lease is not extended yet.
	More bool
	// Members are the addresses of the control group, when the router knows
	// others.
	Members []string
}

// Report tells the control group of something outside the heartbeat's rhythm.
type Report struct {
	Session uint64
	// Number grows with each report of a session; a resend repeats it, so that
	// a death is counted once. Reports with number 0 are not told apart.
	Number uint64
	// Death lists the fingerprints in flight when a backend server died.
	Death []QuarantineRow
	// Stalled is a background request that stalls or starves, for the events.
	Stalled string
}

// ReportAnswer answers a Report.
type ReportAnswer struct {
	// Accepted says that the report was committed.
	Accepted bool
	// Leader is the address of the leader when it was not.
	Leader string
}

// SumOf identifies a set of addresses, whatever their order.
func SumOf(addresses []string) uint64 {
	sum := fnv.New64a()
	for _, address := range slices.Sorted(slices.Values(addresses)) {
		// Writes to a hash never fail.
		_, _ = sum.Write([]byte(address + "\n"))
	}
	return sum.Sum64()
}
