package matrix

import (
	"sync"
	"time"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
)

// Point is a step of the system's work: the first frame of a kind in one
// direction.
type Point struct {
	Name string
	Kind messenger.Kind
	Type framer.Type
	// Back is the direction from the side that was dialled.
	Back bool
	// Leader asks that the leader of the control group sends (1) or receives
	// (-1) the frame.
	Leader int
}

// Points of the system's work.
var (
	pointForward   = Point{Name: "request forwarded", Kind: messenger.KindForward, Type: framer.TypeData}
	pointForwarded = Point{Name: "request whole at the owner", Kind: messenger.KindForward, Type: framer.TypeEnd}
	pointAnswer    = Point{Name: "answer begins", Kind: messenger.KindForward, Type: framer.TypeData, Back: true}
	pointAnswered  = Point{Name: "answer ends", Kind: messenger.KindForward, Type: framer.TypeEnd, Back: true}
	pointRecord    = Point{Name: "record sent", Kind: messenger.KindRecord, Type: framer.TypeData}
	pointRecorded  = Point{Name: "record answered", Kind: messenger.KindRecord, Type: framer.TypeData, Back: true}
	pointRecover   = Point{Name: "records asked for", Kind: messenger.KindRecover, Type: framer.TypeData}
	pointRecovered = Point{Name: "records answered", Kind: messenger.KindRecover, Type: framer.TypeData, Back: true}
	pointBeat      = Point{Name: "heartbeat", Kind: messenger.KindHeartbeat, Type: framer.TypeData}
	pointBeaten    = Point{Name: "heartbeat answered", Kind: messenger.KindHeartbeat, Type: framer.TypeData, Back: true}
	pointAppend    = Point{Name: "leader to replica", Kind: messenger.KindReplica, Type: framer.TypeData, Leader: 1}
	pointAppended  = Point{Name: "replica to leader", Kind: messenger.KindReplica, Type: framer.TypeData, Leader: -1}
	pointVote      = Point{Name: "between replicas", Kind: messenger.KindReplica, Type: framer.TypeData}
)

// matches reports whether a frame is at the point.
func (p Point) matches(step disrupter.Step, leader string) bool {
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

// trigger fires once, at the first frame at a point after it was armed.
type trigger struct {
	point  Point
	fault  Fault
	leader string
	skip   int
	fire   func(Target)
	// fired is closed when it has fired.
	fired chan struct{}

	mu    sync.Mutex
	armed bool
	hit   *Target
}

// hook implements disrupter.Hook.
func (t *trigger) hook(step disrupter.Step) disrupter.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.armed || t.hit != nil || !t.point.matches(step, t.leader) || !t.fits(step) {
		return disrupter.Verdict{}
	}
	if t.skip > 0 {
		t.skip--
		return disrupter.Verdict{}
	}
	t.hit = &Target{From: step.From, To: step.To}
	close(t.fired)
	if t.fire != nil {
		go t.fire(*t.hit)
	}
	return t.fault.Frame
}

// fits reports whether the fault can strike at the frame.
func (t *trigger) fits(step disrupter.Step) bool {
	if t.fault.Disk == noSide {
		return true
	}
	return IsControl(Target{step.From, step.To}.at(t.fault.Disk))
}

func (t *trigger) arm(leader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader = leader
	t.armed = true
}

// disarm keeps the trigger from firing any more.
func (t *trigger) disarm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = false
}

// await returns once the trigger has fired, or after limit.
func (t *trigger) await(limit time.Duration) {
	select {
	case <-t.fired:
	case <-time.After(limit):
	}
}

func (t *trigger) target() *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hit
}
