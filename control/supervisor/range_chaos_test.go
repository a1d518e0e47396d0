package supervisor_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/router/mapper"
)

var (
	rangeSeeds     = flag.Int("range-seeds", 20, "how many seeds the simulation of ranges runs with")
	firstRangeSeed = flag.Uint64("first-range-seed", 0, "first seed of the simulation of ranges")
)

const (
	rangeChaosSteps = 4000
	rangeChaosNodes = 4
)

// fencedHold is the highest fence under which a backend server took keys.
type fencedHold struct {
	server int
	fence  uint64
}

// hold is the right of a backend server to work on keys. The server keeps it when the
// process of its router ends.
type hold struct {
	from, to uint32
	fence    uint64
	until    time.Duration
}

// rangeNode is a VM with a backend server and a router.
type rangeNode struct {
	number int
	holds  []hold
	router *rangedRouter
	// running is set while the process of the router runs; it starts again at startAt.
	running bool
	startAt time.Duration
	// announcedAt is when the server announces itself to the process.
	announcedAt time.Duration
	// leaseSentAt is when the heartbeat that renewed the lease was sent, lastSentAt when
	// the newest one was.
	leaseSentAt time.Duration
	lastSentAt  time.Duration
	// freed are the ranges that the process reports as free.
	freed []messenger.RangeRef
	// held is when the messages of the router move again.
	held time.Duration
}

// rangeMessage is a heartbeat in flight, or its response.
type rangeMessage struct {
	node      *rangeNode
	due       time.Duration
	sent      time.Duration
	heartbeat *messenger.Heartbeat
	response  *messenger.HeartbeatResponse
}

// rangeChaos drives a leader and routers with ranges through random faults: late,
// doubled and lost heartbeats, cuts, routers that are killed and start again beside a
// server that goes on, new leaders, slow commits, and steps of the leader's wall clock.
// After each step it checks that no two servers hold a key.
type rangeChaos struct {
	h            *harness
	random       *rand.Rand
	nodes        []*rangeNode
	inFlight     []rangeMessage
	fences       *splitter.Map[fencedHold]
	frozenUntil  time.Duration
	commitsUntil time.Duration
	counts       map[string]int
}

func newRangeChaos(t *testing.T, seed uint64) *rangeChaos {
	c := &rangeChaos{
		h:      rangedHarness(t),
		random: rand.New(rand.NewPCG(seed, seed)),
		fences: splitter.New[fencedHold](messenger.LastKey),
		counts: make(map[string]int),
	}
	for number := range rangeChaosNodes {
		n := &rangeNode{number: number, running: true, router: newRanged(c.h, number+1)}
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (c *rangeChaos) now() time.Duration { return c.h.now.Mono }

// milliseconds returns a random time of less than limit milliseconds.
func (c *rangeChaos) milliseconds(limit int) time.Duration {
	return time.Duration(c.random.IntN(limit)) * time.Millisecond
}

// hasLease reports whether the lease of a router is valid.
func (c *rangeChaos) hasLease(n *rangeNode) bool {
	return n.running && n.router.heartbeat.Session != 0 && c.now()-n.leaseSentAt < messenger.LeaseDuration
}

// kill ends the process of a router. Its heartbeats in flight may still arrive.
func (c *rangeChaos) kill(n *rangeNode) {
	n.running = false
	n.startAt = c.now() + c.milliseconds(1500)
}

func (c *rangeChaos) start(n *rangeNode) {
	c.counts["restarts"]++
	before := n.router
	n.router = before.restart()
	n.router.maps = mapper.New()
	n.running = true
	n.freed = nil
	n.announcedAt = c.now() + c.milliseconds(1000)
	n.router.heartbeat.Freed = nil
}

// endSession ends the session locally, as a keeper does. What was reported as free is
// forgotten. Keepers of earlier versions went on as the same instance.
func (c *rangeChaos) endSession(n *rangeNode) {
	c.counts["ended sessions"]++
	n.router.heartbeat.Session = 0
	if c.random.IntN(2) == 0 {
		n.router.heartbeat.Instance++
	}
	n.freed = nil
}

// act does what a router does between heartbeats: it renews the holds of its server,
// releases the ranges that move away, and gives some up.
func (c *rangeChaos) act(n *rangeNode) {
	if n.router.heartbeat.Session != 0 && !c.hasLease(n) {
		c.endSession(n)
	}
	if !c.hasLease(n) || c.now() < n.announcedAt {
		return
	}
	for _, row := range n.router.rows() {
		ref := messenger.RangeRef{Service: "findings", From: row.From, To: row.To, Fence: row.Fence}
		switch {
		case c.isFreed(n, row):
		case row.Phase == messenger.PhaseMoving, c.random.IntN(2000) == 0:
			n.removeHolds(row.From, row.To)
			n.freed = append(n.freed, ref)
		default:
			c.take(n, row)
		}
	}
}

// isFreed reports whether a range was reported as free. A range may be split meanwhile.
func (c *rangeChaos) isFreed(n *rangeNode, row messenger.RangeRow) bool {
	return slices.ContainsFunc(n.freed, func(ref messenger.RangeRef) bool {
		return ref.Fence == row.Fence && ref.From <= row.To && row.From <= ref.To
	})
}

func (n *rangeNode) removeHolds(from, to uint32) {
	var kept []hold
	for _, h := range n.holds {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{from: h.from, to: from - 1, fence: h.fence, until: h.until})
		}
		if h.to > to {
			kept = append(kept, hold{from: to + 1, to: h.to, fence: h.fence, until: h.until})
		}
	}
	n.holds = kept
}

