package supervisor

import (
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// holdTime is how long an imbalance must last before shards are moved.
	holdTime = 5 * time.Second
	// warmTime is how long a new leader measures loads before they count. Until
	// then it only fills servers with hardly any shards.
	warmTime = 2 * loadWindow
	// movingPart bounds the shards of a service that move at a time, as a part
	// of all; minMoving is the least bound.
	movingPart = 64
	minMoving  = 4
	// budgetPart bounds the moves of a service in a minute, as a part of all
	// shards; minBudget is the least bound.
	budgetPart = 8
	minBudget  = 16
	budgetTime = time.Minute
)

// moveBudget bounds the moves of a service in a minute.
type moveBudget struct {
	start timer.Instant
	spent int
}

// left is how many moves may start now.
func (b *moveBudget) left(now timer.Instant, shards int) int {
	if now.Since(b.start) >= budgetTime {
		*b = moveBudget{start: now}
	}
	return max(shards/budgetPart, minBudget) - b.spent
}

// balance weighs loads and moves shards where that gains more than it costs.
func (s *Supervisor) balance(now timer.Instant, batch *batch) {
	if s.weighed.IsZero() {
		s.weighed = now
	}
	span := now.Since(s.weighed)
	if span < weighInterval {
		return
	}
	s.weighed = now
	s.weigh(span)
	for _, t := range s.state.Tables() {
		s.heatKeys(t, span, batch)
		s.balanceTable(now, t, batch)
	}
	s.publish(now)
}

func (s *Supervisor) balanceTable(now timer.Instant, t *assigner.Table, batch *batch) {
	known := s.service(t)
	servers := s.serverLoads(t)
	listShards := s.shardLister(t, s.service(t).load)
	if now.Since(s.calm) < warmTime {
		dropLoads(servers)
		listShards = s.shardLister(t, make([]float64, t.Size()))
	}
	loads := balancer.NewLoads(servers)
	weights := weightsOf(&t.Service)
	if !known.isUneven(now, weights, loads.Skew()) || t.Free() > 0 || batch.has("move/"+t.Service.Name) {
		return
	}
	shards := int(t.Service.Shards)
	limit := min(known.moves.left(now, shards), max(shards/movingPart, minMoving)-t.Moving())
	moves := loads.Plan(weights, limit, listShards)
	if len(moves) == 0 {
		return
	}
	known.moves.spent += len(moves)
	s.proposeMoves(t, moves, "move/"+t.Service.Name, "balance", batch)
}

// dropLoads leaves only the number of shards to tell servers apart.
func dropLoads(servers []balancer.ServerLoad) {
	for n := range servers {
		servers[n].Load = 0
	}
}

// isUneven decides whether shards are to be moved: an imbalance must have lasted
// for holdTime before moves start.
func (k *service) isUneven(now timer.Instant, weights balancer.Weights, skew balancer.Skew) bool {
	if !weights.ShouldMove(skew, k.active) {
		k.uneven = timer.Instant{}
		k.active = false
		return false
	}
	if k.uneven.IsZero() {
		k.uneven = now
	}
	k.active = k.active || now.Since(k.uneven) >= holdTime
	return k.active
}

func weightsOf(service *messenger.Service) balancer.Weights {
	return balancer.Weights{Unavailable: service.Unavailable, Imbalance: service.Imbalance, Churn: service.Churn}
}

// serverLoads lists the servers of a service with their work. Those that are
// leaving or not ready are left out.
func (s *Supervisor) serverLoads(t *assigner.Table) []balancer.ServerLoad {
	var loads []balancer.ServerLoad
	moving := s.movingLoads(t)
	for _, server := range s.servers(t) {
		known := s.routers[server.Session]
		loads = append(loads, balancer.ServerLoad{
			Server:   server,
			Load:     max(known.work.load+moving[server.Session], 0),
			Requests: known.work.rate * loadWindow.Seconds(),
			Accepts:  true,
			Cold:     s.state.Session(server.Session).Row.Server.Cold,
		})
	}
	return loads
}

// movingLoads is the work that sessions are about to get, or to lose, by moves
// that are under way.
func (s *Supervisor) movingLoads(t *assigner.Table) map[uint64]float64 {
	loads := make(map[uint64]float64)
	known := s.service(t)
	t.EachMove(func(move assigner.MoveUnderWay) {
		loads[move.From] -= known.load[move.Shard]
		loads[move.To] += known.load[move.Shard]
	})
	return loads
}

// shardLister returns a function that lists the shards of a session that can be
// moved, with their loads. It reads the table once.
func (s *Supervisor) shardLister(t *assigner.Table, loads []float64) func(session uint64) []balancer.ShardLoad {
	var owned map[uint64][]balancer.ShardLoad
	return func(session uint64) []balancer.ShardLoad {
		if owned == nil {
			owned = make(map[uint64][]balancer.ShardLoad)
			for number := range t.Size() {
				cell := t.Ownership(number)
				if cell.Phase == messenger.PhaseOwned && !cell.Recovering {
					owned[cell.Owner] = append(owned[cell.Owner], balancer.ShardLoad{Shard: number, Load: loads[number]})
				}
			}
		}
		return owned[session]
	}
}

func (s *Supervisor) proposeMoves(t *assigner.Table, moves []balancer.Move, subject, why string, batch *batch) bool {
	targets := make(map[uint64][]uint32)
	var order []uint64
	for _, move := range moves {
		if targets[move.To] == nil {
			order = append(order, move.To)
		}
		targets[move.To] = append(targets[move.To], move.Shard)
	}
	command := &assigner.Move{Service: t.Service.Name, Why: why}
	for _, session := range order {
		command.Placements = append(command.Placements, assigner.Placement{
			Session: session,
			Shards:  assigner.NewShardSet(targets[session]),
		})
	}
	return batch.add(subject, assigner.Command{Move: command})
}
