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
	// fence is that of the first grants.
	fence = 100
)

// fleet is some routers with recorders on an in-memory network. It must run in a
// synctest bubble.
type fleet struct {
	t        *testing.T
	world    *disrupter.World
	service  messenger.Service
	nodes    map[uint64]*node
	revision uint64
	// rows and sessions are the routing table that all nodes get.
	rows     map[uint32]messenger.ShardRow
	sessions map[uint64]messenger.SessionRow
	keys     []messenger.KeyRow
}

// node is one router. It holds a lease for good.
type node struct {
	session uint64
	name    string
	records *Recorder
	locator *locator.Locator
	server  *linker.Server
	pool    *linker.Pool
	cancel  context.CancelFunc
}

// Lease implements Leaser.
func (n *node) Lease() *keeper.Lease {
	return keeper.Granted(n.session, timer.Now())
}

// newFleet starts the sessions 1 to size; session 1 owns all shards and has
// sessions 2 and 3 as recorders.
func newFleet(t *testing.T, size uint64) *fleet {
	f := &fleet{
		t:        t,
		world:    disrupter.New(time.Millisecond),
		service:  messenger.Service{Name: "findings", Shards: shards, Recorders: 2, Retention: time.Minute},
		nodes:    make(map[uint64]*node),
		rows:     make(map[uint32]messenger.ShardRow),
		sessions: make(map[uint64]messenger.SessionRow),
	}
	for session := uint64(1); session <= size; session++ {
		f.start(session, fmt.Sprintf("r%d", session), DefaultEntries)
	}
	f.recorders(1, []uint64{2, 3}, nil)
	for number := range uint32(shards) {
		f.rows[number] = messenger.ShardRow{
			Service: f.service.Name, Shard: number, Phase: messenger.PhaseOwned, Owner: 1, Fence: fence,
		}
	}
	f.publish()
	return f
}

// start starts a router at the address that belongs to its name.
func (f *fleet) start(session uint64, name string, entries int) *node {
	n := &node{session: session, name: name}
	set := metrics.NewSet()
	network := f.world.Node(name)
	n.locator = locator.New(set)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: name}
	n.pool = linker.NewPool(network, linker.Options{Hello: hello})
	n.records = New(Options{
		Locator: n.locator, Leaser: n, Opener: n.pool, Log: logger.Discard(), Metrics: set, Entries: entries,
	})
	n.records.Opened(session)
	server, err := linker.Listen(network, name+":1", linker.Options{Hello: hello, Handler: n.records.Handle})
	qt.Assert(f.t, err, qt.IsNil)
	n.server = server
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.records.Run(ctx)
	f.nodes[session] = n
	f.sessions[session] = messenger.SessionRow{Session: session, Router: name, Address: name + ":1"}
	return n
}

// kill ends a router; the routing table does not know yet.
func (f *fleet) kill(session uint64) {
	n := f.nodes[session]
	n.cancel()
	n.pool.Close()
	_ = n.server.Close()
	delete(f.nodes, session)
}

func (f *fleet) stop() {
	for session := range f.nodes {
		f.kill(session)
	}
}

// recorders sets the recorders of a session.
func (f *fleet) recorders(session uint64, full, joining []uint64) {
	row := f.sessions[session]
	row.Recorders = full
	row.Joining = joining
	f.sessions[session] = row
}

// grant gives all shards to a session under the next fence.
func (f *fleet) grant(owner uint64, change func(row *messenger.ShardRow)) {
	for number, row := range f.rows {
		row = messenger.ShardRow{Service: row.Service, Shard: number, Phase: messenger.PhaseOwned, Owner: owner, Fence: row.Fence + 1}
		change(&row)
		f.rows[number] = row
	}
}

// publish hands the routing table to all routers.
func (f *fleet) publish() {
	f.revision++
	delta := &messenger.TableDelta{Full: true, To: f.revision, Services: []messenger.Service{f.service}, Keys: f.keys}
	for _, row := range f.sessions {
		delta.Sessions = append(delta.Sessions, row)
	}
	for _, row := range f.rows {
		delta.Shards = append(delta.Shards, row)
	}
	for _, n := range f.nodes {
		qt.Assert(f.t, n.locator.Apply(delta), qt.IsNil)
		n.records.Follow(f.ownRows(n.session))
	}
}

// ownRows lists the rows of a session.
func (f *fleet) ownRows(session uint64) []messenger.ShardRow {
	var rows []messenger.ShardRow
	for _, row := range f.rows {
		if row.Owner == session {
			rows = append(rows, row)
		}
	}
	return rows
}

// work is a request at the node that the node's own table grants it.
func (f *fleet) work(n *node, key, print string) Work {
	row, _ := n.locator.Load().Shard(f.service.Name, n.locator.Load().ShardOf(f.service.Name, key))
	return Work{
		Service: n.locator.Load().Service(f.service.Name), Key: key, Idempotency: "once", Print: print, Row: row,
	}
}

// begin sends a request and waits at most a second for the verdict.
func (f *fleet) begin(session uint64, key string) Verdict {
	return f.beginPrint(session, key, "p")
}

func (f *fleet) beginPrint(session uint64, key, print string) Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n := f.nodes[session]
	return n.records.Begin(ctx, ctx, f.work(n, key, print))
}

// finish ends a run with a short answer.
func finish(verdict Verdict) {
	verdict.Run.Finish(Ended{State: messenger.RecordDone, Status: 201, Body: []byte("answer")})
}

// report is what the heartbeats of a session say of its records.
func (f *fleet) report(session uint64) messenger.Heartbeat {
	var heartbeat messenger.Heartbeat
	f.nodes[session].records.Report(&heartbeat)
	return heartbeat
}

// same is a key of the same hash shard as another one.
func same(key string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("other-%d", i)
		if hasher.Shard(other, shards) == hasher.Shard(key, shards) {
			return other
		}
	}
}
