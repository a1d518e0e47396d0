package supervisor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
	"marigoldhill/kernel/timer"
)

const (
	chaosSteps  = 3000
	chaosShards = 12
	chaosNodes  = 6
)

// message is a heartbeat in flight, or its response.
type message struct {
	node      *node
	due       timer.Instant
	sent      timer.Instant
	heartbeat *messenger.Heartbeat
	response  *messenger.HeartbeatResponse
}

// chaos drives a leader and routers through random faults, and checks the
// invariants after each step.
type chaos struct {
	h        *harness
	random   *rand.Rand
	nodes    []*node
	inFlight []message
	// restored is a replica that applies the same log and is restored from a
	// snapshot at times. reference is one that is never restored.
	restored  *assigner.State
	reference *assigner.State
	// deltaReader follows the reference replica by deltas.
	deltaReader *deltaReader
	log         [][]byte
	// rows are the shard rows before the last command.
	rows map[uint32]messenger.ShardRow
	// recorders are the recorder sets before the last command.
	recorders map[uint64][]uint64
	// demoting reports whether the command demotes a key. The mark that records of
	// the key were forgotten then goes to its hash shard.
	demoting bool
	// records has the records that were made for each shard and are not forgotten.
	records    map[uint32][]int
	lastRecord int
	counts     map[string]int
}

func newChaos(t testing.TB, seed uint64) *chaos {
	c := &chaos{
		h:           newHarness(t),
		random:      rand.New(rand.NewPCG(seed, seed)),
		restored:    assigner.New(),
		reference:   assigner.New(),
		deltaReader: newDeltaReader(),
		rows:        make(map[uint32]messenger.ShardRow),
		records:     make(map[uint32][]int),
		counts:      make(map[string]int),
	}
	c.h.observe = c.observe
	for _, profile := range profiler.DefaultProfiles() {
		c.h.propose(assigner.Command{PutProfile: &assigner.PutProfile{Profile: profile}})
	}
	service := profiler.DefaultService("findings")
	service.Shards = chaosShards
	service.Retention = 3 * time.Second
	c.h.propose(assigner.Command{PutService: &assigner.PutService{Service: service}})
	for number := range chaosNodes {
		n := &node{router: newRouter(c.h, number, "findings"), random: c.random}
		n.reset()
		c.nodes = append(c.nodes, n)
	}
	return c
}

// running returns the running node of a session.
func (c *chaos) running(session uint64) *node {
	for _, n := range c.nodes {
		if session != 0 && !n.stopped && n.session() == session && c.h.now.Since(n.frozenUntil) >= 0 {
			return n
		}
	}
	return nil
}

// observe applies each command of the log to the other replicas and checks the
// changes of owner that it made.
func (c *chaos) observe(index uint64, data []byte, result assigner.Result) {
	c.log = append(c.log, data)
	command, err := assigner.Decode(data)
	qt.Assert(c.h.t, err, qt.IsNil)
	c.demoting = command.Demote != nil
	qt.Assert(c.h.t, c.restored.Apply(index, data), qt.DeepEquals, result)
	qt.Assert(c.h.t, c.reference.Apply(index, data), qt.DeepEquals, result)
	t := c.restored.Table("findings")
	if t == nil {
		return
	}
	for shard := range t.Size() {
		before, after := c.rows[shard], t.Row(shard)
		c.rows[shard] = after
		c.checkChange(before, after)
	}
	c.recorders = make(map[uint64][]uint64)
	for _, session := range c.restored.Sessions() {
		c.recorders[session.Row.Session] = session.Row.Recorders
	}
}

func (c *chaos) checkChange(before, after messenger.ShardRow) {
	t := c.h.t
	comment := qt.Commentf("before %+v after %+v", before, after)
	qt.Assert(t, after.Fence >= before.Fence, qt.IsTrue, comment)
	if after.ForgottenUntil > before.ForgottenUntil {
		c.checkForgotten(before, comment)
	}
	for _, number := range after.Survivors {
		qt.Assert(t, c.restored.Session(number), qt.IsNotNil, comment)
	}
	if after.Owner == before.Owner {
		return
	}
	c.counts["owner changes"]++
	if after.Owner != 0 {
		qt.Assert(t, after.Fence > before.Fence, qt.IsTrue, comment)
	}
	if !c.restored.Table("findings").InUse(after.Shard) {
		c.counts["demoted"]++
		c.records[after.Shard] = nil
		return
	}
	if before.Owner == 0 || c.restored.Session(before.Owner) == nil {
		return
	}
	ref := messenger.ShardRef{Service: before.Service, Shard: before.Shard, Fence: before.Fence}
	for _, n := range c.nodes {
		if n.session() == before.Owner && !n.stopped {
			qt.Assert(t, n.released[ref], qt.IsTrue, comment)
		}
	}
}

