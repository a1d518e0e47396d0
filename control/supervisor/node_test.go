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

// node is a router process in the random test. It keeps records as the owner of
// shards and as a recorder of others.
type node struct {
	router *fakeRouter
	random *rand.Rand
	// asleep is until when the process is frozen; dead ones are started anew.
	asleep timer.Instant
	dead   bool
	// sent is when the heartbeat was sent that the lease is counted from.
	sent timer.Instant
	// own has its records as an owner, kept those of other sessions.
	own      recordSet
	kept     map[uint64]recordSet
	released map[messenger.ShardRef]bool
}

func (n *node) session() uint64 { return n.router.beat.Session }

func (n *node) reset() {
	n.router.beat.Instance++
	n.router.beat.Sequence = 0
	n.endSession()
}

// endSession forgets what belongs to a session.
func (n *node) endSession() {
	n.router.beat.Session = 0
	n.router.beat.Revision = 0
	n.router.beat.Released, n.router.beat.Recovered, n.router.beat.Copied = nil, nil, nil
	n.router.rows = nil
	n.own = make(recordSet)
	n.kept = make(map[uint64]recordSet)
	n.released = make(map[messenger.ShardRef]bool)
	n.sent = timer.Instant{}
}

// leased reports whether the node trusts its lease.
func (n *node) leased(now timer.Instant) bool {
	return !n.dead && n.session() != 0 && now.Since(n.sent) < messenger.LeaseTime
}

// serves reports whether the node would serve a shard now.
func (n *node) serves(now timer.Instant, row messenger.ShardRow) bool {
	ref := messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
	return n.leased(now) && row.Owner == n.session() && row.Phase != messenger.PhaseFree && !n.released[ref]
}

// accept takes an answer in; sent is when its heartbeat was sent.
func (n *node) accept(answer *messenger.HeartbeatAnswer, sent timer.Instant) {
	if answer.Status == messenger.HeartbeatExpired && answer.Session == n.session() {
		n.endSession()
	}
	if answer.Status != messenger.HeartbeatAlive || n.session() != 0 && answer.Session != n.session() {
		return
	}
	n.router.beat.Session = answer.Session
	if answer.Delta != nil && !answer.Delta.Full && answer.Delta.From != n.router.beat.Revision {
		return
	}
	n.router.take(answer.Delta)
	if !answer.More && sent.Since(n.sent) > 0 {
		n.sent = sent
	}
}

// release gives back a shard that the node owns.
func (n *node) release(row messenger.ShardRow) {
	ref := messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
	if !n.released[ref] {
		n.released[ref] = true
		n.router.beat.Released = append(n.router.beat.Released, ref)
	}
}

// work does what a router does between heartbeats: it ends moves, recovers
// records, copies them to joining recorders and records new requests.
func (n *node) work(c *chaos) {
	if !n.leased(c.h.now) {
		return
	}
	me := n.router.sessions[n.session()]
	n.copyTo(c, me.Joining)
	for _, place := range sortedPlaces(n.router.rows) {
		row := n.router.rows[place]
		if !n.serves(c.h.now, row) {
			continue
		}
		switch {
		case row.Phase == messenger.PhaseMoving || n.router.beat.State != messenger.ServerReady:
			n.release(row)
		case len(row.Survivors) > 0 || row.Previous != 0:
			n.recover(c, me.Recorders, row)
		case n.random.IntN(40) == 0 && len(me.Recorders) >= 2 && !c.isForgotten(row):
			n.record(c, me.Recorders, row)
		}
	}
}

// copyTo copies all records to joining recorders.
func (n *node) copyTo(c *chaos, joining []uint64) {
	for _, number := range joining {
		peer := c.alive(number)
		if peer == nil || slices.Contains(n.router.beat.Copied, number) {
			continue
		}
		for shard, records := range n.own {
			peer.keep(n.session(), shard, records)
		}
		n.router.beat.Copied = append(n.router.beat.Copied, number)
	}
}

func (n *node) keep(owner uint64, shard uint32, records map[int]bool) {
	if n.kept[owner] == nil {
		n.kept[owner] = make(recordSet)
	}
	n.kept[owner].add(shard, records)
}

// recover reads the records of the last owner from one survivor.
func (n *node) recover(c *chaos, recorders []uint64, row messenger.ShardRow) {
	ref := messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
	sources := slices.Concat(row.Survivors, []uint64{row.Previous})
	source := c.alive(sources[n.random.IntN(len(sources))])
	if source == nil || slices.Contains(n.router.beat.Recovered, ref) || !n.store(c, recorders, row.Shard, source.recordsOf(row)) {
		return
	}
	n.router.beat.Recovered = append(n.router.beat.Recovered, ref)
}

// recordsOf returns what a node holds of the last owner of a shard.
func (n *node) recordsOf(row messenger.ShardRow) map[int]bool {
	if n.session() == row.Last {
		return n.own[row.Shard]
	}
	return n.kept[row.Last][row.Shard]
}

// record records one new request. A router may not know yet that a key of its
// own went back to its hash shard, which it owns, too.
func (n *node) record(c *chaos, recorders []uint64, row messenger.ShardRow) {
	if row.Shard >= chaosShards && c.rows[row.Shard].Owner != n.session() {
		return
	}
	qt.Assert(c.h.t, c.rows[row.Shard].Owner, qt.Equals, n.session())
	number := c.newest + 1
	if n.store(c, recorders, row.Shard, map[int]bool{number: true}) {
		c.newest = number
		c.records[row.Shard] = append(c.records[row.Shard], number)
	}
}

// store stores records here and at all recorders, or nowhere.
func (n *node) store(c *chaos, recorders []uint64, shard uint32, records map[int]bool) bool {
	var peers []*node
	// A joining recorder that was reported as copied is a recorder from then on.
	for _, number := range slices.Concat(recorders, n.router.beat.Copied) {
		peer := c.alive(number)
		if peer == nil && c.shadow.Session(number) != nil {
			return false
		}
		if peer != nil {
			peers = append(peers, peer)
		}
	}
	for _, peer := range peers {
		peer.keep(n.session(), shard, records)
	}
	n.own.add(shard, records)
	return true
}

func sortedPlaces(rows map[messenger.ShardRef]messenger.ShardRow) []messenger.ShardRef {
	return slices.SortedFunc(maps.Keys(rows), func(a, b messenger.ShardRef) int { return int(a.Shard) - int(b.Shard) })
}
