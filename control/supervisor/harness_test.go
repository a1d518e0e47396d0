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

// harness drives one supervisor as a group of one would: what it proposes is
// committed at the next step.
type harness struct {
	t        testing.TB
	machine  *supervisor.Supervisor
	now      timer.Instant
	standing replicator.Standing
	index    uint64
	waiting  [][]byte
	// observe is told of each command that was applied.
	observe func(index uint64, data []byte, result assigner.Result)
}

func newHarness(t testing.TB) *harness {
	now := timer.Instant{Mono: time.Hour, Wall: 1000 * time.Hour}
	return &harness{
		t:       t,
		machine: supervisor.New(supervisor.Options{Cluster: "test"}),
		now:     now,
		standing: replicator.Standing{
			Name: "c1", Leading: true, Confirmed: true, Since: now, Term: 1,
			Leader: messenger.Member{Name: "c1", Address: "c1:1", Operator: "http://c1:2"},
		},
	}
}

// propose commits what is waiting and then a command; it returns its result.
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
	waiting := h.waiting
	h.waiting = nil
	for _, data := range waiting {
		h.apply(data)
	}
}

// pass lets time pass by one step.
func (h *harness) pass() {
	h.commit()
	h.now = h.now.Add(step)
	h.waiting = append(h.waiting, h.machine.Tick(h.now, h.standing)...)
}

// ask puts a question to the machine.
func (h *harness) ask(query any) any {
	answer, commands := h.machine.Query(h.now, h.standing, query)
	h.waiting = append(h.waiting, commands...)
	return answer
}

// fakeRouter sends heartbeats as a router would.
type fakeRouter struct {
	h        *harness
	beat     messenger.Heartbeat
	answer   *messenger.HeartbeatAnswer
	rows     map[messenger.ShardRef]messenger.ShardRow
	sessions map[uint64]messenger.SessionRow
}

func newRouter(h *harness, number int, service string) *fakeRouter {
	return &fakeRouter{h: h, beat: messenger.Heartbeat{
		Router:   fmt.Sprintf("r%d", number),
		Instance: uint64(1000 + number),
		Address:  fmt.Sprintf("10.0.0.%d:1", number),
		Domain:   fmt.Sprintf("d%d", number%3),
		State:    messenger.ServerReady,
		Server:   &messenger.ServerRow{Name: fmt.Sprintf("s%d", number), Service: service, Slots: 6},
	}}
}

// send sends a heartbeat and takes the answer in.
func (r *fakeRouter) send() messenger.HeartbeatStatus {
	r.beat.Sequence++
	beat := r.beat
	r.answer = r.h.ask(&beat).(*messenger.HeartbeatAnswer)
	if r.answer.Status == messenger.HeartbeatAlive {
		r.beat.Session = r.answer.Session
		r.take(r.answer.Delta)
	}
	return r.answer.Status
}

func (r *fakeRouter) take(delta *messenger.TableDelta) {
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
	r.beat.Revision = delta.To
}

// owned lists the shards that the router's table gives to it.
func (r *fakeRouter) owned() []messenger.ShardRef {
	var refs []messenger.ShardRef
	for _, place := range sortedPlaces(r.rows) {
		row := r.rows[place]
		if row.Owner == r.beat.Session && row.Phase != messenger.PhaseFree {
			refs = append(refs, messenger.ShardRef{Service: place.Service, Shard: place.Shard, Fence: row.Fence})
		}
	}
	return refs
}

// run lets routers send heartbeats for a while.
func (h *harness) run(span time.Duration, routers ...*fakeRouter) {
	for n := 0; time.Duration(n)*step < span; n++ {
		h.pass()
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
