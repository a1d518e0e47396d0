package supervisor_test

import (
	"maps"
	"math/rand/v2"
	"slices"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// recordSet has the numbers of the records of each shard.
type recordSet map[uint32]map[int]bool

func (r recordSet) add(shard uint32, records map[int]bool) {
	if r[shard] == nil {
		r[shard] = make(map[int]bool)
	}
	maps.Copy(r[shard], records)
}

// node is a router process in the test of random faults. It keeps records as the
// owner of shards and as a recorder for others.
type node struct {
	router *fakeRouter
	random *rand.Rand
	// frozenUntil is when the process resumes after it was frozen. Stopped
	// processes are started again.
	frozenUntil timer.Instant
	stopped     bool
	// sent is the sending time of the heartbeat that the lease is counted from.
	sent timer.Instant
	// ownRecords has the records of the node as an owner, peerRecords those of
	// other sessions.
	ownRecords  recordSet
	peerRecords map[uint64]recordSet
	released    map[messenger.ShardRef]bool
}

func (n *node) session() uint64 { return n.router.heartbeat.Session }

func (n *node) reset() {
	n.router.heartbeat.Instance++
	n.router.heartbeat.Sequence = 0
	n.endSession()
}

// endSession drops the state that belongs to a session.
func (n *node) endSession() {
	n.router.heartbeat.Session = 0
	n.router.heartbeat.Revision = 0
	n.router.heartbeat.Released, n.router.heartbeat.Recovered, n.router.heartbeat.Copied = nil, nil, nil
	n.router.rows = nil
	n.ownRecords = make(recordSet)
	n.peerRecords = make(map[uint64]recordSet)
	n.released = make(map[messenger.ShardRef]bool)
	n.sent = timer.Instant{}
}

// leased reports whether the lease of the node is valid by its own clock.
func (n *node) leased(now timer.Instant) bool {
	return !n.stopped && n.session() != 0 && now.Since(n.sent) < messenger.LeaseDuration
}

// serves reports whether the node would serve a shard now.
func (n *node) serves(now timer.Instant, row messenger.ShardRow) bool {
	ref := messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
	return n.leased(now) && row.Owner == n.session() && row.Phase != messenger.PhaseFree && !n.released[ref]
}

// accept applies a response. sent is when its heartbeat was sent.
func (n *node) accept(response *messenger.HeartbeatResponse, sent timer.Instant) {
	if response.Status == messenger.HeartbeatExpired && response.Session == n.session() {
		n.endSession()
	}
	if response.Status != messenger.HeartbeatRenewed || n.session() != 0 && response.Session != n.session() {
		return
	}
	n.router.heartbeat.Session = response.Session
	if response.Delta != nil && !response.Delta.Full && response.Delta.From != n.router.heartbeat.Revision {
		return
	}
	n.router.apply(response.Delta)
	if !response.More && sent.Since(n.sent) > 0 {
		n.sent = sent
	}
}

// release releases a shard that the node owns.
func (n *node) release(row messenger.ShardRow) {
	ref := messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
	if !n.released[ref] {
		n.released[ref] = true
		n.router.heartbeat.Released = append(n.router.heartbeat.Released, ref)
	}
}

// act does what a router does between heartbeats: it completes moves, recovers
// records, copies them to joining recorders and records new requests.
func (n *node) act(c *chaos) {
	if !n.leased(c.h.now) {
		return
	}
	self := n.router.sessions[n.session()]
	n.copyTo(c, self.Joining)
	for _, ref := range sortedRefs(n.router.rows) {
		row := n.router.rows[ref]
		if !n.serves(c.h.now, row) {
			continue
		}
		switch {
		case row.Phase == messenger.PhaseMoving || n.router.heartbeat.State != messenger.ServerReady:
			n.release(row)
		case len(row.Survivors) > 0 || row.Previous != 0:
			n.recover(c, self.Recorders, row)
		case n.random.IntN(40) == 0 && len(self.Recorders) >= 2 && !c.isForgotten(row):
			n.record(c, self.Recorders, row)
		}
	}
}

// copyTo copies all records to the joining recorders.
func (n *node) copyTo(c *chaos, joining []uint64) {
	for _, number := range joining {
		peer := c.running(number)
		if peer == nil || slices.Contains(n.router.heartbeat.Copied, number) {
			continue
		}
		for shard, records := range n.ownRecords {
			peer.storeFor(n.session(), shard, records)
		}
		n.router.heartbeat.Copied = append(n.router.heartbeat.Copied, number)
	}
}

func (n *node) storeFor(owner uint64, shard uint32, records map[int]bool) {
	if n.peerRecords[owner] == nil {
		n.peerRecords[owner] = make(recordSet)
	}
	n.peerRecords[owner].add(shard, records)
}

// recover reads the records of the last owner from one survivor.
func (n *node) recover(c *chaos, recorders []uint64, row messenger.ShardRow) {
	ref := messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
	sources := slices.Concat(row.Survivors, []uint64{row.Previous})
	source := c.running(sources[n.random.IntN(len(sources))])
	if source == nil || slices.Contains(n.router.heartbeat.Recovered, ref) || !n.store(c, recorders, row.Shard, source.recordsOf(row)) {
		return
	}
	n.router.heartbeat.Recovered = append(n.router.heartbeat.Recovered, ref)
}

// recordsOf returns the records of the last owner of a shard that a node has.
func (n *node) recordsOf(row messenger.ShardRow) map[int]bool {
	if n.session() == row.Last {
		return n.ownRecords[row.Shard]
	}
	return n.peerRecords[row.Last][row.Shard]
}

// record records one new request. A router may not have received yet that a key
// with its own shard was demoted to its hash shard, which the router owns as well.
func (n *node) record(c *chaos, recorders []uint64, row messenger.ShardRow) {
	if row.Shard >= chaosShards && c.rows[row.Shard].Owner != n.session() {
		return
	}
	qt.Assert(c.h.t, c.rows[row.Shard].Owner, qt.Equals, n.session())
	number := c.lastRecord + 1
	if n.store(c, recorders, row.Shard, map[int]bool{number: true}) {
		c.lastRecord = number
		c.records[row.Shard] = append(c.records[row.Shard], number)
	}
}

// store stores records at the node and all recorders, or nowhere.
func (n *node) store(c *chaos, recorders []uint64, shard uint32, records map[int]bool) bool {
	var peers []*node
	// A joining recorder that was reported as copied is a recorder from then on.
	for _, number := range slices.Concat(recorders, n.router.heartbeat.Copied) {
		peer := c.running(number)
		if peer == nil && c.restored.Session(number) != nil {
			return false
		}
		if peer != nil {
			peers = append(peers, peer)
		}
	}
	for _, peer := range peers {
		peer.storeFor(n.session(), shard, records)
	}
	n.ownRecords.add(shard, records)
	return true
}

func sortedRefs(rows map[messenger.ShardRef]messenger.ShardRow) []messenger.ShardRef {
	return slices.SortedFunc(maps.Keys(rows), func(a, b messenger.ShardRef) int { return int(a.Shard) - int(b.Shard) })
}
