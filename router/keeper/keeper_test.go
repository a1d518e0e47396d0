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

// control is a control group of which one member leads.
type control struct {
	mu     sync.Mutex
	leader string
	next   uint64
	// opening is how many heartbeats are told to wait for their session.
	opening int
	asked   int
	// heard are the heartbeats that the leader accepted.
	heard []messenger.Heartbeat
}

// answer is what a member answers.
func (c *control) answer(member string, heartbeat *messenger.Heartbeat) *messenger.HeartbeatAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if member != c.leader {
		return &messenger.HeartbeatAnswer{Status: messenger.HeartbeatRedirect, Leader: c.leader}
	}
	c.asked++
	session := heartbeat.Session
	if session == 0 && c.opening > 0 {
		c.opening--
		return &messenger.HeartbeatAnswer{Status: messenger.HeartbeatWait}
	}
	if session == 0 {
		c.next++
		session = c.next
	}
	c.heard = append(c.heard, *heartbeat)
	return &messenger.HeartbeatAnswer{Status: messenger.HeartbeatAlive, Session: session, Sequence: heartbeat.Sequence}
}

func (c *control) accepted() []messenger.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

// steward notes which sessions lapsed.
type steward struct {
	mu     sync.Mutex
	lapsed []uint64
}

func (*steward) Report(timer.Instant, uint64, *messenger.Heartbeat) {}
func (*steward) Apply(uint64, *messenger.TableDelta) error          { return nil }

func (s *steward) Lapsed(session uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapsed = append(s.lapsed, session)
}

// world is a control group and the keeper of one router.
type world struct {
	*disrupter.World
	control *control
	keeper  *keeper.Keeper
	steward *steward
}

// inWorld runs a test in a bubble of its own.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{World: disrupter.New(time.Millisecond), control: &control{leader: "a:1"}, steward: &steward{}}
		members := []string{"a:1", "b:1", "c:1"}
		for _, member := range members {
			hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleControl, Name: member}
			handle := func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
				_ = linker.Answer(stream, func(heartbeat *messenger.Heartbeat) (*messenger.HeartbeatAnswer, error) {
					return w.control.answer(member, heartbeat), nil
				})
			}
			server, err := linker.Listen(w.Node(member[:1]), member, linker.Options{Hello: hello, Handler: handle})
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = server.Close() }()
		}
		hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r1"}
		pool := linker.NewPool(w.Node("r"), linker.Options{Hello: hello})
		defer pool.Close()
		w.keeper = keeper.New(keeper.Settings{Name: "r1", Control: members}, keeper.Options{
			Opener: pool, Steward: w.steward, Log: logger.Discard(), Metrics: metrics.NewSet(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.keeper.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		test(t, w)
	})
}

func (w *world) alive() bool {
	return w.keeper.Alive(timer.Now())
}

func TestHeartbeats(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		qt.Assert(t, w.alive(), qt.IsTrue)
		time.Sleep(3 * time.Second)
		qt.Assert(t, w.alive(), qt.IsTrue)
		qt.Assert(t, w.keeper.Session(), qt.Equals, uint64(1))
		qt.Assert(t, w.control.accepted(), qt.HasLen, 11)
	})
}

func TestLeaderChangesWithinTheLease(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		// The leader falls silent; another leads 900 ms later.
		w.CutBoth("r", "a")
		lease := w.keeper.Lease()
		time.Sleep(900 * time.Millisecond)
		w.control.mu.Lock()
		w.control.leader = "c:1"
		w.control.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, w.alive(), qt.IsTrue)
		qt.Assert(t, w.keeper.Session(), qt.Equals, uint64(1))
		qt.Assert(t, w.keeper.Lease().Done() == lease.Done(), qt.IsTrue)
	})
}

// A session is open as soon as its opening is committed, and a group that needs
// long is not asked more often than usual.
func TestOpeningIsAwaited(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		open := func(waits int) (took time.Duration, asked int) {
			w.CutBoth("r", "a")
			time.Sleep(2 * messenger.LeaseTime)
			qt.Assert(t, w.alive(), qt.IsFalse)
			w.control.mu.Lock()
			w.control.opening, w.control.asked = waits, 0
			w.control.mu.Unlock()
			w.HealBoth("r", "a")
			begun := time.Time{}
			for !w.alive() {
				time.Sleep(10 * time.Millisecond)
				w.control.mu.Lock()
				if begun.IsZero() && w.control.asked > 0 {
					begun = time.Now()
				}
				w.control.mu.Unlock()
			}
			return time.Since(begun), w.control.asked
		}
		took, _ := open(1)
		qt.Check(t, took <= keeper.HastenInterval+20*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
		_, asked := open(10)
		qt.Check(t, asked, qt.Equals, 11)
		took, _ = open(10)
		qt.Check(t, took >= 6*messenger.HeartbeatInterval, qt.IsTrue, qt.Commentf("took %v", took))
	})
}

func TestLapseOpensANewSession(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		lease := w.keeper.Lease()
		for _, member := range []string{"a", "b", "c"} {
			w.CutBoth("r", member)
		}
		time.Sleep(messenger.LeaseTime)
		synctest.Wait()
		qt.Assert(t, w.alive(), qt.IsFalse)
		<-lease.Done()
		qt.Assert(t, w.keeper.Session(), qt.Equals, uint64(0))
		for _, member := range []string{"a", "b", "c"} {
			w.HealBoth("r", member)
		}
		time.Sleep(3 * time.Second)
		qt.Assert(t, w.alive(), qt.IsTrue)
		qt.Assert(t, w.keeper.Session(), qt.Equals, uint64(2))
		qt.Assert(t, w.steward.lapsed, qt.DeepEquals, []uint64{1})
	})
}

func TestClose(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		lease := w.keeper.Lease()
		w.keeper.Close(t.Context())
		<-lease.Done()
		qt.Assert(t, w.alive(), qt.IsFalse)
		heard := w.control.accepted()
		last := heard[len(heard)-1]
		qt.Assert(t, last.Close, qt.IsTrue)
		qt.Assert(t, last.Session, qt.Equals, uint64(1))
	})
}

// A change that comes while a heartbeat is on its way is told with the next one, and
// that does not wait for the usual interval.
func TestChangeDuringAHeartbeatIsToldSoon(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		time.Sleep(3*messenger.HeartbeatInterval - 60*time.Millisecond)
		before := len(w.control.accepted())
		w.keeper.Nudge()
		time.Sleep(500 * time.Microsecond)
		w.keeper.Nudge()
		time.Sleep(keeper.HastenInterval + 5*time.Millisecond)
		qt.Assert(t, len(w.control.accepted())-before, qt.Equals, 2)
	})
}
