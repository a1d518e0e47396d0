package supervisor

import (
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// imbalanceHoldTime is how long an imbalance must last before shards are moved.
	imbalanceHoldTime = 5 * time.Second
	// loadWarmup is how long a new leader measures loads before it uses them. Until
	// then it only fills servers with hardly any shards.
	loadWarmup = 2 * loadWindow
	// The shards of a service that move at a time are at most a movingDivisor-th of
	// all, or minMoving if that is more.
	movingDivisor = 64
	minMoving     = 4
	// The moves of a service within budgetWindow are at most a budgetDivisor-th of
	// all shards, or minBudget if that is more.
	budgetDivisor = 8
	minBudget     = 16
	budgetWindow  = time.Minute
)

// moveBudget limits the moves of a service within budgetWindow.
type moveBudget struct {
	start timer.Instant
	spent int
}

// left returns how many moves may start now.
func (b *moveBudget) left(now timer.Instant, shards int) int {
	if now.Since(b.start) >= budgetWindow {
		*b = moveBudget{start: now}
	}
	return max(shards/budgetDivisor, minBudget) - b.spent
}

// balance updates the mean loads and moves shards where that gains more than it
// costs.
func (s *Supervisor) balance(now timer.Instant, batch *batch) {
	if s.lastMeasured.IsZero() {
		s.lastMeasured = now
	}
	elapsed := now.Since(s.lastMeasured)
	if elapsed < measureInterval {
		return
	}
	s.lastMeasured = now
	s.updateMeans(elapsed)
	for _, t := range s.state.Tables() {
		s.updateHotKeys(t, elapsed, batch)
		s.balanceTable(now, t, batch)
	}
	s.publishMetrics(now)
	s.announceEmptyDomains(now, batch)
}

func (s *Supervisor) balanceTable(now timer.Instant, t *assigner.Table, batch *batch) {
	service := s.serviceState(t)
	servers := s.serverLoads(t)
	listShards := s.shardLister(t, s.serviceState(t).load)
	if now.Since(s.graceStart) < loadWarmup {
		clearLoads(servers)
		listShards = s.shardLister(t, make([]float64, t.Size()))
	}
	loads := balancer.NewLoads(servers)
	weights := weightsOf(&t.Service)
	if !service.shouldMove(now, weights, loads.Skew()) || t.Free() > 0 || batch.has("move/"+t.Service.Name) {
		return
	}
	shards := int(t.Service.Shards)
	limit := min(service.moves.left(now, shards), max(shards/movingDivisor, minMoving)-t.Moving())
	moves := loads.Plan(weights, limit, listShards)
	if len(moves) == 0 {
		return
	}
	service.moves.spent += len(moves)
	s.proposeMoves(t, moves, "move/"+t.Service.Name, "balance", batch)
}

// clearLoads clears the loads, so that servers differ only by their number of
// shards.
func clearLoads(servers []balancer.ServerLoad) {
	for n := range servers {
		servers[n].Load = 0
	}
}

// shouldMove decides whether to move shards. An imbalance must last for
// imbalanceHoldTime before moves start.
func (s *serviceState) shouldMove(now timer.Instant, weights balancer.Weights, skew balancer.Skew) bool {
	if !weights.ShouldMove(skew, s.rebalancing) {
		s.imbalancedSince = timer.Instant{}
		s.rebalancing = false
		return false
	}
	if s.imbalancedSince.IsZero() {
		s.imbalancedSince = now
	}
	s.rebalancing = s.rebalancing || now.Since(s.imbalancedSince) >= imbalanceHoldTime
	return s.rebalancing
}

func weightsOf(service *messenger.Service) balancer.Weights {
	return balancer.Weights{Unavailable: service.Unavailable, Imbalance: service.Imbalance, Churn: service.Churn}
}

// serverLoads lists the servers of a service with their loads, without those that
// are leaving or not ready.
func (s *Supervisor) serverLoads(t *assigner.Table) []balancer.ServerLoad {
	var loads []balancer.ServerLoad
	moving := s.movingLoads(t)
	for _, server := range s.servers(t) {
		router := s.routers[server.Session]
		loads = append(loads, balancer.ServerLoad{
			Server:   server,
			Load:     max(router.workload.load+moving[server.Session], 0),
			Requests: router.workload.rate * loadWindow.Seconds(),
			Accepts:  true,
			Cold:     s.state.Session(server.Session).Row.Server.Cold,
		})
	}
	return loads
}

// movingLoads returns the load that sessions are about to get, less the load that
// they are about to lose, by moves in progress.
func (s *Supervisor) movingLoads(t *assigner.Table) map[uint64]float64 {
	loads := make(map[uint64]float64)
	service := s.serviceState(t)
	t.EachPendingMove(func(move assigner.PendingMove) {
		loads[move.From] -= service.load[move.Shard]
		loads[move.To] += service.load[move.Shard]
	})
	return loads
}

// shardLister returns a function that lists the movable shards of a session with
// their loads. It reads the table once.
func (s *Supervisor) shardLister(t *assigner.Table, loads []float64) func(session uint64) []balancer.ShardLoad {
	var owned map[uint64][]balancer.ShardLoad
	return func(session uint64) []balancer.ShardLoad {
		if owned == nil {
			owned = make(map[uint64][]balancer.ShardLoad)
			for number := range t.Size() {
				ownership := t.Ownership(number)
				if ownership.Phase == messenger.PhaseOwned && !ownership.Recovering {
					owned[ownership.Owner] = append(owned[ownership.Owner], balancer.ShardLoad{Shard: number, Load: loads[number]})
				}
			}
		}
		return owned[session]
	}
}

func (s *Supervisor) proposeMoves(t *assigner.Table, moves []balancer.Move, subject, reason string, batch *batch) bool {
	targets := make(map[uint64][]uint32)
	var order []uint64
	for _, move := range moves {
		if targets[move.To] == nil {
			order = append(order, move.To)
		}
		targets[move.To] = append(targets[move.To], move.Shard)
	}
	command := &assigner.Move{Service: t.Service.Name, Why: reason}
	for _, session := range order {
		command.Placements = append(command.Placements, assigner.Placement{
			Session: session,
			Shards:  assigner.NewShardSet(targets[session]),
		})
	}
	return batch.add(subject, assigner.Command{Move: command})
}
