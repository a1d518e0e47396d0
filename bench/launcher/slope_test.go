package launcher_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/launcher"
	"marigoldhill/kernel/networker"
)

// idleTime is how long an idle cluster is watched.
const idleTime = 10 * time.Second

// slopePort keeps the benchmark's listeners apart from those of a playground.
const slopePort = 17100

// counting counts the bytes that the processes write to each other.
type counting struct {
	networker.TCP
	written *atomic.Int64
}

func (c counting) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.written}, nil
}

func (c counting) Listen(address string) (net.Listener, error) {
	listener, err := c.TCP.Listen(address)
	if err != nil {
		return nil, err
	}
	return countingListener{listener, c.written}, nil
}

type countingListener struct {
	net.Listener
	written *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.written}, nil
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle is what control costs when no request comes: routers, stand-in
// servers and three control replicas in one process over loopback. It includes
// the probes between routers and servers.
func BenchmarkIdle(b *testing.B) {
	for _, nodes := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			plan, err := launcher.Playground()
			qt.Assert(b, err, qt.IsNil)
			plan.Servers[0].Count = nodes
			written := new(atomic.Int64)
			settings := launcher.Defaults(plan, b.TempDir())
			settings.Port = slopePort
			settings.Network = func(string) networker.Network { return counting{written: written} }
			cluster, err := launcher.New(settings)
			qt.Assert(b, err, qt.IsNil)
			qt.Assert(b, cluster.Start(b.Context()), qt.IsNil)
			time.Sleep(idleTime)
			var processor time.Duration
			var sent int64
			for b.Loop() {
				before, bytes := processorTime(), written.Load()
				time.Sleep(idleTime)
				processor += processorTime() - before
				sent += written.Load() - bytes
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			seconds := idleTime.Seconds() * float64(b.N)
			b.ReportMetric(100*processor.Seconds()/seconds, "percent-core")
			b.ReportMetric(float64(sent)/seconds, "sent-bytes/s")
			b.ReportMetric(float64(memory.HeapInuse)/(1<<20), "heap-MB")
			qt.Assert(b, cluster.Stop(context.WithoutCancel(b.Context())), qt.IsNil)
		})
	}
}
