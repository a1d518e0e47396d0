package logger

import "github.com/hashicorp/go-hclog"

// Events of sessions, ownership and configuration, 230 to 299.
var (
	SessionOpened            = Event{230, hclog.Info, "router session opened"}
	SessionExpired           = Event{231, hclog.Warn, "router session expired"}
	SessionClosed            = Event{232, hclog.Info, "router session closed"}
	SessionResumed           = Event{234, hclog.Info, "router session resumed by a new process"}
	ExpiredSessionClosing    = Event{238, hclog.Warn, "router session without heartbeats is being closed"}
	SessionTakeover          = Event{239, hclog.Info, "new process takes over a router session"}
	MemberAdded              = Event{235, hclog.Info, "addition of a replica to the control group finished"}
	MemberChangeStarted      = Event{279, hclog.Info, "change of the members of the control group started"}
	JoinFailed               = Event{237, hclog.Info, "request to join the control group failed"}
	MemberRemoved            = Event{236, hclog.Warn, "removal of a replica from the control group finished"}
	RecordersLost            = Event{233, hclog.Warn, "router session lost recorders"}
	ShardsGranted            = Event{240, hclog.Info, "shards granted"}
	ShardsMoving             = Event{241, hclog.Info, "planned move of shards started"}
	RecordCopiesLost         = Event{242, hclog.Error, "all copies of records were lost"}
	RangesGranted            = Event{243, hclog.Info, "key ranges granted"}
	RangesMoving             = Event{244, hclog.Info, "planned move of key ranges started"}
	RangesReportedFree       = Event{245, hclog.Info, "router reported key ranges as free"}
	RangeOwnerChanged        = Event{246, hclog.Info, "key ranges have a new owner"}
	KeyPromoted              = Event{250, hclog.Info, "hot key promoted to its own shard"}
	KeyDemoted               = Event{251, hclog.Info, "key demoted to its hash shard"}
	ProfileChanged           = Event{260, hclog.Info, "profile changed"}
	ProfileRemoved           = Event{261, hclog.Info, "profile removed"}
	ServiceChanged           = Event{262, hclog.Info, "service changed"}
	DrainStarted             = Event{264, hclog.Info, "backend server drain started"}
	DrainEnded               = Event{265, hclog.Info, "backend server drain ended"}
	ConfigurationChanged     = Event{266, hclog.Info, "configuration changed"}
	ConfigurationRejected    = Event{268, hclog.Info, "submitted configuration rejected"}
	ConfigurationCommitted   = Event{267, hclog.Info, "submitted configuration committed"}
	ServerDeathReported      = Event{270, hclog.Warn, "backend server terminated with requests in flight"}
	RequestQuarantined       = Event{271, hclog.Warn, "request quarantined"}
	QuarantineLifted         = Event{272, hclog.Info, "quarantine lifted"}
	BackgroundRequestStalled = Event{273, hclog.Warn, "router reported a stalled background request"}
	RouterUnreachable        = Event{274, hclog.Warn, "router unreachable from most other routers; moving its shards"}
	EvacuationStarted        = Event{275, hclog.Warn, "evacuation of a failure domain started"}
	EvacuationEnded          = Event{276, hclog.Info, "evacuation of a failure domain ended"}
	DomainEmpty              = Event{277, hclog.Info, "evacuated failure domain is empty"}
	ServerWithdrawn          = Event{278, hclog.Info, "backend server withdrew"}
)

func controlEvents() []Event {
	return []Event{
		SessionOpened, SessionExpired, SessionClosed, SessionResumed, RecordersLost, MemberAdded, MemberRemoved, MemberChangeStarted, JoinFailed,
		ExpiredSessionClosing, SessionTakeover, RangesReportedFree, RangeOwnerChanged,
		RangesGranted, RangesMoving, ConfigurationChanged, ConfigurationCommitted, ConfigurationRejected,
		ShardsGranted, ShardsMoving, RecordCopiesLost,
		KeyPromoted, KeyDemoted,
		ProfileChanged, ProfileRemoved, ServiceChanged, DrainStarted, DrainEnded,
		ServerDeathReported, RequestQuarantined, QuarantineLifted, BackgroundRequestStalled, RouterUnreachable,
		EvacuationStarted, EvacuationEnded, DomainEmpty, ServerWithdrawn,
	}
}
