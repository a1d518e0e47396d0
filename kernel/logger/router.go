package logger

import "github.com/hashicorp/go-hclog"

// Events of routers as owners, 300 to 349.
var (
	LeaseGained     = Event{300, hclog.Info, "router gained its lease"}
	LeaseLost       = Event{301, hclog.Warn, "router lost its lease"}
	ServerAnnounced = Event{310, hclog.Info, "backend server announced itself"}
	ServerChanged   = Event{311, hclog.Warn, "backend server changed its state"}
)

func routerEvents() []Event {
	return []Event{LeaseGained, LeaseLost, ServerAnnounced, ServerChanged}
}
