package logger

import "github.com/hashicorp/go-hclog"

// Events of routers as entries for callers, 350 to 399.
var (
	CallerListening = Event{350, hclog.Info, "caller interface is listening"}
	RequestEnded    = Event{351, hclog.Info, "request ended without an answer of a backend server"}
	RequestFailed   = Event{352, hclog.Warn, "request got no whole answer of the backend server"}
	MapChanged      = Event{353, hclog.Info, "router took over a configuration"}
)

func entryEvents() []Event {
	return []Event{CallerListening, RequestEnded, RequestFailed, MapChanged}
}
