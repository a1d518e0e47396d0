package linker_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// exhaustedNetwork is a network whose listeners fail a number of times, as they do while
// the process has no descriptors left.
type exhaustedNetwork struct {
	networker.TCP
	failures *atomic.Int64
}

type exhaustedListener struct {
	net.Listener
	failures *atomic.Int64
}

// Listen implements [networker.Network].
func (n exhaustedNetwork) Listen(address string) (net.Listener, error) {
	socket, err := n.TCP.Listen(address)
	return exhaustedListener{socket, n.failures}, err
}

// Accept implements [net.Listener].
func (l exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func linkOptions() linker.Options {
	return linker.Options{Hello: messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r1"}}
}

// Guards against a process that takes no links any more once it was out of descriptors.
func TestLinksAreAcceptedAfterDescriptorsWereUsedUp(t *testing.T) {
	failures := new(atomic.Int64)
	failures.Store(3)
	options := linkOptions()
	options.Handler = func(context.Context, *linker.Link, *linker.Stream) {}
	server, err := linker.Listen(exhaustedNetwork{failures: failures}, "127.0.0.1:0", options)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	link, err := linker.Dial(ctx, networker.TCP{}, server.Address(), linkOptions())
	qt.Assert(t, err, qt.IsNil)
	link.Close()
}

// Guards against connections without a handshake that keep links of other processes out.
func TestLinkIsAcceptedBesideConnectionsWithoutHandshake(t *testing.T) {
	options := linkOptions()
	options.Handler = func(context.Context, *linker.Link, *linker.Stream) {}
	options.Budget = limiter.New("links", limiter.Limits{Bytes: 1 << 20, Connections: 4}, limiter.Options{Metrics: metrics.NewSet()})
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", options)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = server.Close() }()
	for range 20 {
		conn, err := net.Dial("tcp", server.Address())
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	for range 6 {
		link, err := linker.Dial(t.Context(), networker.TCP{}, server.Address(), linkOptions())
		qt.Assert(t, err, qt.IsNil)
		defer link.Close()
	}
	_, open := options.Budget.Used()
	qt.Check(t, open <= 4, qt.IsTrue)
}
