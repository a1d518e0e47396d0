package logger

import "github.com/hashicorp/go-hclog"

// Events of routers in the role of owner, 300 to 349.
var (
	LeaseAcquired       = Event{300, hclog.Info, "router acquired its lease"}
	LeaseLost           = Event{301, hclog.Warn, "router lost its lease"}
	LeaseReleased       = Event{302, hclog.Info, "router released its lease"}
	ControlUnreachable  = Event{303, hclog.Warn, "control group is not responding"}
	ControlReachable    = Event{304, hclog.Info, "control group is responding again"}
	ServerAnnounced     = Event{310, hclog.Info, "backend server announced"}
	ServerStateChanged  = Event{311, hclog.Warn, "backend server state changed"}
	AnnouncementIgnored = Event{313, hclog.Info, "backend server announcement ignored"}
	ServerLoad          = Event{314, hclog.Info, "backend server load"}
	ServerLimitChanged  = Event{315, hclog.Info, "backend server named another limit"}
	EvacuationChanged   = Event{316, hclog.Warn, "evacuation of the router's own failure domain changed"}
	ServerCold          = Event{317, hclog.Info, "backend server is cold"}
	ServerWarm          = Event{318, hclog.Info, "backend server is warm"}
	ServerChecked       = Event{319, hclog.Info, "health check of the backend server"}
	ServerTerminated    = Event{312, hclog.Warn, "backend server terminated with requests in flight"}
	RecordsRecovered    = Event{320, hclog.Info, "records of the previous owner recovered"}
	RecordsCopied       = Event{321, hclog.Info, "records copied to a joining recorder"}
	RangeCallCompleted  = Event{322, hclog.Info, "backend server called to grant or release a key range"}
	RangesFreed         = Event{323, hclog.Info, "key range is free: the backend server no longer holds it"}
	RequestStalled      = Event{330, hclog.Warn, "background request stalled"}
	ResponseOversized   = Event{331, hclog.Warn, "backend server sent more than a response may contain"}
	LinkFull            = Event{332, hclog.Warn, "link of the VM is full"}
	PeersCut            = Event{333, hclog.Warn, "links to other routers were closed by a stop while requests ran"}
)

func routerEvents() []Event {
	return []Event{
		LeaseAcquired, LeaseLost, LeaseReleased, ControlUnreachable, ControlReachable, ServerAnnounced, AnnouncementIgnored, ServerStateChanged, ServerLoad, ServerTerminated, ServerLimitChanged,
		EvacuationChanged, ServerCold, ServerWarm, ServerChecked,
		RecordsRecovered, RecordsCopied, RangeCallCompleted, RangesFreed, RequestStalled, ResponseOversized, LinkFull, PeersCut,
	}
}
