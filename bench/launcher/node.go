package launcher

import (
	"context"
	"sync"

	"marigoldhill/kernel/networker"
)

// Process is a control replica or a router.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Node runs one process, which can be started, stopped, killed and started again.
type Node[P Process] struct {
	name    string
	network networker.Network
	build   func(network networker.Network) (P, error)

	mutex   sync.Mutex
	process P
	active  *killableNetwork // network of the running process; nil if it is not running
	// stopping is the network of a process that is being stopped. stopped is closed
	// when it has stopped.
	stopping *killableNetwork
	stopped  chan struct{}
}

// Name returns the name of the node.
func (n *Node[P]) Name() string { return n.name }

// Process returns the running process, or the last one if none is running.
func (n *Node[P]) Process() P {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process
}

// Start builds a new process and starts it.
func (n *Node[P]) Start(ctx context.Context) error {
	network := newKillableNetwork(n.network)
	process, err := n.build(network)
	if err != nil {
		return Error.New("building %s: %w", n.name, err)
	}
	if err := process.Start(ctx); err != nil {
		return Error.New("starting %s: %w", n.name, err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process, n.active = process, network
	return nil
}

// Stop shuts the process down gracefully. It does nothing if the process is not
// running.
func (n *Node[P]) Stop(ctx context.Context) error {
	process, network := n.markStopped()
	if network == nil {
		return nil
	}
	defer n.beginStop(network)()
	if err := process.Stop(ctx); err != nil {
		return Error.New("stopping %s: %w", n.name, err)
	}
	return nil
}

// Kill stops the process without notifying its peers: its connections are closed
// first, so that the shutdown messages are not sent. If the process is being stopped,
// Kill waits until it has stopped.
func (n *Node[P]) Kill() {
	process, network := n.markStopped()
	if network == nil {
		n.killStopping()
		return
	}
	network.kill()
	canceledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = process.Stop(canceledCtx)
}

// beginStop records that the process with the given network is being stopped, until
// the returned function is called.
func (n *Node[P]) beginStop(network *killableNetwork) (end func()) {
	stopped := make(chan struct{})
	n.mutex.Lock()
	n.stopping, n.stopped = network, stopped
	n.mutex.Unlock()
	return func() {
		n.mutex.Lock()
		n.stopping = nil
		n.mutex.Unlock()
		close(stopped)
	}
}

// killStopping kills the network of a process that is being stopped, if there is one,
// and waits until the process has stopped.
func (n *Node[P]) killStopping() {
	n.mutex.Lock()
	network, stopped := n.stopping, n.stopped
	n.mutex.Unlock()
	if network == nil {
		return
	}
	network.kill()
	<-stopped
}

// Restart kills the process and starts it again.
func (n *Node[P]) Restart(ctx context.Context) error {
	n.Kill()
	return n.Start(ctx)
}

// markStopped marks the process as not running. It returns the process and its
// network, which is nil if the process was not running.
func (n *Node[P]) markStopped() (P, *killableNetwork) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	network := n.active
	n.active = nil
	return n.process, network
}
