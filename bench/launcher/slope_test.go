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
	"marigoldhill/bench/loader"
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

// requestTime is how long requests are sent at one rate.
const requestTime = 5 * time.Second

// BenchmarkRequests is what requests cost at several rates, for entry, owner,
// stand-in server and caller together in one process over loopback, and their
// latency from when they were due.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			plan, err := launcher.Playground()
			qt.Assert(b, err, qt.IsNil)
			settings := launcher.Defaults(plan, b.TempDir())
			settings.Port = slopePort
			settings.Server.Work = 0
			settings.Server.Slots = 64
			cluster, err := launcher.New(settings)
			qt.Assert(b, err, qt.IsNil)
			qt.Assert(b, cluster.Start(b.Context()), qt.IsNil)
			time.Sleep(idleTime / 2)
			var routers []string
			for _, node := range cluster.Routers {
				routers = append(routers, node.Process().CallerURL())
			}
			load := loader.Settings{
				Routers: routers, Service: "findings", Rate: float64(rate), Count: 1 << 20, Duration: requestTime,
				Keys: 1000, Skew: 1.1, Kinds: []loader.Kind{{Name: "findings", Method: "GET", Route: "findings", Weight: 1}},
				Flight: 256, Timeout: 5 * time.Second, Seed: 1,
			}
			var processor time.Duration
			var last loader.Report
			for b.Loop() {
				before := processorTime()
				report, err := loader.Run(b.Context(), load, networker.TCP{})
				qt.Assert(b, err, qt.IsNil)
				processor += processorTime() - before
				last = report
			}
			b.ReportMetric(processor.Seconds()*1e3/(requestTime.Seconds()*float64(b.N)), "ms-processor/s")
			reportLatency(b, last)
			qt.Assert(b, cluster.Stop(context.WithoutCancel(b.Context())), qt.IsNil)
		})
	}
}

// reportLatency reports the latencies of all kinds together.
func reportLatency(b *testing.B, report loader.Report) {
	for _, latency := range report.Latencies {
		b.ReportMetric(float64(latency.P50.Microseconds())/1e3, "p50-ms")
		b.ReportMetric(float64(latency.P99.Microseconds())/1e3, "p99-ms")
	}
}
