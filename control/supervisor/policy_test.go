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

// loadedService is a set of routers of one service under load.
type loadedService struct {
	*harness
	routers []*fakeRouter
	random  *rand.Rand
	// shardLoad is the load of each shard in slots.
	shardLoad []float64
	// hot is a key that adds load to the server that owns it.
	hot string
}

const requestTime = 20 * time.Millisecond

// newLoadedService starts routers whose service has shards with loads by a Zipf
// distribution.
func newLoadedService(t testing.TB, service messenger.Service, routers int, total float64) *loadedService {
	c := &loadedService{harness: newHarness(t), random: rand.New(rand.NewPCG(1, 1))}
	for _, profile := range profiler.DefaultProfiles() {
		c.propose(assigner.Command{PutProfile: &assigner.PutProfile{Profile: profile}})
	}
	c.propose(assigner.Command{PutService: &assigner.PutService{Service: service}})
	sum := 0.0
	for n := range service.Shards {
		c.shardLoad = append(c.shardLoad, math.Pow(float64(n+8), -0.7))
		sum += c.shardLoad[n]
	}
	c.random.Shuffle(len(c.shardLoad), func(a, b int) { c.shardLoad[a], c.shardLoad[b] = c.shardLoad[b], c.shardLoad[a] })
	for n := range c.shardLoad {
		c.shardLoad[n] *= total / sum
	}
	for range routers {
		c.addRouter()
	}
	c.runLoad(4 * time.Second)
	return c
}

func (c *loadedService) addRouter() *fakeRouter {
	router := newRouter(c.harness, len(c.routers), "findings")
	c.routers = append(c.routers, router)
	return router
}

// runLoad lets the routers work for a while. Each sends a heartbeat every 300 ms
// with the load since the last one, and releases moving shards.
func (c *loadedService) runLoad(span time.Duration) {
	for n := range int(span / step) {
		c.tick()
		for index, router := range c.routers {
			if (n+index)%12 == 0 {
				c.reportLoad(router)
				router.send()
			}
		}
	}
}

func (c *loadedService) reportLoad(router *fakeRouter) {
	heartbeat := &router.heartbeat
	heartbeat.Loads, heartbeat.Keys, heartbeat.Released = nil, nil, nil
	heartbeat.Requests, heartbeat.Busy = 0, 0
	hot := 0.0
	for _, ref := range router.owned() {
		row := router.rows[messenger.ShardRef{Service: ref.Service, Shard: ref.Shard}]
		if row.Phase == messenger.PhaseMoving {
			heartbeat.Released = append(heartbeat.Released, ref)
		}
		shardLoad := 0.0
		if int(ref.Shard) < len(c.shardLoad) {
			shardLoad = c.shardLoad[ref.Shard]
		}
		if c.hot != "" && c.hotShard() == ref.Shard {
			hot = 1.5
			shardLoad += hot
		}
		count := c.poisson(shardLoad * messenger.HeartbeatInterval.Seconds() / requestTime.Seconds())
		busy := time.Duration(count) * requestTime
		heartbeat.Loads = append(heartbeat.Loads, messenger.ShardLoad{Service: "findings", Shard: ref.Shard, Requests: count, Busy: busy})
		heartbeat.Requests += count
		heartbeat.Busy += busy
	}
	slices.SortFunc(heartbeat.Loads, func(a, b messenger.ShardLoad) int { return int(b.Busy - a.Busy) })
	heartbeat.Loads = heartbeat.Loads[:min(len(heartbeat.Loads), 64)]
	if hot > 0 {
		part := hot * messenger.HeartbeatInterval.Seconds() / heartbeat.Busy.Seconds()
		heartbeat.Keys = []messenger.KeyLoad{{Service: "findings", Key: c.hot, Part: part}}
	}
}

func (c *loadedService) hotShard() uint32 {
	return c.request(supervisor.ExplainQuery{Service: "findings", Key: c.hot}).(*messenger.Explanation).Shard
}

func (c *loadedService) poisson(mean float64) uint64 {
	limit, count := math.Exp(-mean), uint64(0)
	for product := c.random.Float64(); product > limit; product *= c.random.Float64() {
		count++
	}
	return count
}

