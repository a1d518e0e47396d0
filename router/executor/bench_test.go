package executor

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/dispatcher"
)

// BenchmarkExecute measures the cost of a request at its owner without the backend
// server, by the number of shards in the routing table.
func BenchmarkExecute(b *testing.B) {
	for _, shards := range []uint32{1_024, 8_192, 65_536} {
		for _, route := range []string{"", "issue"} {
			b.Run(fmt.Sprintf("shards=%d/route=%s", shards, route), func(b *testing.B) {
				s := newSetup()
				s.delta.Services[0].Shards = shards
				s.delta.To = 1
				for shard := range shards {
					s.delta.Shards = append(s.delta.Shards, messenger.ShardRow{
						Service: service, Shard: shard, Phase: messenger.PhaseOwned, Owner: session, Fence: 9,
					})
				}
				if err := s.locator.Apply(&s.delta); err != nil {
					b.Fatal(err)
				}
				s.backend.run = func(context.Context, *dispatcher.ServerRequest) dispatcher.Result { return doneResult("answer") }
				s.backend.discardRequests = true
				s.leaseSource.renew(timer.Now().Add(time.Hour))
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					request := messenger.Request{
						Number: fmt.Sprint(i), Service: service, Key: fmt.Sprint(i % 10_000), Route: route, Method: "POST",
					}
					answer := s.Execute(context.Background(), &request, nil)
					if answer.Body == nil {
						b.Fatal(answer.Response.Reason)
					}
					_, _ = io.Copy(io.Discard, answer.Body)
					answer.Close()
				}
			})
		}
	}
}
