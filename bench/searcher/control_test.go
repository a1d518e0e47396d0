package searcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const replicaCount = 3

// logEntry is an entry of the log of the control group. Entries without data start a
// term.
type logEntry struct {
	data []byte
	// commitAt is when it is committed.
	commitAt time.Time
}

// replica is a member of the control group.
type replica struct {
	member  messenger.Member
	machine *supervisor.Supervisor
	applied int
	// leading is set from when the replica has committed an entry in its term until it
	// learns of a later one; term and since describe that term.
	leading bool
	term    uint64
	since   timer.Instant
	// confirmedUntil is when a leader that was cut off stops being confirmed; zero
	// unless it was cut off.
	confirmedUntil time.Time
	// frozenUntil is when a frozen replica runs again.
	frozenUntil time.Time
	// wallOffset is added to its wall clock.
	wallOffset time.Duration
}

// controlGroup has the real decisions of a leader over a simulated log.
type controlGroup struct {
	w        *world
	servers  []*linker.Server
	mu       sync.Mutex
	random   *rand.Rand
	replicas []*replica
	log      []logEntry
	// committed is the number of committed entries.
	committed int
	// traced is the number of entries that the trace has.
	traced int
	leader *replica
	term   uint64
}

func newControlGroup(w *world) *controlGroup {
	g := &controlGroup{w: w, random: w.newRandom("control")}
	for n := range replicaCount {
		member := messenger.Member{Name: fmt.Sprintf("c%d", n), Address: fmt.Sprintf("c%d:1", n), Operator: fmt.Sprintf("c%d:2", n)}
		r := &replica{member: member, machine: supervisor.New(supervisor.Options{Cluster: "search"})}
		g.replicas = append(g.replicas, r)
		hello := messenger.Hello{Cluster: "search", Version: messenger.Version, Role: messenger.RoleControl, Name: member.Name}
		server, err := linker.Listen(w.network.Node(member.Name), member.Address, linker.Options{Hello: hello, Handler: g.handler(r)})
		if err != nil {
			panic(err)
		}
		g.servers = append(g.servers, server)
	}
	command := assigner.Command{Configure: &assigner.Configure{Configuration: messenger.Configuration{
		Version: 1, Services: []messenger.RoutedService{{Name: service, Ranged: true}},
	}, Source: []byte("text")}}
	data, err := assigner.Encode(&command)
	if err != nil {
		panic(err)
	}
	g.log = append(g.log, logEntry{data: data, commitAt: time.Now()})
	g.mu.Lock()
	g.elect(g.replicas[0])
	g.mu.Unlock()
	return g
}

func (g *controlGroup) close() {
	for _, server := range g.servers {
		_ = server.Close()
	}
}

func (g *controlGroup) addresses() []string {
	var addresses []string
	for _, r := range g.replicas {
		addresses = append(addresses, r.member.Address)
	}
	return addresses
}

// now returns the time at a replica.
func (r *replica) now(w *world) timer.Instant {
	now := timer.Now()
	now.Wall += r.wallOffset - w.wallOffset
	return now
}

func (g *controlGroup) status(r *replica) replicator.RaftStatus {
	status := replicator.RaftStatus{Name: r.member.Name, Leading: r.leading, Since: r.since, Term: r.term, Applied: uint64(r.applied)}
	status.Confirmed = r.leading && (r.confirmedUntil.IsZero() || time.Now().Before(r.confirmedUntil))
	if g.leader != nil {
		status.Leader = g.leader.member
	}
	for _, other := range g.replicas {
		status.Members = append(status.Members, other.member)
	}
	return status
}

