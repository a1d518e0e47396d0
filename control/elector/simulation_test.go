package elector_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// step is the resolution of simulated time.
	step = time.Millisecond
	// tickTime is the time between two ticks of an elector.
	tickTime = 25 * time.Millisecond
	// compactEvery is how many entries are applied between two snapshots.
	compactEvery = 40
)

// flight is a message on its way.
type flight struct {
	due     time.Duration
	message elector.Message
}

// committed is what the group has agreed on at one index.
type committed struct {
	term  uint64
	chain uint64
}

// simulation drives electors over a network, disks and clocks that fail. It
// checks the promises of the consensus after each step.
type simulation struct {
	t        testing.TB
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	nodes    []*node
	founders elector.Group
	flights  []flight
	cut      map[[2]string]bool
	loss     float64 // part of messages lost, doubled or delayed long
	log      []committed
	leaders  map[uint64]string
	faults   []string
	proposed uint64
	padding  int // of snapshots, in bytes
	// hold says which messages are kept in held.
	hold func(elector.Message) bool
	held []elector.Message
}

func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	s := &simulation{
		t:       t,
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, 1)),
		cut:     make(map[[2]string]bool),
		leaders: make(map[uint64]string),
		log:     []committed{{}},
	}
	var members []messenger.Member
	for i := range size {
		members = append(members, messenger.Member{Name: fmt.Sprintf("n%d", i+1)})
	}
	s.founders = elector.Founders(members)
	for _, member := range members {
		s.boot(s.addNode(member.Name, false))
	}
	return s
}

func (s *simulation) addNode(name string, join bool) *node {
	n := &node{
		sim:         s,
		name:        name,
		incarnation: s.random.Uint64() | 1,
		join:        join,
		rate:        1 + (s.random.Float64()-0.5)/50,
		syncTime:    2 * time.Millisecond,
	}
	s.nodes = append(s.nodes, n)
	return n
}

// boot starts a node from what is on its disk.
func (s *simulation) boot(n *node) {
	start := elector.Stored{Hard: n.disk.hard, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries)}
	if !n.join {
		start.Founders = s.founders
	}
	n.up = true
	n.frozen = 0
	n.clock = timer.Instant{Wall: s.now}
	n.nextTick = 0
	n.applied, n.chain, n.sinceSnap = 0, 0, 0
	if n.disk.snapshot != nil {
		n.restore(*n.disk.snapshot)
	}
	n.core = elector.New(elector.Config{
		Name:        n.name,
		Incarnation: n.incarnation,
		Join:        n.join,
		Tail:        5,
		Rand:        rand.New(rand.NewPCG(s.random.Uint64(), 2)),
	}, start, n.clock)
}

func (s *simulation) fail(format string, arguments ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s\nfaults: %v", s.seed, s.now, fmt.Sprintf(format, arguments...), s.faults)
}

func (s *simulation) find(name string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
	return s.nodes[i]
}

// crash loses what was not synced, but for a random first part of it.
func (s *simulation) crash(n *node) {
	kept := s.random.IntN(len(n.writes) + 1)
	for _, w := range n.writes[:kept] {
		n.disk.store(w.effects)
	}
	n.writes = nil
	n.up = false
}

// run lets time pass and checks the promises all along.
func (s *simulation) run(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += step
		s.deliver()
		for _, n := range s.nodes {
			n.advance()
		}
		s.checkConfirmed()
	}
}

// deliver hands over the messages that are due, in random order.
func (s *simulation) deliver() {
	var due []flight
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool {
		if f.due > s.now {
			return false
		}
		due = append(due, f)
		return true
	})
	slices.SortStableFunc(due, func(a, b flight) int { return cmp.Compare(a.due, b.due) })
	for _, f := range due {
		to := s.find(f.message.To)
		switch {
		case !to.up:
		case to.frozen > s.now:
			f.due = to.frozen + time.Duration(s.random.IntN(40))*time.Millisecond
			s.flights = append(s.flights, f)
		default:
			to.step(elector.Received{Message: f.message})
		}
	}
}

// post puts a message on its way, or loses, doubles or delays it.
func (s *simulation) post(message elector.Message) {
	if s.hold != nil && s.hold(message) {
		s.held = append(s.held, message)
		return
	}
	if s.cut[[2]string{message.From, message.To}] {
		return
	}
	copies := 1
	if s.random.Float64() < s.loss {
		copies = s.random.IntN(3)
	}
	for range copies {
		delay := time.Duration(s.random.IntN(4)) * time.Millisecond
		if s.random.Float64() < s.loss {
			delay = time.Duration(s.random.IntN(1500)) * time.Millisecond
		}
		s.flights = append(s.flights, flight{due: s.now + delay, message: message})
	}
}

// checkConfirmed checks that no two replicas hold themselves confirmed at once.
func (s *simulation) checkConfirmed() {
	confirmed := ""
	for _, n := range s.nodes {
		if !n.up || n.frozen > s.now || !n.core.Confirmed(n.clock) {
			continue
		}
		if confirmed != "" {
			s.fail("%s and %s are both confirmed", confirmed, n.name)
		}
		confirmed = n.name
	}
}
