package matrix

import (
	"sync"
	"time"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
)

// InjectionPoint is a frame at which a fault can be injected: the first one of a
// kind in one direction.
type InjectionPoint struct {
	Name string
	Kind messenger.Kind
	Type framer.Type
	// FromAcceptor selects frames from the side that accepted the connection.
	FromAcceptor bool
	// Leader requires that the leader of the control group sends (1) or receives
	// (-1) the frame; 0 requires nothing.
	Leader int
}

// The injection points.
var (
	pointRequestStart      = InjectionPoint{Name: "request forwarded", Kind: messenger.KindForward, Type: framer.TypeData}
	pointRequestEnd        = InjectionPoint{Name: "request whole at the owner", Kind: messenger.KindForward, Type: framer.TypeEnd}
	pointResponseStart     = InjectionPoint{Name: "answer begins", Kind: messenger.KindForward, Type: framer.TypeData, FromAcceptor: true}
	pointResponseEnd       = InjectionPoint{Name: "answer ends", Kind: messenger.KindForward, Type: framer.TypeEnd, FromAcceptor: true}
	pointRecordRequest     = InjectionPoint{Name: "record sent", Kind: messenger.KindRecord, Type: framer.TypeData}
	pointRecordResponse    = InjectionPoint{Name: "record answered", Kind: messenger.KindRecord, Type: framer.TypeData, FromAcceptor: true}
	pointRecoverRequest    = InjectionPoint{Name: "records asked for", Kind: messenger.KindRecover, Type: framer.TypeData}
	pointRecoverResponse   = InjectionPoint{Name: "records answered", Kind: messenger.KindRecover, Type: framer.TypeData, FromAcceptor: true}
	pointHeartbeat         = InjectionPoint{Name: "heartbeat", Kind: messenger.KindHeartbeat, Type: framer.TypeData}
	pointHeartbeatResponse = InjectionPoint{Name: "heartbeat answered", Kind: messenger.KindHeartbeat, Type: framer.TypeData, FromAcceptor: true}
	pointLeaderToReplica   = InjectionPoint{Name: "leader to replica", Kind: messenger.KindReplica, Type: framer.TypeData, Leader: 1}
	pointReplicaToLeader   = InjectionPoint{Name: "replica to leader", Kind: messenger.KindReplica, Type: framer.TypeData, Leader: -1}
	pointBetweenReplicas   = InjectionPoint{Name: "between replicas", Kind: messenger.KindReplica, Type: framer.TypeData}
)

// matches reports whether a frame is at the point.
func (p InjectionPoint) matches(info disrupter.FrameInfo, leader string) bool {
	if info.Kind != p.Kind || info.Type != p.Type {
		return false
	}
	switch p.Leader {
	case 1:
		return info.From == leader
	case -1:
		return info.To == leader
	}
	return p.Kind == messenger.KindReplica || p.FromAcceptor == info.FromAcceptor
}

// injector injects a fault once, at the first frame at its injection point after it
// was armed.
type injector struct {
	point  InjectionPoint
	fault  Fault
	leader string
	// skip is how many matching frames are ignored before the fault is injected.
	skip   int
	inject func(Target)
	// injected is closed when the fault is injected.
	injected chan struct{}

	mu    sync.Mutex
	armed bool
	frame *Target
}

// hook implements [disrupter.Hook].
func (i *injector) hook(info disrupter.FrameInfo) disrupter.FrameAction {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.armed || i.frame != nil || !i.point.matches(info, i.leader) || !i.isApplicableTo(info) {
		return disrupter.FrameAction{}
	}
	if i.skip > 0 {
		i.skip--
		return disrupter.FrameAction{}
	}
	i.frame = &Target{From: info.From, To: info.To}
	close(i.injected)
	if i.inject != nil {
		go i.inject(*i.frame)
	}
	return i.fault.Action
}

// isApplicableTo reports whether the fault can be injected at the frame.
func (i *injector) isApplicableTo(info disrupter.FrameInfo) bool {
	if i.fault.DiskAt == noEndpoint {
		return true
	}
	return IsControl(Target{info.From, info.To}.node(i.fault.DiskAt))
}

func (i *injector) arm(leader string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leader = leader
	i.armed = true
}

// disarm prevents a fault that was not injected yet.
func (i *injector) disarm() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.armed = false
}

// wait returns when the fault is injected, or after limit.
func (i *injector) wait(limit time.Duration) {
	select {
	case <-i.injected:
	case <-time.After(limit):
	}
}

func (i *injector) target() *Target {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.frame
}