// take grants a range to the server until the lease ends.
func (c *rangeChaos) take(n *rangeNode, row messenger.RangeRow) {
	taken := fencedHold{server: n.number, fence: row.Fence}
	for _, piece := range c.fences.Within(row.From, row.To) {
		previous := piece.Value
		if previous.fence > row.Fence || (previous.fence == row.Fence && previous.server != n.number) {
			c.h.t.Fatalf("%v: server %d takes %+v, which server %d had under fence %d", c.now(), n.number, row, previous.server, previous.fence)
		}
	}
	if c.fences.Find(row.From).Value.server != n.number {
		c.counts["takeovers"]++
	}
	c.fences.Set(row.From, row.To, taken)
	n.removeHolds(row.From, row.To)
	n.holds = append(n.holds, hold{from: row.From, to: row.To, fence: row.Fence, until: n.leaseSentAt + messenger.LeaseDuration})
}

// send sends a heartbeat.
func (c *rangeChaos) send(n *rangeNode) {
	n.router.heartbeat.Sequence++
	heartbeat := n.router.heartbeat
	heartbeat.Revision = n.router.maps.Load().Revision
	heartbeat.Freed = slices.Clone(n.freed)
	if c.now() < n.announcedAt {
		heartbeat.Server, heartbeat.State, heartbeat.Freed = nil, messenger.ServerAbsent, nil
	}
	n.lastSentAt = c.now()
	c.transmit(rangeMessage{node: n, sent: c.now(), heartbeat: &heartbeat})
}

// close stops a process that knows of no keys, as a router does at SIGTERM.
func (c *rangeChaos) close(n *rangeNode) {
	if n.router.heartbeat.Session == 0 || (c.now() >= n.announcedAt && len(n.router.rows()) > 0) {
		return
	}
	c.counts["closes"]++
	n.router.heartbeat.Close, n.router.heartbeat.Leaving = true, true
	c.send(n)
	c.kill(n)
}

func (c *rangeChaos) transmit(message rangeMessage) {
	copies := 1
	if c.random.IntN(30) == 0 {
		copies = c.random.IntN(3)
	}
	for range copies {
		message.due = max(c.now(), message.node.held) + c.milliseconds(30)
		if c.random.IntN(30) == 0 {
			message.due += c.milliseconds(2500)
		}
		c.inFlight = append(c.inFlight, message)
	}
}

// deliver delivers the messages that are due, in random order.
func (c *rangeChaos) deliver() {
	pending := c.inFlight
	c.inFlight = nil
	c.random.Shuffle(len(pending), func(a, b int) { pending[a], pending[b] = pending[b], pending[a] })
	for _, message := range pending {
		switch {
		case c.now() < message.due:
			c.inFlight = append(c.inFlight, message)
		case message.response == nil:
			message.response = c.h.request(message.heartbeat).(*messenger.HeartbeatResponse)
			c.counts[string(message.response.Status)]++
			c.transmit(message)
		default:
			c.accept(message)
		}
	}
}

// accept applies a response at the router, as its keeper does.
func (c *rangeChaos) accept(message rangeMessage) {
	n, heartbeat, response := message.node, message.heartbeat, message.response
	current := &n.router.heartbeat
	if !n.running || heartbeat.Instance != current.Instance || heartbeat.Sequence != current.Sequence || heartbeat.Session != current.Session {
		return
	}
	if response.Status == messenger.HeartbeatExpired && current.Session != 0 {
		c.endSession(n)
	}
	if response.Status != messenger.HeartbeatRenewed || c.now()-message.sent >= messenger.LeaseDuration {
		return
	}
	current.Session = response.Session
	if response.Delta != nil && response.Delta.To > n.router.maps.Load().Revision {
		qt.Assert(c.h.t, n.router.maps.Apply(response.Delta), qt.IsNil)
	}
	n.leaseSentAt = max(message.sent, n.leaseSentAt)
}

