package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/journaler"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// logMachine is a machine whose state is the list of all commands in order.
type logMachine struct {
	commands []string
}

func (l *logMachine) Apply(_ uint64, command []byte) any {
	l.commands = append(l.commands, string(command))
	return len(l.commands)
}

func (l *logMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(l.commands, "\n")), nil
}

func (l *logMachine) Restore(_ uint64, snapshot []byte) error {
	l.commands = nil
	if len(snapshot) > 0 {
		l.commands = strings.Split(string(snapshot), "\n")
	}
	return nil
}

func (l *logMachine) Tick(timer.Instant, replicator.RaftStatus) [][]byte { return nil }

func (l *logMachine) Query(_ timer.Instant, _ replicator.RaftStatus, query any) (any, [][]byte) {
	return len(l.commands), nil
}

// host is a VM that runs a replica.
type host struct {
	name       string
	directory  string
	replica    *replicator.Replica
	logMachine *logMachine
	journal    *journaler.Journal
	pool       *linker.Pool
	server     *linker.Server
	disk       *failingDisk
}

// group is a control group on an in-memory network.
type group struct {
	t               *testing.T
	network         *disrupter.SimulatedNetwork
	directory       string
	hosts           map[string]*host
	members         []messenger.Member
	snapshotEntries int
	// evacuates are the replicas that report that they apply evacuations.
	evacuates map[string]bool
}

func member(name string) messenger.Member {
	return messenger.Member{Name: name, Address: name + ":7000"}
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{
		t:               t,
		network:         disrupter.New(time.Millisecond),
		directory:       t.TempDir(),
		hosts:           make(map[string]*host),
		snapshotEntries: 50,
	}
	for _, name := range names {
		g.members = append(g.members, member(name))
	}
	for _, name := range names {
		g.start(name, false)
	}
	return g
}

// start starts a replica on its data directory, which is created if missing.
func (g *group) start(name string, join bool) *host {
	h := &host{name: name, directory: filepath.Join(g.directory, name), logMachine: &logMachine{}, disk: &failingDisk{}}
	qt.Assert(g.t, os.MkdirAll(h.directory, 0o700), qt.IsNil)
	identity := journaler.Identity{Cluster: "test", Name: name, Incarnation: uint64(time.Now().UnixNano()), Join: join}
	if !join {
		identity.Founders = g.members
	}
	var stored *journaler.Stored
	var err error
	h.journal, stored, err = journaler.Open(h.disk, h.directory, identity)
	qt.Assert(g.t, err, qt.IsNil)
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleControl, Name: name, Evacuates: g.evacuates[name]}
	h.pool = linker.NewPool(g.network.Node(name), linker.Options{Hello: hello})
	h.replica, err = replicator.New(replicator.Options{
		Member:          member(name),
		Machine:         h.logMachine,
		Journal:         h.journal,
		Stored:          stored,
		Opener:          h.pool,
		Log:             logger.Discard(),
		Seed:            uint64(len(g.hosts)) + 1,
		SnapshotEntries: g.snapshotEntries,
		TailEntries:     10,
	})
	qt.Assert(g.t, err, qt.IsNil)
	h.server, err = linker.Listen(g.network.Node(name), name+":7000", linker.Options{Hello: hello, Handler: h.replica.Handle})
	qt.Assert(g.t, err, qt.IsNil)
	h.replica.Start()
	g.hosts[name] = h
	return h
}

// stop crashes a replica on the network and stops it. Its synced data stays.
func (g *group) stop(name string) {
	h := g.hosts[name]
	delete(g.hosts, name)
	g.network.Crash(name)
	h.replica.Stop()
	h.pool.Close()
	_ = h.server.Close()
	_ = h.journal.Close()
}

func (g *group) stopAll() {
	for name := range g.hosts {
		g.stop(name)
	}
}

// leader waits for a confirmed leader that is not in except.
func (g *group) leader(except ...string) *host {
	g.t.Helper()
	for range 400 {
		for name, h := range g.hosts {
			if h.replica.RaftStatus().Confirmed && !strings.Contains(strings.Join(except, " "), name) {
				return h
			}
		}
		time.Sleep(replicator.TickInterval)
	}
	g.t.Fatal("no leader within 10 s")
	return nil
}

func (g *group) propose(h *host, command string) error {
	ctx, cancel := context.WithTimeout(g.t.Context(), 5*time.Second)
	defer cancel()
	_, err := h.replica.Propose(ctx, []byte(command))
	return err
}

// assertApplied waits 3 s and checks that each replica has applied want commands.
func (g *group) assertApplied(want int) {
	g.t.Helper()
	time.Sleep(3 * time.Second)
	for name, h := range g.hosts {
		count, err := h.replica.Query(g.t.Context(), nil)
		qt.Assert(g.t, err, qt.IsNil)
		qt.Check(g.t, count, qt.Equals, want, qt.Commentf("replica %s", name))
	}
}

// TestElectionAndCommit checks that proposals at the leader are applied by all
// replicas, and that other replicas reject them.
func TestElectionAndCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		for i := range 10 {
			qt.Assert(t, g.propose(leader, fmt.Sprint(i)), qt.IsNil)
		}
		for name, h := range g.hosts {
			if name != leader.name {
				err := g.propose(h, "no")
				qt.Check(t, errors.Is(err, replicator.ErrNotLeader), qt.IsTrue, qt.Commentf("got %v", err))
			}
		}
		g.assertApplied(10)
	})
}

func TestLeaderFailsAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		oldLeader := g.leader()
		for i := range 120 {
			qt.Assert(t, g.propose(oldLeader, fmt.Sprint(i)), qt.IsNil)
		}
		stopped := time.Now()
		g.stop(oldLeader.name)
		newLeader := g.leader()
		qt.Check(t, time.Since(stopped) <= 900*time.Millisecond, qt.IsTrue, qt.Commentf("election took %v", time.Since(stopped)))
		for i := range 120 {
			qt.Assert(t, g.propose(newLeader, fmt.Sprint(i)), qt.IsNil)
		}
		g.start(oldLeader.name, false)
		g.assertApplied(240)
	})
}
