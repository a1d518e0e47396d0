package replicator_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/journaler"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/timer"
)

// blobStore is a machine whose state is an opaque block of bytes.
type blobStore struct {
	state    []byte
	restored chan struct{}
}

func (b *blobStore) Apply(uint64, []byte) any                                        { return nil }
func (b *blobStore) Snapshot() ([]byte, error)                                       { return b.state, nil }
func (b *blobStore) Tick(timer.Instant, replicator.RaftStatus) [][]byte              { return nil }
func (b *blobStore) Query(timer.Instant, replicator.RaftStatus, any) (any, [][]byte) { return nil, nil }

func (b *blobStore) Restore(_ uint64, snapshot []byte) error {
	b.state = snapshot
	close(b.restored)
	return nil
}

// loopbackReplica is a replica that uses TCP on the loopback interface.
type loopbackReplica struct {
	replica   *replicator.Replica
	blobStore *blobStore
}

// startLoopbackReplica starts the named replica with a real disk and real
// connections.
func startLoopbackReplica(b *testing.B, members []messenger.Member, name string, join bool, entries int) *loopbackReplica {
	b.Helper()
	self := members[0]
	for _, m := range members {
		if m.Name == name {
			self = m
		}
	}
	identity := journaler.Identity{Cluster: "bench", Name: name, Incarnation: 1 + uint64(len(name)), Join: join}
	if !join {
		identity.Founders = members
	}
	journal, stored, err := journaler.Open(journaler.OSDisk{}, b.TempDir(), identity)
	qt.Assert(b, err, qt.IsNil)
	hello := messenger.Hello{Cluster: "bench", Version: messenger.Version, Role: messenger.RoleControl, Name: name}
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	l := &loopbackReplica{blobStore: &blobStore{restored: make(chan struct{})}}
	l.replica, err = replicator.New(replicator.Options{
		Member:          self,
		Machine:         l.blobStore,
		Journal:         journal,
		Stored:          stored,
		Opener:          pool,
		Log:             logger.Discard(),
		Seed:            uint64(self.Name[0]),
		SnapshotEntries: entries,
		TailEntries:     1,
	})
	qt.Assert(b, err, qt.IsNil)
	server, err := linker.Listen(networker.TCP{}, self.Address, linker.Options{Hello: hello, Handler: l.replica.Handle})
	qt.Assert(b, err, qt.IsNil)
	l.replica.Start()
	b.Cleanup(func() {
		l.replica.Stop()
		pool.Close()
		_ = server.Close()
		_ = journal.Close()
	})
	return l
}

// newMembers returns members with free loopback ports.
func newMembers(b *testing.B, names ...string) []messenger.Member {
	b.Helper()
	var members []messenger.Member
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)
		members = append(members, messenger.Member{Name: name, Address: listener.Addr().String()})
		qt.Assert(b, listener.Close(), qt.IsNil)
	}
	return members
}

func leaderOf(replicas []*loopbackReplica) *loopbackReplica {
	for {
		for _, l := range replicas {
			if l.replica.RaftStatus().Confirmed {
				return l
			}
		}
		time.Sleep(replicator.TickInterval)
	}
}

// BenchmarkPropose measures throughput and latency of concurrent proposals with
// three replicas that sync to disk.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			members := newMembers(b, "a", "b", "c")
			var replicas []*loopbackReplica
			for _, m := range members {
				replicas = append(replicas, startLoopbackReplica(b, members, m.Name, false, 1<<30))
			}
			leader := leaderOf(replicas)
			command := bytes.Repeat([]byte("x"), 200)
			work := make(chan struct{}, b.N)
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			var tasks sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				tasks.Go(func() {
					for range work {
						if _, err := leader.replica.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			tasks.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())*float64(proposers)/float64(b.N), "us/latency")
		})
	}
}

// BenchmarkCatchUp measures the time until a new member has restored a snapshot.
func BenchmarkCatchUp(b *testing.B) {
	for _, megabytes := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("megabytes=%d", megabytes), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				members := newMembers(b, "a", "bb")
				leader := startLoopbackReplica(b, members[:1], "a", false, 20)
				leader.blobStore.state = make([]byte, megabytes<<20)
				leaderOf([]*loopbackReplica{leader})
				for range 60 {
					_, err := leader.replica.Propose(context.Background(), []byte("x"))
					qt.Assert(b, err, qt.IsNil)
				}
				joiner := startLoopbackReplica(b, members, "bb", true, 20)
				b.StartTimer()
				_, err := leader.replica.AddMember(context.Background(), members[1])
				qt.Assert(b, err, qt.IsNil)
				<-joiner.blobStore.restored
			}
		})
	}
}
