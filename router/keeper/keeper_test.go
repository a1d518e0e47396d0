package keeper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
)

// controlGroup is a control group with one leader.
type controlGroup struct {
	mu          sync.Mutex
	leader      string
	lastSession uint64
	// waitResponses is how many more heartbeats without a session are answered with
	// HeartbeatWait.
	waitResponses int
	requests      int
	// heartbeats are those that the leader accepted.
	heartbeats []messenger.Heartbeat
}

// response returns the response of a member.
func (c *controlGroup) response(member string, heartbeat *messenger.Heartbeat) *messenger.HeartbeatResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if member != c.leader {
		return &messenger.HeartbeatResponse{Status: messenger.HeartbeatRedirect, Leader: c.leader}
	}
	c.requests++
	session := heartbeat.Session
	if session == 0 && c.waitResponses > 0 {
		c.waitResponses--
		return &messenger.HeartbeatResponse{Status: messenger.HeartbeatWait}
	}
	if session == 0 {
		c.lastSession++
		session = c.lastSession
	}
	c.heartbeats = append(c.heartbeats, *heartbeat)
	return &messenger.HeartbeatResponse{Status: messenger.HeartbeatRenewed, Session: session, Sequence: heartbeat.Sequence}
}

func (c *controlGroup) accepted() []messenger.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeats
}

// heartbeatHandler records the sessions that ended.
type heartbeatHandler struct {
	mu    sync.Mutex
	ended []uint64
	sole  bool
}

func (s *heartbeatHandler) Report(_ timer.Instant, _ uint64, heartbeat *messenger.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	heartbeat.Sole = s.sole
}

func (*heartbeatHandler) Apply(uint64, *messenger.TableDelta) error { return nil }

func (s *heartbeatHandler) SessionEnded(session uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, session)
}

// fixture is a control group and the keeper of one router on an in-memory network.
type fixture struct {
	*disrupter.SimulatedNetwork
	controlGroup     *controlGroup
	keeper           *keeper.Keeper
	heartbeatHandler *heartbeatHandler
}

// runFixture runs a test in a synctest bubble of its own.
func runFixture(t *testing.T, test func(t *testing.T, env *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		env := &fixture{SimulatedNetwork: disrupter.New(time.Millisecond), controlGroup: &controlGroup{leader: "a:1"}, heartbeatHandler: &heartbeatHandler{}}
		members := []string{"a:1", "b:1", "c:1"}
		for _, member := range members {
			hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleControl, Name: member}
			handle := func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
				_ = linker.Respond(stream, func(heartbeat *messenger.Heartbeat) (*messenger.HeartbeatResponse, error) {
					return env.controlGroup.response(member, heartbeat), nil
				})
			}
			server, err := linker.Listen(env.Node(member[:1]), member, linker.Options{Hello: hello, Handler: handle})
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = server.Close() }()
		}
		hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r1"}
		pool := linker.NewPool(env.Node("r"), linker.Options{Hello: hello})
		defer pool.Close()
		env.keeper = keeper.New(keeper.Settings{Name: "r1", Control: members}, keeper.Options{
			Opener: pool, HeartbeatHandler: env.heartbeatHandler, Log: logger.Discard(), Metrics: metrics.NewSet(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go env.keeper.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		test(t, env)
	})
}

func (f *fixture) isLeaseValid() bool {
	return f.keeper.IsLeaseValid(timer.Now())
}

func TestHeartbeatsRenewTheLease(t *testing.T) {
	runFixture(t, func(t *testing.T, env *fixture) {
		qt.Assert(t, env.isLeaseValid(), qt.IsTrue)
		time.Sleep(3 * time.Second)
		qt.Assert(t, env.isLeaseValid(), qt.IsTrue)
		qt.Assert(t, env.keeper.Session(), qt.Equals, uint64(1))
		qt.Assert(t, env.controlGroup.accepted(), qt.HasLen, 11)
	})
}

func TestLeaderChangesWithinTheLease(t *testing.T) {
	runFixture(t, func(t *testing.T, env *fixture) {
		// The leader becomes unreachable; another member leads 900 ms later.
		env.PartitionBoth("r", "a")
		lease := env.keeper.Lease()
		time.Sleep(900 * time.Millisecond)
		env.controlGroup.mu.Lock()
		env.controlGroup.leader = "c:1"
		env.controlGroup.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, env.isLeaseValid(), qt.IsTrue)
		qt.Assert(t, env.keeper.Session(), qt.Equals, uint64(1))
		qt.Assert(t, env.keeper.Lease().Done() == lease.Done(), qt.IsTrue)
	})
}

