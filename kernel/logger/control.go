package logger

import "github.com/hashicorp/go-hclog"

// Events of sessions, ownership and configuration, 230 to 299.
var (
	SessionOpened        = Event{230, hclog.Info, "session of a router opened"}
	SessionLapsed        = Event{231, hclog.Warn, "session of a router lapsed"}
	SessionClosed        = Event{232, hclog.Info, "session of a router ended in order"}
	SessionAdopted       = Event{234, hclog.Info, "new process of a router goes on with its session"}
	MemberEnrolled       = Event{235, hclog.Info, "replica was enrolled in the control group"}
	EnrolmentUnanswered  = Event{237, hclog.Info, "replica that wants to join got no answer"}
	MemberDropped        = Event{236, hclog.Warn, "replica was dropped from the control group"}
	RecordersLost        = Event{233, hclog.Warn, "session lost recorders"}
	ShardsGranted        = Event{240, hclog.Info, "shards were granted"}
	ShardsMoving         = Event{241, hclog.Info, "planned move of shards started"}
	RecordsForgotten     = Event{242, hclog.Error, "all holders of records were lost"}
	RangesGranted        = Event{243, hclog.Info, "ranges of keys were granted"}
	RangesMoving         = Event{244, hclog.Info, "planned move of ranges started"}
	KeyPromoted          = Event{250, hclog.Info, "hot key got a shard of its own"}
	KeyDemoted           = Event{251, hclog.Info, "key went back to its hash shard"}
	ProfileChanged       = Event{260, hclog.Info, "profile changed"}
	ProfileRemoved       = Event{261, hclog.Info, "profile was removed"}
	ServiceChanged       = Event{262, hclog.Info, "service changed"}
	DrainStarted         = Event{264, hclog.Info, "drain of a backend server started"}
	DrainEnded           = Event{265, hclog.Info, "drain of a backend server ended"}
	ConfigurationChanged = Event{266, hclog.Info, "configuration changed"}
	ConfigurationRefused = Event{268, hclog.Info, "configuration of an operator was refused"}
	ConfigurationTaken   = Event{267, hclog.Info, "configuration of an operator is safe"}
	ServerDied           = Event{270, hclog.Warn, "backend server ended with requests in flight"}
	RequestQuarantined   = Event{271, hclog.Warn, "request was quarantined"}
	QuarantineLifted     = Event{272, hclog.Info, "quarantine was lifted"}
	BackgroundStalled    = Event{273, hclog.Warn, "background request stalls"}
	RouterUnreached      = Event{274, hclog.Warn, "most other routers cannot reach a router, so its shards move"}
)

func controlEvents() []Event {
	return []Event{
		SessionOpened, SessionLapsed, SessionClosed, SessionAdopted, RecordersLost, MemberEnrolled, MemberDropped, EnrolmentUnanswered,
		RangesGranted, RangesMoving, ConfigurationChanged, ConfigurationTaken, ConfigurationRefused,
		ShardsGranted, ShardsMoving, RecordsForgotten,
		KeyPromoted, KeyDemoted,
		ProfileChanged, ProfileRemoved, ServiceChanged, DrainStarted, DrainEnded,
		ServerDied, RequestQuarantined, QuarantineLifted, BackgroundStalled, RouterUnreached,
	}
}
