package logger

import "github.com/hashicorp/go-hclog"

// Events of the replication of the control state, 200 to 229.
var (
	LeaderElected = Event{200, hclog.Info, "replica became leader"}
	LeaderLost    = Event{201, hclog.Warn, "replica is leader no more"}
)

func replicaEvents() []Event {
	return []Event{LeaderElected, LeaderLost}
}
