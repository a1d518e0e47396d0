// Package disrupter is an in-memory network whose connections can be cut,
// slowed, silenced or reset, and whose frames can be dropped, doubled or held
// back one by one. It is made for tests in synctest bubbles.
//
// Each VM has a name, which is the host part of its addresses. The network of a
// VM is a [networker.Network], so the processes under test need not know.
//
// # Usage
//
//	world := disrupter.New(time.Millisecond)
//	listener, err := world.Node("c1").Listen("c1:7000")
//	conn, err := world.Node("r1").Dial(ctx, "c1:7000")
//	world.Cut("r1", "c1")      // one way: what r1 sends vanishes
//	world.Heal("r1", "c1")
//	world.Silence("r1", "c1")  // open connections go silent, new ones work
//	world.Crash("c1")          // connections are reset, listeners are gone
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

// Errors that the returned ones wrap.
var (
	// ErrRefused is for a dial to an address where nobody listens.
	ErrRefused = errs.New("connection refused")
	// ErrReset is for the use of a connection that was reset.
	ErrReset = errs.New("connection reset")
)

// pair is a direction between two VMs.
type pair struct {
	from string
	to   string
}

// World is one in-memory network. Its methods are safe for concurrent use.
type World struct {
	mu        sync.Mutex
	latency   time.Duration
	delays    map[pair]time.Duration
	cuts      map[pair]bool
	frozen    map[string]bool
	listeners map[string]*listener
	conns     map[*conn]struct{}
	hook      Hook
	nextPort  int
}

// New returns a World in which each byte takes latency one way.
func New(latency time.Duration) *World {
	return &World{
		latency:   latency,
		delays:    make(map[pair]time.Duration),
		cuts:      make(map[pair]bool),
		frozen:    make(map[string]bool),
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		nextPort:  40000,
	}
}

// Node returns the network as the VM called name sees it.
func (w *World) Node(name string) networker.Network {
	return &node{world: w, name: name}
}

// SetHook makes hook decide on each frame between processes; nil passes all.
func (w *World) SetHook(hook Hook) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = hook
}

// SetDelay makes what from sends to to take delay longer.
func (w *World) SetDelay(from, to string, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays[pair{from, to}] = delay
}

// Cut makes everything vanish that from sends to to, without a sign.
func (w *World) Cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[pair{from, to}] = true
}

// Heal undoes Cut. Connections that were open during the cut stay silent, since
// bytes of them are missing.
func (w *World) Heal(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cuts, pair{from, to})
}

// CutBoth cuts both directions between a and b.
func (w *World) CutBoth(a, b string) {
	w.Cut(a, b)
	w.Cut(b, a)
}

// HealBoth heals both directions between a and b.
func (w *World) HealBoth(a, b string) {
	w.Heal(a, b)
	w.Heal(b, a)
}

// Freeze holds back all that the VM called name sends, receives and tells
// itself, until Thaw.
func (w *World) Freeze(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen[name] = true
}

// Thaw ends a freeze; what was held back arrives.
func (w *World) Thaw(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.frozen, name)
}

// isFrozen reports whether either end of a direction is frozen.
func (w *World) isFrozen(way pair) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen[way.from] || w.frozen[way.to]
}

// Silence makes the connections that are open between a and b swallow all that
// is written to them from now on. New connections work.
func (w *World) Silence(a, b string) {
	for _, c := range w.between(a, b) {
		c.out.silence()
	}
}

// Reset resets the connections that are open between a and b.
func (w *World) Reset(a, b string) {
	for _, c := range w.between(a, b) {
		c.reset()
	}
}

// Crash resets all connections of the VM called name and removes its listeners.
func (w *World) Crash(name string) {
	w.mu.Lock()
	var open []*conn
	for c := range w.conns {
		if c.local == name || c.remote == name {
			open = append(open, c)
		}
	}
	var gone []*listener
	for address, l := range w.listeners {
		if l.node == name {
			delete(w.listeners, address)
			gone = append(gone, l)
		}
	}
	w.mu.Unlock()
	for _, l := range gone {
		l.end()
	}
	for _, c := range open {
		c.reset()
	}
}

// between returns the ends of open connections between a and b.
func (w *World) between(a, b string) []*conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*conn
	for c := range w.conns {
		if (c.local == a && c.remote == b) || (c.local == b && c.remote == a) {
			found = append(found, c)
		}
	}
	return found
}

// route returns how long bytes take from one VM to another, and whether they
// arrive at all.
func (w *World) route(way pair) (delay time.Duration, arrives bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if way.from == way.to {
		return 0, true
	}
	return w.latency + w.delays[way], !w.cuts[way]
}

func (w *World) forget(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// node is the view of one VM.
type node struct {
	world *World
	name  string
}

// Listen implements networker.Network.
func (n *node) Listen(address string) (net.Listener, error) {
	return n.world.listen(n.name, address)
}

// Dial implements networker.Network.
func (n *node) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.world.dial(ctx, n.name, address)
}
