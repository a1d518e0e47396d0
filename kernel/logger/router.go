package logger

import "github.com/hashicorp/go-hclog"

// Events of routers as owners, 300 to 349.
var (
	LeaseGained         = Event{300, hclog.Info, "router gained its lease"}
	LeaseLost           = Event{301, hclog.Warn, "router lost its lease"}
	LeaseEnded          = Event{302, hclog.Info, "router gave its lease back"}
	ControlLost         = Event{303, hclog.Warn, "control group does not answer"}
	ControlFound        = Event{304, hclog.Info, "control group answers again"}
	ServerAnnounced     = Event{310, hclog.Info, "backend server announced itself"}
	ServerChanged       = Event{311, hclog.Warn, "backend server changed its state"}
	AnnouncementIgnored = Event{313, hclog.Info, "announcement of a backend server was ignored"}
	ServerSummed        = Event{314, hclog.Info, "work of the backend server"}
	ServerCrashed       = Event{312, hclog.Warn, "backend server ended with requests in flight"}
	RecordsRecovered    = Event{320, hclog.Info, "records of an earlier owner were read"}
	RecordsCopied       = Event{321, hclog.Info, "records were copied to a joining recorder"}
	RangeCalled         = Event{322, hclog.Info, "backend server was told of a range of keys"}
	RequestStalled      = Event{330, hclog.Warn, "background request waits too long"}
)

func routerEvents() []Event {
	return []Event{
		LeaseGained, LeaseLost, LeaseEnded, ControlLost, ControlFound, ServerAnnounced, AnnouncementIgnored, ServerChanged, ServerSummed, ServerCrashed,
		RecordsRecovered, RecordsCopied, RangeCalled, RequestStalled,
	}
}