// handler serves the heartbeats that a replica receives.
func (g *controlGroup) handler(r *replica) linker.Handler {
	return func(ctx context.Context, _ *linker.Link, stream *linker.Stream) {
		_ = linker.Respond(stream, func(heartbeat *messenger.Heartbeat) (*messenger.HeartbeatResponse, error) {
			noise := g.w.drawBeatNoise(heartbeat.Router)
			if noise.lost {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(noise.delay)
			if noise.doubled {
				copied := *heartbeat
				go func() {
					if g.w.sleep(noise.doubleDelay) {
						g.query(r, &copied)
					}
				}()
			}
			response := g.query(r, heartbeat)
			if response == nil || noise.answerLost {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(noise.answerDelay)
			return response, nil
		})
	}
}

// query passes a heartbeat to a replica once that runs.
func (g *controlGroup) query(r *replica, heartbeat *messenger.Heartbeat) *messenger.HeartbeatResponse {
	for {
		g.mu.Lock()
		wait := time.Until(r.frozenUntil)
		if wait <= 0 {
			break
		}
		g.mu.Unlock()
		if !g.w.sleep(wait) {
			return nil
		}
	}
	defer g.mu.Unlock()
	response, commands := r.machine.Query(r.now(g.w), g.status(r), heartbeat)
	g.propose(r, commands)
	return response.(*messenger.HeartbeatResponse)
}

// propose appends commands to the log. Those of a leader that was cut off are lost.
func (g *controlGroup) propose(r *replica, commands [][]byte) {
	if r != g.leader || !r.confirmedUntil.IsZero() {
		return
	}
	for _, data := range commands {
		g.append(data)
	}
}

func (g *controlGroup) append(data []byte) {
	delay := time.Duration(1+g.random.IntN(15)) * time.Millisecond
	if g.w.isDisturbed() && g.random.IntN(25) == 0 {
		delay = time.Duration(g.random.IntN(700)) * time.Millisecond
	}
	commitAt := time.Now().Add(delay)
	if last := len(g.log) - 1; last >= 0 && g.log[last].commitAt.After(commitAt) {
		commitAt = g.log[last].commitAt
	}
	g.log = append(g.log, logEntry{data: data, commitAt: commitAt})
}

// step commits the entries that are due and ticks the replicas.
func (g *controlGroup) step(tick bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	leads := g.leader != nil && g.leader.confirmedUntil.IsZero()
	for leads && g.committed < len(g.log) && !g.log[g.committed].commitAt.After(now) {
		g.committed++
	}
	for _, r := range g.replicas {
		if r.frozenUntil.After(now) {
			continue
		}
		if r == g.leader && r.confirmedUntil.IsZero() {
			g.apply(r, g.committed)
		}
		if tick {
			g.propose(r, r.machine.Tick(r.now(g.w), g.status(r)))
		}
	}
}

// apply applies the committed entries to a replica.
func (g *controlGroup) apply(r *replica, committed int) {
	for r.applied < committed {
		data := g.log[r.applied].data
		r.applied++
		if data == nil {
			continue
		}
		r.machine.Apply(uint64(r.applied), data)
		if r == g.leader && r.applied > g.traced {
			g.traced = r.applied
			g.traceCommand(r.applied, data)
		}
	}
}

// traceCommand adds a command that concerns keys or sessions to the trace.
func (g *controlGroup) traceCommand(index int, data []byte) {
	command, err := assigner.Decode(data)
	if err != nil {
		panic(err)
	}
	switch {
	case command.GrantRanges != nil:
		for _, p := range command.GrantRanges.Placements {
			g.w.traceKeys(-1, []keyRange{{p.From, p.To}}, "log %d: grant %v", index, p)
		}
	case command.MoveRanges != nil:
		g.w.count("moves")
		for _, p := range command.MoveRanges.Placements {
			g.w.traceKeys(-1, []keyRange{{p.From, p.To}}, "log %d: move %v (%s)", index, p, command.MoveRanges.Why)
		}
	case command.ReleaseRanges != nil:
		for _, r := range command.ReleaseRanges.Ranges {
			g.w.traceKeys(-1, []keyRange{{r.From, r.To}}, "log %d: free of session %d: %v", index, command.ReleaseRanges.Session, r)
		}
	case command.Open != nil:
		g.w.trace(-1, "log %d: open %s", index, command.Open.Router)
	case command.Close != nil:
		g.w.trace(-1, "log %d: close %v lapsed %t", index, command.Close.Sessions, command.Close.Lapsed)
	case command.Adopt != nil:
		g.w.trace(-1, "log %d: adopt %d", index, command.Adopt.Session)
	case command.Update != nil:
		born := int64(0)
		if command.Update.Server != nil {
			born = command.Update.Server.Born
		}
		g.w.trace(-1, "log %d: update %d born %d leaving %t", index, command.Update.Session, born, command.Update.Leaving)
	}
}

// elect makes a replica the leader. Some of the entries that the last leader did not
// commit survive.
func (g *controlGroup) elect(r *replica) {
	if uncommitted := len(g.log) - g.committed; uncommitted > 0 && g.term > 0 {
		g.log = g.log[:g.committed+g.random.IntN(uncommitted+1)]
	}
	if g.term > 0 && g.random.IntN(3) == 0 {
		g.restore(r)
	}
	g.term++
	g.log = append(g.log, logEntry{commitAt: time.Now()})
	g.committed = len(g.log)
	g.leader = r
	g.apply(r, g.committed)
	r.leading, r.term, r.since = true, g.term, r.now(g.w)
	r.confirmedUntil = time.Time{}
	g.w.trace(-1, "%s leads term %d", r.member.Name, g.term)
}

// restore replaces the state of a replica by a snapshot of another one.
func (g *controlGroup) restore(r *replica) {
	source := g.replicas[g.random.IntN(len(g.replicas))]
	if source == r || source.applied < r.applied {
		return
	}
	snapshot, err := source.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	r.machine = supervisor.New(supervisor.Options{Cluster: "search"})
	if err := r.machine.Restore(uint64(source.applied), snapshot); err != nil {
		panic(err)
	}
	r.applied = source.applied
	g.w.count("restored snapshots")
}

// changeLeader cuts the leader off, freezes it, or transfers its leadership, and elects
// another one.
func (g *controlGroup) changeLeader(random *rand.Rand) {
	g.w.count("leader changes")
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.leader
	if old == nil || !old.confirmedUntil.IsZero() {
		return
	}
	next := g.replicas[random.IntN(len(g.replicas))]
	for next == old {
		next = g.replicas[random.IntN(len(g.replicas))]
	}
	now := time.Now()
	gap, learns := time.Duration(5+random.IntN(60))*time.Millisecond, time.Duration(0)
	switch random.IntN(3) {
	case 0: // a transfer
		old.confirmedUntil = now
	case 1: // a partition
		confirmed := time.Duration(300+random.IntN(130)) * time.Millisecond
		old.confirmedUntil = now.Add(confirmed)
		gap = max(confirmed, messenger.MinElectionTimeout) + time.Duration(random.IntN(400))*time.Millisecond
		learns = time.Duration(random.IntN(1500)) * time.Millisecond
	case 2: // a frozen leader
		old.confirmedUntil = now
		old.frozenUntil = now.Add(time.Duration(200+random.IntN(3000)) * time.Millisecond)
		gap = messenger.MinElectionTimeout + time.Duration(random.IntN(400))*time.Millisecond
		learns = max(0, old.frozenUntil.Sub(now)-gap) + time.Duration(random.IntN(150))*time.Millisecond
	}
	g.w.trace(-1, "%s is cut off, %s will lead in %v", old.member.Name, next.member.Name, gap)
	go func() {
		if !g.w.sleep(gap) {
			return
		}
		g.mu.Lock()
		next.frozenUntil = time.Time{}
		next.leading = false
		g.elect(next)
		g.mu.Unlock()
		if !g.w.sleep(learns) {
			return
		}
		g.mu.Lock()
		if old != g.leader {
			old.leading, old.term = false, g.term
			old.confirmedUntil = time.Time{}
		}
		g.mu.Unlock()
	}()
}

// pause freezes the leader for less than an election timeout.
func (g *controlGroup) pause(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != nil && g.leader.confirmedUntil.IsZero() {
		g.leader.frozenUntil = time.Now().Add(length)
	}
}

// stepClock steps the wall clock of one replica.
func (g *controlGroup) stepClock(number int, offset time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[number].wallOffset += offset
}
