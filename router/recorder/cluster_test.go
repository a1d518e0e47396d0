package recorder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
)

const (
	shards = 16
	// fence is the fence of the first grants.
	fence = 100
)

// testCluster is a set of routers with recorders on an in-memory network. It must run
// in a synctest bubble.
type testCluster struct {
	t           *testing.T
	testNetwork *disrupter.SimulatedNetwork
	service     messenger.Service
	nodes       map[uint64]*node
	revision    uint64
	// rows and sessions are the routing table that all nodes receive.
	rows     map[uint32]messenger.ShardRow
	sessions map[uint64]messenger.SessionRow
	keys     []messenger.KeyRow
}

// node is one router. Its lease never expires.
type node struct {
	session uint64
	name    string
	records *Recorder
	locator *locator.Locator
	server  *linker.Server
	pool    *linker.Pool
	cancel  context.CancelFunc
}

// Lease implements [LeaseSource].
func (n *node) Lease() *keeper.Lease {
	return keeper.NewTestLease(n.session, timer.Now())
}

// newTestCluster starts the sessions 1 to size. Session 1 owns all shards and has the
// sessions 2 and 3 as recorders.
func newTestCluster(t *testing.T, size uint64) *testCluster {
	cluster := &testCluster{
		t:           t,
		testNetwork: disrupter.New(time.Millisecond),
		service:     messenger.Service{Name: "findings", Shards: shards, Recorders: 2, Retention: time.Minute},
		nodes:       make(map[uint64]*node),
		rows:        make(map[uint32]messenger.ShardRow),
		sessions:    make(map[uint64]messenger.SessionRow),
	}
	for session := uint64(1); session <= size; session++ {
		cluster.startNode(session, fmt.Sprintf("r%d", session), DefaultEntries)
	}
	cluster.setRecorders(1, []uint64{2, 3}, nil)
	for number := range uint32(shards) {
		cluster.rows[number] = messenger.ShardRow{
			Service: cluster.service.Name, Shard: number, Phase: messenger.PhaseOwned, Owner: 1, Fence: fence,
		}
	}
	cluster.publish()
	return cluster
}

// startNode starts a router at the address derived from its name.
func (c *testCluster) startNode(session uint64, name string, entries int) *node {
	n := &node{session: session, name: name}
	set := metrics.NewSet()
	network := c.testNetwork.Node(name)
	n.locator = locator.New(set)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: name}
	n.pool = linker.NewPool(network, linker.Options{Hello: hello})
	n.records = New(Options{
		Locator: n.locator, LeaseSource: n, Opener: n.pool, Log: logger.Discard(), Metrics: set, Entries: entries,
	})
	n.records.AddSession(session)
	server, err := linker.Listen(network, name+":1", linker.Options{Hello: hello, Handler: n.records.Handle})
	qt.Assert(c.t, err, qt.IsNil)
	n.server = server
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.records.Run(ctx)
	c.nodes[session] = n
	c.sessions[session] = messenger.SessionRow{Session: session, Router: name, Address: name + ":1"}
	return n
}

// stopNode stops a router without updating the routing table.
func (c *testCluster) stopNode(session uint64) {
	n := c.nodes[session]
	n.cancel()
	n.pool.Close()
	_ = n.server.Close()
	delete(c.nodes, session)
}

func (c *testCluster) stop() {
	for session := range c.nodes {
		c.stopNode(session)
	}
}

// setRecorders sets the recorders of a session.
func (c *testCluster) setRecorders(session uint64, full, joining []uint64) {
	row := c.sessions[session]
	row.Recorders = full
	row.Joining = joining
	c.sessions[session] = row
}

// grantAll grants all shards to a session under the next fence.
func (c *testCluster) grantAll(owner uint64, change func(row *messenger.ShardRow)) {
	for number, row := range c.rows {
		row = messenger.ShardRow{Service: row.Service, Shard: number, Phase: messenger.PhaseOwned, Owner: owner, Fence: row.Fence + 1}
		change(&row)
		c.rows[number] = row
	}
}

// publish applies the routing table at all routers.
func (c *testCluster) publish() {
	c.revision++
	delta := &messenger.TableDelta{Full: true, To: c.revision, Services: []messenger.Service{c.service}, Keys: c.keys}
	for _, row := range c.sessions {
		delta.Sessions = append(delta.Sessions, row)
	}
	for _, row := range c.rows {
		delta.Shards = append(delta.Shards, row)
	}
	for _, n := range c.nodes {
		qt.Assert(c.t, n.locator.Apply(delta), qt.IsNil)
		n.records.SetRows(c.ownRows(n.session))
	}
}

// ownRows returns the rows that a session owns.
func (c *testCluster) ownRows(session uint64) []messenger.ShardRow {
	var rows []messenger.ShardRow
	for _, row := range c.rows {
		if row.Owner == session {
			rows = append(rows, row)
		}
	}
	return rows
}

// request returns a request under the grant in the node's own routing table.
func (c *testCluster) request(n *node, key, print string) Request {
	row, _ := n.locator.Load().Shard(c.service.Name, n.locator.Load().ShardOf(c.service.Name, key))
	return Request{
		Service: n.locator.Load().Service(c.service.Name), Key: key, Idempotency: "once", Fingerprint: print, Row: row,
	}
}

// begin starts a request and waits at most a second for the decision.
func (c *testCluster) begin(session uint64, key string) Decision {
	return c.beginWithFingerprint(session, key, "p")
}

func (c *testCluster) beginWithFingerprint(session uint64, key, print string) Decision {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n := c.nodes[session]
	return n.records.Begin(ctx, ctx, c.request(n, key, print))
}

// finish finishes a run with a short response.
func finish(decision Decision) {
	decision.Run.Finish(RunResult{State: messenger.RecordDone, Status: 201, Body: []byte("answer")})
}

// report returns the part of a session's heartbeats that concerns records.
func (c *testCluster) report(session uint64) messenger.Heartbeat {
	var heartbeat messenger.Heartbeat
	c.nodes[session].records.Report(&heartbeat)
	return heartbeat
}

// keyInSameShard returns another key of the same hash shard.
func keyInSameShard(key string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("other-%d", i)
		if hasher.Shard(other, shards) == hasher.Shard(key, shards) {
			return other
		}
	}
}
