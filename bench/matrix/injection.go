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
	// Back selects frames from the side that accepted the connection.
	Back bool
	// Leader requires that the leader of the control group sends (1) or receives
	// (-1) the frame; 0 requires nothing.
	Leader int
}

// The injection points.
var (
	pointRequestStart    = InjectionPoint{Name: "request forwarded", Kind: messenger.KindForward, Type: framer.TypeData}
	pointRequestEnd      = InjectionPoint{Name: "request whole at the owner", Kind: messenger.KindForward, Type: framer.TypeEnd}
	pointResponseStart   = InjectionPoint{Name: "answer begins", Kind: messenger.KindForward, Type: framer.TypeData, Back: true}
	pointResponseEnd     = InjectionPoint{Name: "answer ends", Kind: messenger.KindForward, Type: framer.TypeEnd, Back: true}
	pointRecordRequest   = InjectionPoint{Name: "record sent", Kind: messenger.KindRecord, Type: framer.TypeData}
	pointRecordReply     = InjectionPoint{Name: "record answered", Kind: messenger.KindRecord, Type: framer.TypeData, Back: true}
	pointRecoverRequest  = InjectionPoint{Name: "records asked for", Kind: messenger.KindRecover, Type: framer.TypeData}
	pointRecoverReply    = InjectionPoint{Name: "records answered", Kind: messenger.KindRecover, Type: framer.TypeData, Back: true}
	pointHeartbeat       = InjectionPoint{Name: "heartbeat", Kind: messenger.KindHeartbeat, Type: framer.TypeData}
	pointHeartbeatReply  = InjectionPoint{Name: "heartbeat answered", Kind: messenger.KindHeartbeat, Type: framer.TypeData, Back: true}
	pointLeaderToReplica = InjectionPoint{Name: "leader to replica", Kind: messenger.KindReplica, Type: framer.TypeData, Leader: 1}
	pointReplicaToLeader = InjectionPoint{Name: "replica to leader", Kind: messenger.KindReplica, Type: framer.TypeData, Leader: -1}
	pointBetweenReplicas = InjectionPoint{Name: "between replicas", Kind: messenger.KindReplica, Type: framer.TypeData}
)

// matches reports whether a frame is at the point.
func (p InjectionPoint) matches(step disrupter.Step, leader string) bool {
	if step.Kind != p.Kind || step.Type != p.Type {
		return false
	}
	switch p.Leader {
	case 1:
		return step.From == leader
	case -1:
		return step.To == leader
	}
	return p.Kind == messenger.KindReplica || p.Back == step.Back
}

// injector injects a fault once, at the first frame at its injection point after it
// was armed.
type injector struct {
	point  InjectionPoint
	fault  Fault
	leader string
	skip   int
	inject func(Target)
	// injected is closed when the fault is injected.
	injected chan struct{}

	mu    sync.Mutex
	armed bool
	frame *Target
}

// hook implements [disrupter.Hook].
func (i *injector) hook(step disrupter.Step) disrupter.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.armed || i.frame != nil || !i.point.matches(step, i.leader) || !i.isApplicableTo(step) {
		return disrupter.Verdict{}
	}
	if i.skip > 0 {
		i.skip--
		return disrupter.Verdict{}
	}
	i.frame = &Target{From: step.From, To: step.To}
	close(i.injected)
	if i.inject != nil {
		go i.inject(*i.frame)
	}
	return i.fault.FrameAction
}

// isApplicableTo reports whether the fault can be injected at the frame.
func (i *injector) isApplicableTo(step disrupter.Step) bool {
	if i.fault.DiskAt == noEndpoint {
		return true
	}
	return IsControl(Target{step.From, step.To}.node(i.fault.DiskAt))
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
