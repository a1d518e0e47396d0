package logger

import "github.com/hashicorp/go-hclog"

// Events of routers in the role of owner, 300 to 349.
var (
	LeaseGained         = Event{300, hclog.Info, "router acquired its lease"}
	LeaseLost           = Event{301, hclog.Warn, "router lost its lease"}
	LeaseEnded          = Event{302, hclog.Info, "router released its lease"}
	ControlLost         = Event{303, hclog.Warn, "control group is not responding"}
	ControlFound        = Event{304, hclog.Info, "control group is responding again"}
	ServerAnnounced     = Event{310, hclog.Info, "backend server announced"}
	ServerChanged       = Event{311, hclog.Warn, "backend server state changed"}
	AnnouncementIgnored = Event{313, hclog.Info, "backend server announcement ignored"}
	ServerSummed        = Event{314, hclog.Info, "backend server load"}
	ServerCrashed       = Event{312, hclog.Warn, "backend server terminated with requests in flight"}
	RecordsRecovered    = Event{320, hclog.Info, "records of the previous owner recovered"}
	RecordsCopied       = Event{321, hclog.Info, "records copied to a joining recorder"}
	RangeCalled         = Event{322, hclog.Info, "backend server called to grant or release a key range"}
	RequestStalled      = Event{330, hclog.Warn, "background request stalled"}
)

func routerEvents() []Event {
	return []Event{
		LeaseGained, LeaseLost, LeaseEnded, ControlLost, ControlFound, ServerAnnounced, AnnouncementIgnored, ServerChanged, ServerSummed, ServerCrashed,
		RecordsRecovered, RecordsCopied, RangeCalled, RequestStalled,
	}
}
