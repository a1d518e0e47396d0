package logger

import "github.com/hashicorp/go-hclog"

// Events of routers as entries for callers, 350 to 399.
var (
	CallerListening = Event{350, hclog.Info, "caller interface is listening"}
)

func entryEvents() []Event {
	return []Event{CallerListening}
}
