package supervisor_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// crowd is a set of routers of one service under load.
type crowd struct {
	*harness
	routers []*fakeRouter
	random  *rand.Rand
	// work is the work of each shard in slots.
	work []float64
	// hot adds work of a key, to the server that owns it.
	hot string
}

const requestTime = 20 * time.Millisecond

// newCrowd starts routers whose service has shards with work by a Zipf law.
func newCrowd(t testing.TB, service messenger.Service, routers int, total float64) *crowd {
	c := &crowd{harness: newHarness(t), random: rand.New(rand.NewPCG(1, 1))}
	for _, profile := range profiler.DefaultProfiles() {
		c.propose(assigner.Command{PutProfile: &assigner.PutProfile{Profile: profile}})
	}
	c.propose(assigner.Command{PutService: &assigner.PutService{Service: service}})
	sum := 0.0
	for n := range service.Shards {
		c.work = append(c.work, math.Pow(float64(n+8), -0.7))
		sum += c.work[n]
	}
	c.random.Shuffle(len(c.work), func(a, b int) { c.work[a], c.work[b] = c.work[b], c.work[a] })
	for n := range c.work {
		c.work[n] *= total / sum
	}
	for range routers {
		c.join()
	}
	c.serve(4 * time.Second)
	return c
}

func (c *crowd) join() *fakeRouter {
	router := newRouter(c.harness, len(c.routers), "findings")
	c.routers = append(c.routers, router)
	return router
}

// serve lets the routers work for a while: a heartbeat each 300 ms with the work
// done since the last, and moving shards released.
func (c *crowd) serve(span time.Duration) {
	for n := range int(span / step) {
		c.pass()
		for place, router := range c.routers {
			if (n+place)%12 == 0 {
				c.load(router)
				router.send()
			}
		}
	}
}

func (c *crowd) load(router *fakeRouter) {
	beat := &router.beat
	beat.Loads, beat.Keys, beat.Released = nil, nil, nil
	beat.Requests, beat.Busy = 0, 0
	hot := 0.0
	for _, ref := range router.owned() {
		row := router.rows[messenger.ShardRef{Service: ref.Service, Shard: ref.Shard}]
		if row.Phase == messenger.PhaseMoving {
			beat.Released = append(beat.Released, ref)
		}
		work := 0.0
		if int(ref.Shard) < len(c.work) {
			work = c.work[ref.Shard]
		}
		if c.hot != "" && c.hotShard() == ref.Shard {
			hot = 1.5
			work += hot
		}
		count := c.poisson(work * messenger.HeartbeatInterval.Seconds() / requestTime.Seconds())
		busy := time.Duration(count) * requestTime
		beat.Loads = append(beat.Loads, messenger.ShardLoad{Service: "findings", Shard: ref.Shard, Requests: count, Busy: busy})
		beat.Requests += count
		beat.Busy += busy
	}
	slices.SortFunc(beat.Loads, func(a, b messenger.ShardLoad) int { return int(b.Busy - a.Busy) })
	beat.Loads = beat.Loads[:min(len(beat.Loads), 64)]
	if hot > 0 {
		part := hot * messenger.HeartbeatInterval.Seconds() / beat.Busy.Seconds()
		beat.Keys = []messenger.KeyLoad{{Service: "findings", Key: c.hot, Part: part}}
	}
}

func (c *crowd) hotShard() uint32 {
	return c.ask(supervisor.ExplainQuestion{Service: "findings", Key: c.hot}).(*messenger.Explanation).Shard
}

func (c *crowd) poisson(mean float64) uint64 {
	limit, count := math.Exp(-mean), uint64(0)
	for product := c.random.Float64(); product > limit; product *= c.random.Float64() {
		count++
	}
	return count
}

func (c *crowd) status() messenger.ServiceStatus {
	return c.ask(supervisor.StatusQuestion{}).(*messenger.Status).Services[0]
}

// moves counts the planned moves in the events after a revision.
func (c *crowd) moves(after uint64) int {
	count := 0
	for _, event := range c.ask(supervisor.EventsQuestion{After: after}).([]messenger.ClusterEvent) {
		if event.Number == logger.ShardsMoving.Number {
			count++
		}
	}
	return count
}

func service(shards uint32, unavailable, imbalance, churn int) messenger.Service {
	s := profiler.DefaultService("findings")
	s.Shards = shards
	s.Unavailable, s.Imbalance, s.Churn = unavailable, imbalance, churn
	return s
}

func TestSteadyLoadMovesNothingWhenChurnWeighsMost(t *testing.T) {
	c := newCrowd(t, service(256, 20, 10, 70), 7, 20)
	c.serve(10 * time.Minute)
	qt.Assert(t, c.moves(0), qt.Equals, 0)
	qt.Assert(t, c.status().Churn, qt.Equals, 0.0)
	qt.Assert(t, c.status().Imbalance > 1, qt.IsTrue)
}

func TestUnevenLoadIsEvenedOut(t *testing.T) {
	c := newCrowd(t, service(256, 60, 30, 10), 5, 8)
	c.serve(time.Minute)
	for _, ref := range c.routers[0].owned() {
		c.work[ref.Shard] *= 2.5
	}
	worst := 0.0
	for range 180 {
		c.serve(time.Second)
		worst = max(worst, c.status().Imbalance)
	}
	after := c.status().Imbalance
	bound := 1 + balancer.Weights{Unavailable: 60, Imbalance: 30, Churn: 10}.Threshold()
	qt.Assert(t, worst > bound, qt.IsTrue, qt.Commentf("imbalance %f", worst))
	qt.Assert(t, after < bound, qt.IsTrue, qt.Commentf("imbalance %f", after))
	t.Logf("imbalance %.2f, then %.2f after %d rounds of moves", worst, after, c.moves(0))
	settled := c.index
	c.serve(5 * time.Minute)
	qt.Assert(t, c.moves(settled), qt.Equals, 0)
}

