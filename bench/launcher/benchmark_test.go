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

// idleDuration is how long an idle cluster is measured.
const idleDuration = 10 * time.Second

// benchmarkPort is the first port. It differs from launcher.DefaultPort, so that a
// playground can run at the same time.
const benchmarkPort = 17100

// countingNetwork counts the bytes that processes write to connections.
type countingNetwork struct {
	networker.TCP
	written *atomic.Int64
}

func (c countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.written}, nil
}

func (c countingNetwork) Listen(address string) (net.Listener, error) {
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

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle measures the cost of a cluster without requests: routers, stand-in
// servers and three control replicas in one process over loopback. It includes
// the probes between routers and servers.
func BenchmarkIdle(b *testing.B) {
	for _, nodes := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			plan, err := launcher.Playground()
			qt.Assert(b, err, qt.IsNil)
			plan.Servers[0].Count = nodes
			written := new(atomic.Int64)
			settings := launcher.DefaultSettings(plan, b.TempDir())
			settings.Port = benchmarkPort
			settings.Network = func(string) networker.Network { return countingNetwork{written: written} }
			cluster, err := launcher.New(settings)
			qt.Assert(b, err, qt.IsNil)
			qt.Assert(b, cluster.Start(b.Context()), qt.IsNil)
			time.Sleep(idleDuration)
			var cpu time.Duration
			var sent int64
			for b.Loop() {
				cpuBefore, writtenBefore := cpuTime(), written.Load()
				time.Sleep(idleDuration)
				cpu += cpuTime() - cpuBefore
				sent += written.Load() - writtenBefore
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			seconds := idleDuration.Seconds() * float64(b.N)
			b.ReportMetric(100*cpu.Seconds()/seconds, "percent-core")
			b.ReportMetric(float64(sent)/seconds, "sent-bytes/s")
			b.ReportMetric(float64(memory.HeapInuse)/(1<<20), "heap-MB")
			qt.Assert(b, cluster.Stop(context.WithoutCancel(b.Context())), qt.IsNil)
		})
	}
}

// loadDuration is how long requests are sent at one rate.
const loadDuration = 5 * time.Second

// BenchmarkRequests measures the cost of requests at several rates, for entry router,
// owner, stand-in server and caller together in one process over loopback, and their
// latency from when they were due.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			plan, err := launcher.Playground()
			qt.Assert(b, err, qt.IsNil)
			settings := launcher.DefaultSettings(plan, b.TempDir())
			settings.Port = benchmarkPort
			settings.Server.Work = 0
			settings.Server.Slots = 64
			cluster, err := launcher.New(settings)
			qt.Assert(b, err, qt.IsNil)
			qt.Assert(b, cluster.Start(b.Context()), qt.IsNil)
			time.Sleep(idleDuration / 2)
			var routers []string
			for _, node := range cluster.Routers {
				routers = append(routers, node.Process().CallerURL())
			}
			load := loader.Settings{
				Routers: routers, Service: "findings", Rate: float64(rate), Count: 1 << 20, Duration: loadDuration,
				Keys: 1000, Skew: 1.1, Kinds: []loader.Kind{{Name: "findings", Method: "GET", Route: "findings", Weight: 1}},
				Flight: 256, Timeout: 5 * time.Second, Seed: 1,
			}
			var cpu time.Duration
			var lastReport loader.Report
			for b.Loop() {
				cpuBefore := cpuTime()
				report, err := loader.Run(b.Context(), load, networker.TCP{})
				qt.Assert(b, err, qt.IsNil)
				cpu += cpuTime() - cpuBefore
				lastReport = report
			}
			b.ReportMetric(cpu.Seconds()*1e3/(loadDuration.Seconds()*float64(b.N)), "ms-processor/s")
			reportLatency(b, lastReport)
			qt.Assert(b, cluster.Stop(context.WithoutCancel(b.Context())), qt.IsNil)
		})
	}
}

// reportLatency reports latency percentiles. The load has a single kind.
func reportLatency(b *testing.B, report loader.Report) {
	for _, latency := range report.Latencies {
		b.ReportMetric(float64(latency.P50.Microseconds())/1e3, "p50-ms")
		b.ReportMetric(float64(latency.P99.Microseconds())/1e3, "p99-ms")
	}
}
