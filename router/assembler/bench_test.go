package assembler

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/parser"
	"marigoldhill/kernel/timer"
)

// BenchmarkHeartbeat measures one heartbeat of a router without the network: filling it
// in, and applying a response that changes one shard or none, by the number of shards in
// the routing table and of shards that the router owns.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ shards, own uint32 }{{4_096, 800}, {16_384, 800}, {65_536, 800}, {65_536, 65}} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("shards=%d/own=%d/changes=%v", size.shards, size.own, changes), func(b *testing.B) {
				process, err := New(Settings{Version: parser.Version, Control: []string{"127.0.0.1:1"}}, Options{
					Network: networker.TCP{}, Log: logger.Discard(), Metrics: metrics.NewSet(),
				})
				if err != nil {
					b.Fatal(err)
				}
				heartbeatHandler := process.heartbeatHandler
				if err := heartbeatHandler.Apply(1, table(size.shards, size.own)); err != nil {
					b.Fatal(err)
				}
				for shard := range 64 {
					heartbeatHandler.tally.Add("findings", uint32(shard), fmt.Sprint(shard), time.Millisecond)
				}
				now := timer.Now()
				b.ReportAllocs()
				b.ResetTimer()
				for i := range uint64(b.N) {
					var heartbeat messenger.Heartbeat
					heartbeatHandler.Report(now, 1, &heartbeat)
					var delta *messenger.TableDelta
					if changes {
						row := messenger.ShardRow{Service: "findings", Shard: size.shards - 1, Phase: messenger.PhaseOwned, Owner: 2, Fence: i}
						delta = &messenger.TableDelta{From: i + 1, To: i + 2, Shards: []messenger.ShardRow{row}}
					}
					if err := heartbeatHandler.Apply(1, delta); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// table returns a routing table in which session 1 owns the first shards.
func table(shards, own uint32) *messenger.TableDelta {
	delta := &messenger.TableDelta{
		Full: true, To: 1,
		Sessions: []messenger.SessionRow{{Session: 1}, {Session: 2}},
		Services: []messenger.Service{{Name: "findings", Shards: shards, Routes: []messenger.Route{{Profile: "read"}}}},
	}
	for shard := range shards {
		row := messenger.ShardRow{Service: "findings", Shard: shard, Phase: messenger.PhaseOwned, Owner: 2, Fence: 1}
		if shard < own {
			row.Owner = 1
		}
		delta.Shards = append(delta.Shards, row)
	}
	return delta
}