func TestNewServerIsFilledWithoutAJump(t *testing.T) {
	c := newCrowd(t, service(1024, 60, 30, 10), 4, 8)
	joined := c.join()
	for range 240 {
		c.serve(500 * time.Millisecond)
		qt.Assert(t, c.status().Moving <= 16, qt.IsTrue, qt.Commentf("%d move at a time", c.status().Moving))
	}
	rates, own := 0.0, 0.0
	for _, session := range c.ask(supervisor.StatusQuestion{}).(*messenger.Status).Sessions {
		rates += session.Rate
		if session.Session == joined.beat.Session {
			own = session.Rate
		}
	}
	part := own * float64(len(c.routers)) / rates
	bound := balancer.Weights{Unavailable: 60, Imbalance: 30, Churn: 10}.Threshold()
	qt.Assert(t, math.Abs(part-1) < bound+0.1, qt.IsTrue, qt.Commentf("it has %f of a mean server's work", part))
	t.Logf("%.2f of a mean server's work with %d of 1024 shards", part, len(joined.owned()))
}

func TestNewLeaderMovesNothingForLackOfMeasurements(t *testing.T) {
	c := newCrowd(t, service(256, 60, 30, 10), 4, 8)
	c.join()
	c.serve(3 * time.Minute)
	settled := c.index
	c.standing.Term++
	c.standing.Since = c.now
	c.serve(3 * time.Minute)
	qt.Assert(t, c.moves(settled), qt.Equals, 0)
	clear(c.work)
	c.serve(4 * time.Minute)
	qt.Assert(t, c.moves(settled), qt.Equals, 0, qt.Commentf("without load"))
}

func TestDrainedServerGetsNoNewWork(t *testing.T) {
	c := newCrowd(t, service(1024, 50, 50, 50), 4, 2)
	leaving := c.routers[1]
	c.propose(assigner.Command{Drain: &assigner.Drain{Server: "s1", On: true}})
	c.serve(3 * time.Second)
	for _, row := range leaving.rows {
		admits := row.Owner == leaving.beat.Session && row.Phase == messenger.PhaseOwned
		qt.Assert(t, admits, qt.IsFalse, qt.Commentf("%+v", row))
	}
	c.serve(2 * time.Second)
	qt.Assert(t, leaving.owned(), qt.HasLen, 0)
	qt.Assert(t, c.status().Free, qt.Equals, 0)
}

func TestHotKeyGetsItsOwnShardAndGoesBack(t *testing.T) {
	c := newCrowd(t, service(256, 20, 10, 70), 4, 8)
	before := c.ask(supervisor.ExplainQuestion{Service: "findings", Key: "hobart"}).(*messenger.Explanation)
	c.hot = "hobart"
	c.serve(30 * time.Second)
	own := c.ask(supervisor.ExplainQuestion{Service: "findings", Key: "hobart"}).(*messenger.Explanation)
	qt.Assert(t, own.Own, qt.IsTrue)
	qt.Assert(t, own.Router, qt.Equals, before.Router)
	qt.Assert(t, own.Fence > before.Fence, qt.IsTrue)
	c.hot = ""
	c.serve(100 * time.Second)
	cool := c.ask(supervisor.ExplainQuestion{Service: "findings", Key: "hobart"}).(*messenger.Explanation)
	qt.Assert(t, cool.Own, qt.IsFalse)
	qt.Assert(t, cool.Shard, qt.Equals, before.Shard)
}

func TestRequestIsQuarantinedAtTheSecondDeath(t *testing.T) {
	c := newCrowd(t, service(64, 50, 50, 50), 3, 1)
	poison := messenger.QuarantineRow{Fingerprint: "0a", Service: "findings", Key: "door-17"}
	innocent := messenger.QuarantineRow{Fingerprint: "0b", Service: "findings", Key: "door-18"}
	report := func(router *fakeRouter, number uint64, rows ...messenger.QuarantineRow) {
		taken := c.ask(&messenger.Report{Session: router.beat.Session, Number: number, Death: rows}).(*supervisor.ReportTaken)
		c.apply(taken.Command)
	}
	quarantined := func() []messenger.QuarantineRow {
		return c.ask(supervisor.QuarantinesQuestion{}).([]messenger.QuarantineRow)
	}
	report(c.routers[0], 1, poison, innocent)
	report(c.routers[0], 1, poison, innocent)
	qt.Assert(t, quarantined(), qt.HasLen, 0, qt.Commentf("a resent report counts once"))
	report(c.routers[1], 1, poison)
	qt.Assert(t, quarantined(), qt.HasLen, 1)
	qt.Assert(t, quarantined()[0].Fingerprint, qt.Equals, "0a")
	c.serve(time.Second)
	qt.Assert(t, c.propose(assigner.Command{Lift: &assigner.Lift{Fingerprint: "0a"}}).Verdict, qt.Equals, assigner.VerdictApplied)
	qt.Assert(t, quarantined(), qt.HasLen, 0)
}
