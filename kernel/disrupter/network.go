// Package disrupter is an in-memory network with fault injection, for tests in
// synctest bubbles. VMs can be partitioned from each other, frozen or crashed,
// connections can be slowed down, blackholed or reset, and single frames can be
// dropped, duplicated, reordered or delayed.
//
// Each VM has a name, which is the host part of its addresses. The network of a VM
// is a [networker.Network], so the processes under test need no changes.
//
// # Usage
//
//	network := disrupter.New(time.Millisecond)
//	listener, err := network.Node("c1").Listen("c1:7000")
//	conn, err := network.Node("r1").Dial(ctx, "c1:7000")
//	network.Partition("r1", "c1") // one direction: drops what r1 sends to c1
//	network.Heal("r1", "c1")
//	network.Blackhole("r1", "c1") // blackholes open connections; new ones work
//	network.Crash("c1")           // resets connections and removes listeners
package disrupter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/networker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("disrupter")

// Sentinel errors, wrapped by the errors that this package returns.
var (
	// ErrRefused means that no listener accepted a dialed connection.
	ErrRefused = errs.New("connection refused")
	// ErrReset means that the connection was reset.
	ErrReset = errs.New("connection reset")
)

// direction identifies the traffic from one VM to another.
type direction struct {
	from string
	to   string
}

// SimulatedNetwork is one in-memory network. Its methods are safe for concurrent use.
type SimulatedNetwork struct {
	mu         sync.Mutex
	latency    time.Duration
	delays     map[direction]time.Duration
	uplinks    map[string]*uplink
	partitions map[direction]bool
	frozen     map[string]bool
	listeners  map[string]*listener
	conns      map[*conn]struct{}
	hook       Hook
	nextPort   int
}

// New returns a SimulatedNetwork with the given one-way latency between VMs.
func New(latency time.Duration) *SimulatedNetwork {
	return &SimulatedNetwork{
		latency:    latency,
		delays:     make(map[direction]time.Duration),
		uplinks:    make(map[string]*uplink),
		partitions: make(map[direction]bool),
		frozen:     make(map[string]bool),
		listeners:  make(map[string]*listener),
		conns:      make(map[*conn]struct{}),
		nextPort:   40000,
	}
}

// Node returns the network of the VM called name.
func (s *SimulatedNetwork) Node(name string) networker.Network {
	return &node{simulatedNetwork: s, name: name}
}

// SetHook sets the hook that decides what happens to each frame between processes.
// With a nil hook all frames are delivered.
func (s *SimulatedNetwork) SetHook(hook Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = hook
}

// SetDelay adds delay to the latency of data sent by from to to. It replaces an
// earlier delay.
func (s *SimulatedNetwork) SetDelay(from, to string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[direction{from, to}] = delay
}

// Partition drops all data sent by from to to. Neither VM gets an error.
func (s *SimulatedNetwork) Partition(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[direction{from, to}] = true
}

// Heal ends a partition. Connections on which data was dropped deliver nothing more in
// this direction, since a TCP stream cannot continue after missing bytes.
func (s *SimulatedNetwork) Heal(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.partitions, direction{from, to})
}

// PartitionBoth partitions both directions between a and b.
func (s *SimulatedNetwork) PartitionBoth(a, b string) {
	s.Partition(a, b)
	s.Partition(b, a)
}

// HealBoth heals both directions between a and b.
func (s *SimulatedNetwork) HealBoth(a, b string) {
	s.Heal(a, b)
	s.Heal(b, a)
}

// Freeze delays all data that the VM called name sends, receives or exchanges with
// itself, until Thaw.
func (s *SimulatedNetwork) Freeze(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[name] = true
}

// Thaw ends a freeze. The delayed data is delivered.
func (s *SimulatedNetwork) Thaw(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.frozen, name)
}

// isFrozen reports whether either end of a direction is frozen.
func (s *SimulatedNetwork) isFrozen(dir direction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen[dir.from] || s.frozen[dir.to]
}

// Blackhole blackholes the connections that are open between a and b: all data
// written to them from now on is dropped without an error. New connections work.
func (s *SimulatedNetwork) Blackhole(a, b string) {
	for _, c := range s.connsBetween(a, b) {
		c.out.blackhole()
	}
}

// Reset resets the connections that are open between a and b.
func (s *SimulatedNetwork) Reset(a, b string) {
	for _, c := range s.connsBetween(a, b) {
		c.reset()
	}
}

// Crash resets all connections of the VM called name and removes its listeners.
func (s *SimulatedNetwork) Crash(name string) {
	s.mu.Lock()
	var open []*conn
	for c := range s.conns {
		if c.localNode == name || c.remoteNode == name {
			open = append(open, c)
		}
	}
	var removed []*listener
	for address, l := range s.listeners {
		if l.node == name {
			delete(s.listeners, address)
			removed = append(removed, l)
		}
	}
	s.mu.Unlock()
	for _, l := range removed {
		l.shutDown()
	}
	for _, c := range open {
		c.reset()
	}
}

// connsBetween returns both ends of each open connection between a and b.
func (s *SimulatedNetwork) connsBetween(a, b string) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*conn
	for c := range s.conns {
		if (c.localNode == a && c.remoteNode == b) || (c.localNode == b && c.remoteNode == a) {
			found = append(found, c)
		}
	}
	return found
}

// route returns the latency in a direction and whether data arrives at all.
func (s *SimulatedNetwork) route(dir direction) (delay time.Duration, arrives bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dir.from == dir.to {
		return 0, true
	}
	return s.latency + s.delays[dir], !s.partitions[dir]
}

func (s *SimulatedNetwork) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// node is the network of one VM.
type node struct {
	simulatedNetwork *SimulatedNetwork
	name             string
}

// Listen implements networker.Network.
func (n *node) Listen(address string) (net.Listener, error) {
	return n.simulatedNetwork.listen(n.name, address)
}

// Dial implements networker.Network.
func (n *node) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.simulatedNetwork.dial(ctx, n.name, address)
}
