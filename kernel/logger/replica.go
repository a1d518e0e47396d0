package logger

import "github.com/hashicorp/go-hclog"

// Events of the replication of the control state, 200 to 229.
var (
	LeaderElected     = Event{200, hclog.Info, "replica became leader"}
	LeaderLost        = Event{201, hclog.Warn, "replica is leader no more"}
	SnapshotInstalled = Event{202, hclog.Info, "replica took over a snapshot of the leader"}
	ReplicaFailed     = Event{203, hclog.Error, "replica cannot go on"}
	TornRecordCut     = Event{204, hclog.Warn, "torn last record was removed from the log"}
	DiskLost          = Event{206, hclog.Error, "disk takes no writes"}
	DiskFound         = Event{207, hclog.Info, "disk takes writes again"}
)

func replicaEvents() []Event {
	return []Event{LeaderElected, LeaderLost, SnapshotInstalled, ReplicaFailed, TornRecordCut, DiskLost, DiskFound}
}
