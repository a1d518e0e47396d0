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

// letter is a heartbeat under way, or its answer.
type letter struct {
	node   *node
	due    timer.Instant
	sent   timer.Instant
	beat   *messenger.Heartbeat
	answer *messenger.HeartbeatAnswer
}

// chaos drives a leader and routers through random faults, and checks after each
// step what must always hold.
type chaos struct {
	h      *harness
	random *rand.Rand
	nodes  []*node
	mail   []letter
	// shadow is a replica that applies the same log and is restored from a
	// snapshot now and then; steady one that never is.
	shadow *assigner.State
	steady *assigner.State
	// reader follows the steady replica by deltas.
	reader *reader
	log    [][]byte
	// rows are the rows before the last command, closed the closed sessions.
	rows map[uint32]messenger.ShardRow
	// recorders are the recorder sets before the last command.
	recorders map[uint64][]uint64
	// demoting says that the command demotes a key, whose hash shard takes over
	// what was forgotten of the key.
	demoting bool
	// records has the records that were made for each shard and not forgotten.
	records map[uint32][]int
	newest  int
	counts  map[string]int
}

func newChaos(t testing.TB, seed uint64) *chaos {
	c := &chaos{
		h:       newHarness(t),
		random:  rand.New(rand.NewPCG(seed, seed)),
		shadow:  assigner.New(),
		steady:  assigner.New(),
		reader:  newReader(),
		rows:    make(map[uint32]messenger.ShardRow),
		records: make(map[uint32][]int),
		counts:  make(map[string]int),
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

// alive returns the running node of a session.
func (c *chaos) alive(session uint64) *node {
	for _, n := range c.nodes {
		if session != 0 && !n.dead && n.session() == session && c.h.now.Since(n.asleep) >= 0 {
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
	qt.Assert(c.h.t, c.shadow.Apply(index, data), qt.DeepEquals, result)
	qt.Assert(c.h.t, c.steady.Apply(index, data), qt.DeepEquals, result)
	t := c.shadow.Table("findings")
	if t == nil {
		return
	}
	for shard := range t.Size() {
		before, after := c.rows[shard], t.Row(shard)
		c.rows[shard] = after
		c.checkChange(before, after)
	}
	c.recorders = make(map[uint64][]uint64)
	for _, session := range c.shadow.Sessions() {
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
		qt.Assert(t, c.shadow.Session(number), qt.IsNotNil, comment)
	}
	if after.Owner == before.Owner {
		return
	}
	c.counts["owner changes"]++
	if after.Owner != 0 {
		qt.Assert(t, after.Fence > before.Fence, qt.IsTrue, comment)
	}
	if !c.shadow.Table("findings").InUse(after.Shard) {
		c.counts["demoted"]++
		c.records[after.Shard] = nil
		return
	}
	if before.Owner == 0 || c.shadow.Session(before.Owner) == nil {
		return
	}
	ref := messenger.ShardRef{Service: before.Service, Shard: before.Shard, Fence: before.Fence}
	for _, n := range c.nodes {
		if n.session() == before.Owner && !n.dead {
			qt.Assert(t, n.released[ref], qt.IsTrue, comment)
		}
	}
}

// check checks what must hold between the processes.
func (c *chaos) check() {
	t := c.h.t
	for shard := range c.rows {
		var owners []string
		for _, n := range c.nodes {
			view, ok := n.router.rows[messenger.ShardRef{Service: "findings", Shard: shard}]
			if !ok || !n.serves(c.h.now, view) {
				continue
			}
			owners = append(owners, n.router.beat.Router)
			c.checkRecords(n, view)
		}
		qt.Assert(t, len(owners) <= 1, qt.IsTrue, qt.Commentf("shard %d is served by %v", shard, owners))
	}
}

// checkRecords checks that an owner that may serve non-idempotent work has all
// records of the shard.
func (c *chaos) checkRecords(n *node, row messenger.ShardRow) {
	if len(row.Survivors) > 0 || row.Previous != 0 || c.isForgotten(row) {
		return
	}
	for _, number := range c.records[row.Shard] {
		c.counts["record checks"]++
		if !n.own[row.Shard][number] {
			c.h.t.Fatalf("%s lacks record %d of %+v", n.router.beat.Router, number, row)
		}
	}
}

func (c *chaos) isForgotten(row messenger.ShardRow) bool {
	return row.Forgotten && row.ForgottenUntil > c.h.now.Wall.Milliseconds()
}

// checkForgotten checks that records are given up only when all sessions that
// held them are closed.
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
		qt.Assert(c.h.t, c.shadow.Session(number), qt.IsNil, comment)
	}
}

func (c *chaos) step() {
	c.h.pass()
	c.deliver()
	for n, node := range c.nodes {
		if node.dead || c.h.now.Since(node.asleep) < 0 {
			continue
		}
		node.work(c)
		if (int(c.h.now.Mono/step)+n)%12 == 0 {
			c.send(node)
		}
	}
	c.fault()
	c.check()
}

// send sends a heartbeat that may be late or lost.
func (c *chaos) send(n *node) {
	n.router.beat.Sequence++
	beat := n.router.beat
	if n.session() == 0 {
		beat.Revision = 0
	}
	n.router.beat.Released = c.unsettled(n.router.beat.Released)
	c.post(letter{node: n, sent: c.h.now, beat: &beat})
}

// unsettled keeps the releases that the log does not show yet.
func (c *chaos) unsettled(released []messenger.ShardRef) []messenger.ShardRef {
	var left []messenger.ShardRef
	for _, ref := range released {
		if c.rows[ref.Shard].Fence == ref.Fence && c.rows[ref.Shard].Owner != 0 {
			left = append(left, ref)
		}
	}
	return left
}

func (c *chaos) post(mail letter) {
	delay := time.Duration(c.random.IntN(40)) * time.Millisecond
	switch c.random.IntN(40) {
	case 0:
		return
	case 1:
		delay = time.Duration(c.random.IntN(2500)) * time.Millisecond
	}
	mail.due = c.h.now.Add(delay)
	c.mail = append(c.mail, mail)
}

// deliver hands over what is due, in random order.
func (c *chaos) deliver() {
	waiting := c.mail
	c.mail = nil
	c.random.Shuffle(len(waiting), func(a, b int) { waiting[a], waiting[b] = waiting[b], waiting[a] })
	for _, mail := range waiting {
		switch {
		case c.h.now.Since(mail.due) < 0:
			c.mail = append(c.mail, mail)
		case mail.answer == nil:
			answer := c.h.ask(mail.beat).(*messenger.HeartbeatAnswer)
			c.counts[string(answer.Status)]++
			c.post(letter{node: mail.node, sent: mail.sent, beat: mail.beat, answer: answer})
		case mail.beat.Instance == mail.node.router.beat.Instance && !mail.node.dead && c.h.now.Since(mail.node.asleep) >= 0:
			mail.node.accept(mail.answer, mail.sent)
		}
	}
}

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
