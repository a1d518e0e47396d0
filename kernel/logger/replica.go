package logger

import "github.com/hashicorp/go-hclog"

// Events of replication in the control group, 200 to 229.
var (
	LeaderElected     = Event{200, hclog.Info, "replica became leader"}
	LeaderLost        = Event{201, hclog.Warn, "replica is no longer leader"}
	SnapshotInstalled = Event{202, hclog.Info, "snapshot from the leader installed"}
	ReplicaFailed     = Event{203, hclog.Error, "replica failed"}
	TornRecordRemoved = Event{204, hclog.Warn, "torn last record removed from the log"}
	DiskUnwritable    = Event{206, hclog.Error, "disk is not writable"}
	DiskWritable      = Event{207, hclog.Info, "disk is writable again"}
	LeaderAbsent      = Event{208, hclog.Warn, "replica has no leader"}
)

func replicaEvents() []Event {
	return []Event{LeaderElected, LeaderLost, SnapshotInstalled, ReplicaFailed, TornRecordRemoved, DiskUnwritable, DiskWritable, LeaderAbsent}
}
