package logger

import "github.com/hashicorp/go-hclog"

// Events of sessions, ownership and configuration, 230 to 299.
var (
	SessionOpened = Event{230, hclog.Info, "session of a router opened"}
	SessionLapsed = Event{231, hclog.Warn, "session of a router lapsed"}
	SessionClosed = Event{232, hclog.Info, "session of a router ended in order"}
)

func controlEvents() []Event {
	return []Event{SessionOpened, SessionLapsed, SessionClosed}
}
