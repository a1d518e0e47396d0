package receiver_test

import (
	"fmt"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
)

// BenchmarkCall measures a heartbeat with a number of shard loads over loopback. Both
// ends run in this process, and there is no state machine.
func BenchmarkCall(b *testing.B) {
	for _, loads := range []int{0, 16, 32, 64} {
		b.Run(fmt.Sprintf("loads=%d", loads), func(b *testing.B) {
			pool, address := serveOnLoopback(b, &fakeReplica{response: &messenger.HeartbeatResponse{Status: messenger.HeartbeatRenewed, Session: 5}})
			heartbeat := messenger.Heartbeat{Router: "r1", Session: 5, Address: "10.0.0.1:7201", Domain: "d1", Region: "one"}
			for n := range loads {
				heartbeat.Loads = append(heartbeat.Loads, messenger.ShardLoad{Service: "findings", Shard: uint32(n), Requests: 5, Busy: 1e6})
			}
			before := cpuSeconds()
			for b.Loop() {
				_, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatResponse](
					b.Context(), pool, address, messenger.KindHeartbeat, &heartbeat)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric((cpuSeconds()-before)*1e6/float64(b.N), "us-processor/op")
		})
	}
}

// cpuSeconds returns the user and system CPU time of this process.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}
