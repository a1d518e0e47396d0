package supervisor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const step = 25 * time.Millisecond

// harness drives one supervisor like a control group with a single member: the
// commands that it proposes are committed at the next tick.
type harness struct {
	t          testing.TB
	machine    *supervisor.Supervisor
	now        timer.Instant
	raftStatus replicator.RaftStatus
	index      uint64
	pending    [][]byte
	// observe is called for each command that was applied.
	observe func(index uint64, data []byte, result assigner.Result)
}

func newHarness(t testing.TB) *harness {
	now := timer.Instant{Mono: time.Hour, Wall: 1000 * time.Hour}
	return &harness{
		t:       t,
		machine: supervisor.New(supervisor.Options{Cluster: "test"}),
		now:     now,
		raftStatus: replicator.RaftStatus{
			Name: "c1", Leading: true, Confirmed: true, Since: now, Term: 1,
			Leader: messenger.Member{Name: "c1", Address: "c1:1", Operator: "http://c1:2"},
		},
	}
}

// propose commits the pending commands and then a command, and returns its result.
func (h *harness) propose(command assigner.Command) assigner.Result {
	h.commit()
	command.Time = h.now.Wall.Milliseconds()
	data, err := assigner.Encode(&command)
	qt.Assert(h.t, err, qt.IsNil)
	return h.apply(data)
}

func (h *harness) apply(data []byte) assigner.Result {
	h.index++
	result := h.machine.Apply(h.index, data).(assigner.Result)
	if h.observe != nil {
		h.observe(h.index, data, result)
	}
	return result
}

func (h *harness) commit() {
	pending := h.pending
	h.pending = nil
	for _, data := range pending {
		h.apply(data)
	}
}

// tick advances the time by one step.
func (h *harness) tick() {
	h.commit()
	h.now = h.now.Add(step)
	h.pending = append(h.pending, h.machine.Tick(h.now, h.raftStatus)...)
}

// request sends a query to the machine.
func (h *harness) request(query any) any {
	response, commands := h.machine.Query(h.now, h.raftStatus, query)
	h.pending = append(h.pending, commands...)
	return response
}

// fakeRouter sends heartbeats like a router.
type fakeRouter struct {
	h         *harness
	heartbeat messenger.Heartbeat
	response  *messenger.HeartbeatResponse
	rows      map[messenger.ShardRef]messenger.ShardRow
	sessions  map[uint64]messenger.SessionRow
}

func newRouter(h *harness, number int, service string) *fakeRouter {
	return &fakeRouter{h: h, heartbeat: messenger.Heartbeat{
		Router:   fmt.Sprintf("r%d", number),
		Instance: uint64(1000 + number),
		Address:  fmt.Sprintf("10.0.0.%d:1", number),
		Domain:   fmt.Sprintf("d%d", number%3),
		State:    messenger.ServerReady,
		Server:   &messenger.ServerRow{Name: fmt.Sprintf("s%d", number), Service: service, Slots: 6},
	}}
}

// send sends a heartbeat and applies the response.
func (r *fakeRouter) send() messenger.HeartbeatStatus {
	r.heartbeat.Sequence++
	heartbeat := r.heartbeat
	r.response = r.h.request(&heartbeat).(*messenger.HeartbeatResponse)
	if r.response.Status == messenger.HeartbeatRenewed {
		r.heartbeat.Session = r.response.Session
		r.apply(r.response.Delta)
	}
	return r.response.Status
}

func (r *fakeRouter) apply(delta *messenger.TableDelta) {
	if delta == nil {
		return
	}
	if delta.Full || r.rows == nil {
		r.rows = make(map[messenger.ShardRef]messenger.ShardRow)
		r.sessions = make(map[uint64]messenger.SessionRow)
	}
	for _, row := range delta.Shards {
		r.rows[messenger.ShardRef{Service: row.Service, Shard: row.Shard}] = row
	}
	for _, row := range delta.Sessions {
		r.sessions[row.Session] = row
	}
	r.heartbeat.Revision = delta.To
}

// owned lists the shards that the router owns according to its table.
func (r *fakeRouter) owned() []messenger.ShardRef {
	var refs []messenger.ShardRef
	for _, ref := range sortedRefs(r.rows) {
		row := r.rows[ref]
		if row.Owner == r.heartbeat.Session && row.Phase != messenger.PhaseFree {
			refs = append(refs, messenger.ShardRef{Service: ref.Service, Shard: ref.Shard, Fence: row.Fence})
		}
	}
	return refs
}

// run lets routers send heartbeats for a while.
func (h *harness) run(span time.Duration, routers ...*fakeRouter) {
	for n := 0; time.Duration(n)*step < span; n++ {
		h.tick()
		if n%12 != 0 {
			continue
		}
		for _, router := range routers {
			router.send()
		}
	}
	h.commit()
	for _, router := range routers {
		router.send()
	}
}
