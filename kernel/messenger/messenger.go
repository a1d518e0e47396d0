// Package messenger defines the messages that the processes of a cluster exchange,
// and the types of the operator interface and the backend interface.
//
// Messages between processes are encoded with msgpack. A struct is encoded as an
// array, so the order and the number of its fields are part of the protocol: a
// decoder rejects an array of another length. The exceptions are [Hello] and
// [TableDelta], whose contents have field names, and [ShardRow] and [ShardLoad], to
// which fields can be added at the end. Types of the operator interface also have JSON and YAML
// names.
//
// # Usage
//
//	response, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatResponse](
//		ctx, pool, address, messenger.KindHeartbeat, &heartbeat)
package messenger

// Version is the version of the protocol between processes. Both ends of a
// connection must use the same version.
const Version = 1

// Role is the role of a process, sent in its [Hello].
type Role string

// The roles of processes.
const (
	RoleControl Role = "control"
	RoleRouter  Role = "router"
)

// Kind is the type of a stream between two processes. It determines the messages
// that the stream carries.
type Kind uint8

// The kinds of streams, with their messages in order.
const (
	// KindHeartbeat carries Heartbeat, HeartbeatResponse (router to control).
	KindHeartbeat Kind = iota + 1
	// KindReplica carries elector messages in one direction (control to control).
	KindReplica
	// KindForward carries Request and body, then Response and body (router to
	// router).
	KindForward
	// KindOutcome carries OutcomeQuery, OutcomeResponse (router to router).
	KindOutcome
	// KindRecord carries Record, RecordResponse (owner to recorder).
	KindRecord
	// KindRecover carries RecoverQuery, RecoverResponse (new owner to recorder of
	// the old owner).
	KindRecover
	// KindReport carries Report, ReportResponse (router to control).
	KindReport
	// KindRelay carries Relay and body, then RelayResponse and body (router to
	// router).
	KindRelay
	// KindJoin carries JoinQuery, JoinResponse (control to control).
	KindJoin
	// KindInvitedRelay carries Relay, then RelayInvitation, then the body if it was
	// invited, then RelayResponse and body (router to router). It is opened only to a
	// peer whose Hello has Invites.
	KindInvitedRelay
)

// Hello is the first message on each connection, in both directions.
type Hello struct {
	// Cluster is the name of the cluster, from the settings.
	Cluster string
	// Version is [Version].
	Version int
	// Role is the role of the sender.
	Role Role
	// Name is the name of the sender, from its settings.
	Name string
	// Invites reports whether the sender accepts streams of KindInvitedRelay.
	Invites bool
	// Replies reports whether the sender reads and sends a [RelayReply] in place of a
	// [RelayResponse].
	Replies bool
	// Evacuates reports whether the sender, a replica, applies evacuations of failure
	// domains. Earlier versions ignore them.
	Evacuates bool
}
