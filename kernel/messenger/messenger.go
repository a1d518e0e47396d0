// Package messenger holds the typed messages that the processes of the system
// send each other, and the types of the operator interface.
//
// Messages between processes are encoded with msgpack; field order does not
// matter and unknown fields are skipped, so that a field can be added without a
// new protocol version. Types of the operator interface carry JSON and YAML
// names as well.
//
// # Usage
//
//	answer, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatAnswer](
//		ctx, link, messenger.KindHeartbeat, heartbeat)
package messenger

// Version is the version of the protocol between processes. Both ends of a
// connection must have the same.
const Version = 1

// Role is the role of a process, sent in its greeting.
type Role string

// The roles of processes.
const (
	RoleControl Role = "control"
	RoleRouter  Role = "router"
)

// Kind says what a stream between two processes carries.
type Kind uint8

// The kinds of streams. The comment gives the messages in order.
const (
	// KindHeartbeat carries Heartbeat, HeartbeatAnswer (router to control).
	KindHeartbeat Kind = iota + 1
	// KindReplica carries elector messages one way (control to control).
	KindReplica
	// KindForward carries Request and body, then Response and body (router to
	// router).
	KindForward
	// KindOutcome carries OutcomeQuery, OutcomeAnswer (router to router).
	KindOutcome
	// KindRecord carries Record, RecordAnswer (owner to recorder peer).
	KindRecord
	// KindRecover carries RecoverQuery, RecoverAnswer (new owner to recorder
	// peer of the old owner).
	KindRecover
	// KindReport carries Report, ReportAnswer (router to control).
	KindReport
	// KindRelay carries Relay and body, then RelayAnswer and body (router to
	// router).
	KindRelay
	// KindJoin carries JoinQuery, JoinAnswer (control to control).
	KindJoin
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
}