// commit commits the proposals, or only the first of them while commits are slow.
func (c *rangeChaos) commit() {
	count := len(c.h.pending)
	if c.now() < c.commitsUntil {
		count = c.random.IntN(min(count, 1) + 1)
	}
	for _, data := range c.h.pending[:count] {
		c.h.apply(data)
	}
	c.h.pending = c.h.pending[count:]
}

func (c *rangeChaos) step() {
	c.commit()
	c.h.now = c.h.now.Add(step)
	if c.now() >= c.frozenUntil {
		c.deliver()
		c.h.pending = append(c.h.pending, c.h.machine.Tick(c.h.now, c.h.raftStatus)...)
	}
	for i, n := range c.nodes {
		if !n.running && c.now() >= n.startAt {
			c.start(n)
		}
		if !n.running {
			continue
		}
		c.act(n)
		if (int(c.now()/step)+i)%12 == 0 {
			c.send(n)
		}
	}
	c.fault()
	c.check()
}

// fault injects a random fault in some of the steps.
func (c *rangeChaos) fault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(400) {
	case 0, 1, 2:
		if n.running {
			c.kill(n)
		}
	case 3, 4, 5:
		n.held = c.now() + c.milliseconds(4000)
	case 6:
		c.newLeader()
	case 7:
		c.h.raftStatus.Confirmed = false
	case 8, 9, 10, 11, 12:
		c.h.raftStatus.Confirmed = true
	case 13, 14, 15, 16:
		c.h.now.Wall += c.milliseconds(1000) - 500*time.Millisecond
	case 17:
		c.h.now.Wall += c.milliseconds(8000) - 4*time.Second
	case 18, 19:
		c.commitsUntil = c.now() + c.milliseconds(600)
	case 20:
		c.frozenUntil = c.now() + c.milliseconds(2000)
	case 21, 22, 23, 24:
		c.move(n)
	case 25, 26:
		n.router.heartbeat.Leaving = !n.router.heartbeat.Leaving
	case 27, 28:
		if n.running {
			c.close(n)
		}
	}
}

// move proposes a planned move of some keys to a node.
func (c *rangeChaos) move(n *rangeNode) {
	from := c.random.Uint32N(messenger.LastKey)
	data, err := assigner.Encode(&assigner.Command{Time: c.h.now.Wall.Milliseconds(), MoveRanges: &assigner.MoveRanges{
		Service:    "findings",
		Placements: []assigner.RangePlacement{{Session: n.router.heartbeat.Session, From: from, To: min(from+8000, messenger.LastKey)}},
	}})
	qt.Assert(c.h.t, err, qt.IsNil)
	c.h.pending = append(c.h.pending, data)
}

// newLeader commits only a prefix of what the old leader proposed, and starts a new
// leader from a snapshot.
func (c *rangeChaos) newLeader() {
	c.counts["leaders"]++
	c.h.pending = c.h.pending[:c.random.IntN(len(c.h.pending)+1)]
	c.h.commit()
	snapshot, err := c.h.machine.Snapshot()
	qt.Assert(c.h.t, err, qt.IsNil)
	c.h.machine = supervisor.New(supervisor.Options{Cluster: "test"})
	qt.Assert(c.h.t, c.h.machine.Restore(c.h.index, snapshot), qt.IsNil)
	c.h.raftStatus.Term++
	c.h.raftStatus.Since = c.h.now
	c.h.raftStatus.Confirmed = true
}

// check checks that no two servers hold a key.
func (c *rangeChaos) check() {
	for i, n := range c.nodes {
		n.holds = slices.DeleteFunc(n.holds, func(h hold) bool { return h.until <= c.now() })
		for _, other := range c.nodes[:i] {
			for _, a := range n.holds {
				for _, b := range other.holds {
					if a.from <= b.to && b.from <= a.to {
						c.h.t.Fatalf("%v: servers %d and %d hold the same keys: %+v and %+v", c.now(), n.number, other.number, a, b)
					}
				}
			}
		}
	}
}

// TestNoTwoServersHoldAKey runs the simulation with several seeds, and checks that the
// faults led to the listed events at least once.
func TestNoTwoServersHoldAKey(t *testing.T) {
	total := make(map[string]int)
	for i := range uint64(*rangeSeeds) {
		seed := *firstRangeSeed + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newRangeChaos(t, seed)
			for range rangeChaosSteps {
				c.step()
			}
			for name, count := range c.counts {
				total[name] += count
			}
		})
	}
	t.Log(total)
	for _, name := range []string{"takeovers", "restarts", "ended sessions", "closes", "leaders", "alive", "expired", "wait", "unconfirmed"} {
		qt.Check(t, total[name] > 0, qt.IsTrue, qt.Commentf("no %s", name))
	}
}
