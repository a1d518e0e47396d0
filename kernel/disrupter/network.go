// Package disrupter is an in-memory network with fault injection, for tests in
// synctest bubbles. Connections can be cut, slowed down, blackholed or reset, and
// single frames can be dropped, duplicated, reordered or delayed.
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
	// ErrRefused means that no listener accepted a dialled connection.
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
	mu        sync.Mutex
	latency   time.Duration
	delays    map[direction]time.Duration
	cuts      map[direction]bool
	frozen    map[string]bool
	listeners map[string]*listener
	conns     map[*conn]struct{}
	hook      Hook
	nextPort  int
}

// New returns a SimulatedNetwork with the given one-way latency between VMs.
func New(latency time.Duration) *SimulatedNetwork {
	return &SimulatedNetwork{
		latency:   latency,
		delays:    make(map[direction]time.Duration),
		cuts:      make(map[direction]bool),
		frozen:    make(map[string]bool),
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		nextPort:  40000,
	}
}

// Node returns the network of the VM called name.
func (w *SimulatedNetwork) Node(name string) networker.Network {
	return &node{simulatedNetwork: w, name: name}
}

// SetHook makes hook decide what happens to each frame between processes. With a
// nil hook all frames are delivered.
func (w *SimulatedNetwork) SetHook(hook Hook) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = hook
}

// SetDelay adds delay to the latency of data sent by from to to. It replaces an
// earlier delay.
func (w *SimulatedNetwork) SetDelay(from, to string, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays[direction{from, to}] = delay
}

// Partition drops all data sent by from to to. Neither VM gets an error.
func (w *SimulatedNetwork) Partition(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[direction{from, to}] = true
}

// Heal reverts Partition. Connections on which data was dropped deliver nothing more in
// this direction, since a TCP stream cannot continue after missing bytes.
func (w *SimulatedNetwork) Heal(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cuts, direction{from, to})
}

// PartitionBoth cuts both directions between a and b.
func (w *SimulatedNetwork) PartitionBoth(a, b string) {
	w.Partition(a, b)
	w.Partition(b, a)
}

// HealBoth heals both directions between a and b.
func (w *SimulatedNetwork) HealBoth(a, b string) {
	w.Heal(a, b)
	w.Heal(b, a)
}

// Freeze delays all data that the VM called name sends, receives or exchanges with
// itself, until Thaw.
func (w *SimulatedNetwork) Freeze(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen[name] = true
}

// Thaw ends a freeze. The delayed data is delivered.
func (w *SimulatedNetwork) Thaw(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.frozen, name)
}

// isFrozen reports whether either end of a direction is frozen.
func (w *SimulatedNetwork) isFrozen(dir direction) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen[dir.from] || w.frozen[dir.to]
}

// Blackhole blackholes the connections that are open between a and b: all data
// written to them from now on is dropped without an error. New connections work.
func (w *SimulatedNetwork) Blackhole(a, b string) {
	for _, c := range w.connsBetween(a, b) {
		c.out.blackhole()
	}
}

// Reset resets the connections that are open between a and b.
func (w *SimulatedNetwork) Reset(a, b string) {
	for _, c := range w.connsBetween(a, b) {
		c.reset()
	}
}

// Crash resets all connections of the VM called name and removes its listeners.
func (w *SimulatedNetwork) Crash(name string) {
	w.mu.Lock()
	var open []*conn
	for c := range w.conns {
		if c.localNode == name || c.remoteNode == name {
			open = append(open, c)
		}
	}
	var removed []*listener
	for address, l := range w.listeners {
		if l.node == name {
			delete(w.listeners, address)
			removed = append(removed, l)
		}
	}
	w.mu.Unlock()
	for _, l := range removed {
		l.shutDown()
	}
	for _, c := range open {
		c.reset()
	}
}

// connsBetween returns both ends of each open connection between a and b.
func (w *SimulatedNetwork) connsBetween(a, b string) []*conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*conn
	for c := range w.conns {
		if (c.localNode == a && c.remoteNode == b) || (c.localNode == b && c.remoteNode == a) {
			found = append(found, c)
		}
	}
	return found
}

// route returns the latency in a direction and whether data arrives at all.
func (w *SimulatedNetwork) route(dir direction) (delay time.Duration, arrives bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if dir.from == dir.to {
		return 0, true
	}
	return w.latency + w.delays[dir], !w.cuts[dir]
}

func (w *SimulatedNetwork) removeConn(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
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