func (c *loadedService) status() messenger.ServiceStatus {
	return c.request(supervisor.StatusQuery{}).(*messenger.Status).Services[0]
}

// countMoves counts the planned moves in the events after a revision.
func (c *loadedService) countMoves(after uint64) int {
	count := 0
	for _, event := range c.request(supervisor.EventsQuery{After: after}).([]messenger.ClusterEvent) {
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
	c := newLoadedService(t, service(256, 20, 10, 70), 7, 20)
	c.runLoad(10 * time.Minute)
	qt.Assert(t, c.countMoves(0), qt.Equals, 0)
	qt.Assert(t, c.status().Churn, qt.Equals, 0.0)
	qt.Assert(t, c.status().Imbalance > 1, qt.IsTrue)
}

func TestUnevenLoadIsRebalanced(t *testing.T) {
	c := newLoadedService(t, service(256, 60, 30, 10), 5, 8)
	c.runLoad(time.Minute)
	for _, ref := range c.routers[0].owned() {
		c.shardLoad[ref.Shard] *= 2.5
	}
	worst := 0.0
	for range 180 {
		c.runLoad(time.Second)
		worst = max(worst, c.status().Imbalance)
	}
	after := c.status().Imbalance
	bound := 1 + balancer.Weights{Unavailable: 60, Imbalance: 30, Churn: 10}.Threshold()
	qt.Assert(t, worst > bound, qt.IsTrue, qt.Commentf("imbalance %f", worst))
	qt.Assert(t, after < bound, qt.IsTrue, qt.Commentf("imbalance %f", after))
	t.Logf("imbalance %.2f, then %.2f after %d rounds of moves", worst, after, c.countMoves(0))
	settled := c.index
	c.runLoad(5 * time.Minute)
	qt.Assert(t, c.countMoves(settled), qt.Equals, 0)
}

func TestNewServerIsFilledGradually(t *testing.T) {
	c := newLoadedService(t, service(1024, 60, 30, 10), 4, 8)
	joined := c.addRouter()
	for range 240 {
		c.runLoad(500 * time.Millisecond)
		qt.Assert(t, c.status().Moving <= 16, qt.IsTrue, qt.Commentf("%d shards move at the same time", c.status().Moving))
	}
	rates, own := 0.0, 0.0
	for _, session := range c.request(supervisor.StatusQuery{}).(*messenger.Status).Sessions {
		rates += session.Rate
		if session.Session == joined.heartbeat.Session {
			own = session.Rate
		}
	}
	part := own * float64(len(c.routers)) / rates
	bound := balancer.Weights{Unavailable: 60, Imbalance: 30, Churn: 10}.Threshold()
	qt.Assert(t, math.Abs(part-1) < bound+0.1, qt.IsTrue, qt.Commentf("the new server has %f of the mean load", part))
	t.Logf("%.2f of the mean load with %d of 1024 shards", part, len(joined.owned()))
}

func TestNewLeaderMovesNothingWithoutMeasurements(t *testing.T) {
	c := newLoadedService(t, service(256, 60, 30, 10), 4, 8)
	c.addRouter()
	c.runLoad(3 * time.Minute)
	settled := c.index
	c.raftStatus.Term++
	c.raftStatus.Since = c.now
	c.runLoad(3 * time.Minute)
	qt.Assert(t, c.countMoves(settled), qt.Equals, 0)
	clear(c.shardLoad)
	c.runLoad(4 * time.Minute)
	qt.Assert(t, c.countMoves(settled), qt.Equals, 0, qt.Commentf("without load"))
}

func TestDrainedServerGetsNoNewRequests(t *testing.T) {
	c := newLoadedService(t, service(1024, 50, 50, 50), 4, 2)
	leaving := c.routers[1]
	c.propose(assigner.Command{Drain: &assigner.Drain{Server: "s1", On: true}})
	c.runLoad(3 * time.Second)
	for _, row := range leaving.rows {
		admits := row.Owner == leaving.heartbeat.Session && row.Phase == messenger.PhaseOwned
		qt.Assert(t, admits, qt.IsFalse, qt.Commentf("%+v", row))
	}
	c.runLoad(2 * time.Second)
	qt.Assert(t, leaving.owned(), qt.HasLen, 0)
	qt.Assert(t, c.status().Free, qt.Equals, 0)
}

func TestHotKeyIsPromotedAndDemoted(t *testing.T) {
	c := newLoadedService(t, service(256, 20, 10, 70), 4, 8)
	before := c.request(supervisor.ExplainQuery{Service: "findings", Key: "hobart"}).(*messenger.Explanation)
	c.hot = "hobart"
	c.runLoad(30 * time.Second)
	own := c.request(supervisor.ExplainQuery{Service: "findings", Key: "hobart"}).(*messenger.Explanation)
	qt.Assert(t, own.Own, qt.IsTrue)
	qt.Assert(t, own.Router, qt.Equals, before.Router)
	qt.Assert(t, own.Fence > before.Fence, qt.IsTrue)
	c.hot = ""
	c.runLoad(100 * time.Second)
	cool := c.request(supervisor.ExplainQuery{Service: "findings", Key: "hobart"}).(*messenger.Explanation)
	qt.Assert(t, cool.Own, qt.IsFalse)
	qt.Assert(t, cool.Shard, qt.Equals, before.Shard)
}

func TestRequestIsQuarantinedAtTheSecondDeath(t *testing.T) {
	c := newLoadedService(t, service(64, 50, 50, 50), 3, 1)
	poison := messenger.QuarantineRow{Fingerprint: "0a", Service: "findings", Key: "door-17"}
	innocent := messenger.QuarantineRow{Fingerprint: "0b", Service: "findings", Key: "door-18"}
	report := func(router *fakeRouter, number uint64, rows ...messenger.QuarantineRow) {
		response := c.request(&messenger.Report{Session: router.heartbeat.Session, Number: number, Death: rows}).(*supervisor.ReportProposal)
		c.apply(response.Command)
	}
	quarantined := func() []messenger.QuarantineRow {
		return c.request(supervisor.QuarantinesQuery{}).([]messenger.QuarantineRow)
	}
	report(c.routers[0], 1, poison, innocent)
	report(c.routers[0], 1, poison, innocent)
	qt.Assert(t, quarantined(), qt.HasLen, 0, qt.Commentf("a resent report counts once"))
	report(c.routers[1], 1, poison)
	qt.Assert(t, quarantined(), qt.HasLen, 1)
	qt.Assert(t, quarantined()[0].Fingerprint, qt.Equals, "0a")
	c.runLoad(time.Second)
	qt.Assert(t, c.propose(assigner.Command{Lift: &assigner.Lift{Fingerprint: "0a"}}).Verdict, qt.Equals, assigner.VerdictApplied)
	qt.Assert(t, quarantined(), qt.HasLen, 0)
}

// In routed mode other requests run beside a suspect, so two deaths do not show which of
// them is the cause.
func TestRoutedRequestIsQuarantinedAtTheThirdDeath(t *testing.T) {
	h := rangedHarness(t)
	first, second := newRanged(h, 1), newRanged(h, 2)
	runRanged(h, time.Second, first, second)
	number := uint64(0)
	report := func(router *rangedRouter, prints ...string) {
		number++
		report := messenger.Report{Session: router.heartbeat.Session, Number: number}
		for _, print := range prints {
			report.Death = append(report.Death, messenger.QuarantineRow{Fingerprint: print, Service: "findings"})
		}
		h.apply(h.request(&report).(*supervisor.ReportProposal).Command)
	}
	isQuarantined := func(print string) bool {
		second.send()
		return second.maps.Load().IsQuarantined(print)
	}
	report(first, "poison", "other")
	report(second, "poison", "other")
	qt.Assert(t, isQuarantined("poison"), qt.IsFalse)
	report(first, "poison")
	qt.Assert(t, isQuarantined("poison"), qt.IsTrue)
	// A third death long after the second is unrelated.
	runRanged(h, 11*time.Minute, first, second)
	report(first, "other")
	qt.Assert(t, isQuarantined("other"), qt.IsFalse)
	qt.Assert(t, isQuarantined("poison"), qt.IsTrue)
}