// check checks the invariants between the processes.
func (c *chaos) check() {
	t := c.h.t
	for shard := range c.rows {
		var owners []string
		for _, n := range c.nodes {
			row, ok := n.router.rows[messenger.ShardRef{Service: "findings", Shard: shard}]
			if !ok || !n.serves(c.h.now, row) {
				continue
			}
			owners = append(owners, n.router.heartbeat.Router)
			c.checkRecords(n, row)
		}
		qt.Assert(t, len(owners) <= 1, qt.IsTrue, qt.Commentf("shard %d is served by %v", shard, owners))
	}
}

// checkRecords checks that an owner that may serve non-idempotent requests has all
// records of the shard.
func (c *chaos) checkRecords(n *node, row messenger.ShardRow) {
	if len(row.Survivors) > 0 || row.Previous != 0 || c.isForgotten(row) {
		return
	}
	for _, number := range c.records[row.Shard] {
		c.counts["record checks"]++
		if !n.ownRecords[row.Shard][number] {
			c.h.t.Fatalf("%s lacks record %d of %+v", n.router.heartbeat.Router, number, row)
		}
	}
}

func (c *chaos) isForgotten(row messenger.ShardRow) bool {
	return row.Forgotten && row.ForgottenUntil > c.h.now.Wall.Milliseconds()
}

// checkForgotten checks that records are given up only when all sessions that held
// them are closed.
func (c *chaos) checkForgotten(before messenger.ShardRow, comment qt.Comment) {
	c.counts["forgotten"]++
	c.records[before.Shard] = nil
	if c.demoting {
		return
	}
	holders := before.Survivors
	switch {
	case before.Previous != 0:
		holders = append([]uint64{before.Previous}, c.recorders[before.Previous]...)
	case len(holders) == 0:
		holders = append([]uint64{before.Owner}, c.recorders[before.Owner]...)
	}
	for _, number := range holders {
		qt.Assert(c.h.t, c.restored.Session(number), qt.IsNil, comment)
	}
}

func (c *chaos) step() {
	c.h.tick()
	c.deliver()
	for n, node := range c.nodes {
		if node.stopped || c.h.now.Since(node.frozenUntil) < 0 {
			continue
		}
		node.act(c)
		if (int(c.h.now.Mono/step)+n)%12 == 0 {
			c.send(node)
		}
	}
	c.fault()
	c.check()
}

// send sends a heartbeat that may be late or lost.
func (c *chaos) send(n *node) {
	n.router.heartbeat.Sequence++
	heartbeat := n.router.heartbeat
	if n.session() == 0 {
		heartbeat.Revision = 0
	}
	n.router.heartbeat.Released = c.unsettled(n.router.heartbeat.Released)
	c.transmit(message{node: n, sent: c.h.now, heartbeat: &heartbeat})
}

// unsettled returns the releases that are not applied yet.
func (c *chaos) unsettled(released []messenger.ShardRef) []messenger.ShardRef {
	var remaining []messenger.ShardRef
	for _, ref := range released {
		if c.rows[ref.Shard].Fence == ref.Fence && c.rows[ref.Shard].Owner != 0 {
			remaining = append(remaining, ref)
		}
	}
	return remaining
}

func (c *chaos) transmit(inFlight message) {
	delay := time.Duration(c.random.IntN(40)) * time.Millisecond
	switch c.random.IntN(40) {
	case 0:
		return
	case 1:
		delay = time.Duration(c.random.IntN(2500)) * time.Millisecond
	}
	inFlight.due = c.h.now.Add(delay)
	c.inFlight = append(c.inFlight, inFlight)
}

// deliver delivers the messages that are due, in random order.
func (c *chaos) deliver() {
	pending := c.inFlight
	c.inFlight = nil
	c.random.Shuffle(len(pending), func(a, b int) { pending[a], pending[b] = pending[b], pending[a] })
	for _, inFlight := range pending {
		switch {
		case c.h.now.Since(inFlight.due) < 0:
			c.inFlight = append(c.inFlight, inFlight)
		case inFlight.response == nil:
			response := c.h.request(inFlight.heartbeat).(*messenger.HeartbeatResponse)
			c.counts[string(response.Status)]++
			c.transmit(message{node: inFlight.node, sent: inFlight.sent, heartbeat: inFlight.heartbeat, response: response})
		case inFlight.heartbeat.Instance == inFlight.node.router.heartbeat.Instance && !inFlight.node.stopped && c.h.now.Since(inFlight.node.frozenUntil) >= 0:
			inFlight.node.accept(inFlight.response, inFlight.sent)
		}
	}
}

// TestRandomFaults runs the simulation with several seeds, and checks that the faults
// led to takeovers, recoveries and the other listed events at least once.
func TestRandomFaults(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newChaos(t, seed)
			for range chaosSteps {
				c.step()
			}
			c.checkSnapshots()
			t.Log(c.counts)
			for name, count := range c.counts {
				total[name] += count
			}
		})
	}
	for _, name := range []string{"owner changes", "record checks", "leaders", "snapshots", "expired", "replays", "demoted", "forgotten", "full deltas", "deltas"} {
		qt.Check(t, total[name] > 0, qt.IsTrue, qt.Commentf("no %s", name))
	}
}
