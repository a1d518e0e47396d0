package logger

import "github.com/hashicorp/go-hclog"

// Events of routers in the role of entry router, 350 to 399.
var (
	CallerListening      = Event{350, hclog.Info, "caller interface is listening"}
	RequestUnanswered    = Event{351, hclog.Info, "request ended without a response from a backend server"}
	RequestFailed        = Event{352, hclog.Warn, "no complete response from the backend server"}
	ConfigurationApplied = Event{353, hclog.Info, "router applied a configuration"}
	CallersCut           = Event{354, hclog.Warn, "connections of callers were closed by a stop while requests ran"}
)

func entryEvents() []Event {
	return []Event{CallerListening, RequestUnanswered, RequestFailed, ConfigurationApplied, CallersCut}
}