// TestSessionOpensAfterTheCommit checks that a session is open shortly after its
// opening was committed, and that a slow control group gets no more heartbeats than at
// the regular interval.
func TestSessionOpensAfterTheCommit(t *testing.T) {
	runFixture(t, func(t *testing.T, env *fixture) {
		open := func(waits int) (took time.Duration, requests int) {
			env.PartitionBoth("r", "a")
			time.Sleep(2 * messenger.LeaseDuration)
			qt.Assert(t, env.isLeaseValid(), qt.IsFalse)
			env.controlGroup.mu.Lock()
			env.controlGroup.waitResponses, env.controlGroup.requests = waits, 0
			env.controlGroup.mu.Unlock()
			env.HealBoth("r", "a")
			firstRequest := time.Time{}
			for !env.isLeaseValid() {
				time.Sleep(10 * time.Millisecond)
				env.controlGroup.mu.Lock()
				if firstRequest.IsZero() && env.controlGroup.requests > 0 {
					firstRequest = time.Now()
				}
				env.controlGroup.mu.Unlock()
			}
			return time.Since(firstRequest), env.controlGroup.requests
		}
		took, _ := open(1)
		qt.Check(t, took <= keeper.MinUpdateRequestInterval+20*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
		_, requests := open(10)
		qt.Check(t, requests, qt.Equals, 11)
		took, _ = open(10)
		qt.Check(t, took >= 6*messenger.HeartbeatInterval, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

func TestExpiryOpensANewSession(t *testing.T) {
	runFixture(t, func(t *testing.T, env *fixture) {
		lease := env.keeper.Lease()
		for _, member := range []string{"a", "b", "c"} {
			env.PartitionBoth("r", member)
		}
		time.Sleep(messenger.LeaseDuration)
		synctest.Wait()
		qt.Assert(t, env.isLeaseValid(), qt.IsFalse)
		<-lease.Done()
		qt.Assert(t, env.keeper.Session(), qt.Equals, uint64(0))
		for _, member := range []string{"a", "b", "c"} {
			env.HealBoth("r", member)
		}
		time.Sleep(3 * time.Second)
		qt.Assert(t, env.isLeaseValid(), qt.IsTrue)
		qt.Assert(t, env.keeper.Session(), qt.Equals, uint64(2))
		qt.Assert(t, env.heartbeatHandler.ended, qt.DeepEquals, []uint64{1})
	})
}

// Heartbeats that were sent before the session ended may arrive late, and the router may
// since have taken over again what they report as free. If it may adopt its session, they
// must be those of another instance.
func TestInstanceChangesWithTheEndOfTheSession(t *testing.T) {
	tests := []struct {
		name string
		sole bool
	}{
		{"sole process", true},
		{"process that cannot adopt a session", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFixture(t, func(t *testing.T, env *fixture) {
				env.heartbeatHandler.mu.Lock()
				env.heartbeatHandler.sole = test.sole
				env.heartbeatHandler.mu.Unlock()
				time.Sleep(time.Second)
				before := env.controlGroup.accepted()
				for _, heartbeat := range before {
					qt.Check(t, heartbeat.Instance, qt.Equals, before[0].Instance)
				}
				for _, member := range []string{"a", "b", "c"} {
					env.PartitionBoth("r", member)
				}
				time.Sleep(2 * messenger.LeaseDuration)
				qt.Assert(t, env.isLeaseValid(), qt.IsFalse)
				for _, member := range []string{"a", "b", "c"} {
					env.HealBoth("r", member)
				}
				time.Sleep(3 * time.Second)
				after := env.controlGroup.accepted()[len(before):]
				qt.Assert(t, len(after) > 0, qt.IsTrue)
				for _, heartbeat := range after {
					qt.Check(t, heartbeat.Instance, qt.Equals, after[0].Instance)
				}
				qt.Check(t, after[0].Instance != before[0].Instance, qt.Equals, test.sole)
			})
		})
	}
}

func TestCloseEndsTheLeaseAndTheSession(t *testing.T) {
	runFixture(t, func(t *testing.T, env *fixture) {
		lease := env.keeper.Lease()
		env.keeper.Close(t.Context())
		<-lease.Done()
		qt.Assert(t, env.isLeaseValid(), qt.IsFalse)
		heartbeats := env.controlGroup.accepted()
		last := heartbeats[len(heartbeats)-1]
		qt.Assert(t, last.Close, qt.IsTrue)
		qt.Assert(t, last.Session, qt.Equals, uint64(1))
	})
}

// TestChangeDuringAHeartbeatIsSentSoon checks that a change during a pending heartbeat
// goes out after MinUpdateRequestInterval, not at the next regular interval.
func TestChangeDuringAHeartbeatIsSentSoon(t *testing.T) {
	runFixture(t, func(t *testing.T, env *fixture) {
		time.Sleep(3*messenger.HeartbeatInterval - 60*time.Millisecond)
		before := len(env.controlGroup.accepted())
		env.keeper.RequestHeartbeat()
		time.Sleep(500 * time.Microsecond)
		env.keeper.RequestHeartbeat()
		time.Sleep(keeper.MinUpdateRequestInterval + 5*time.Millisecond)
		qt.Assert(t, len(env.controlGroup.accepted())-before, qt.Equals, 2)
	})
}
