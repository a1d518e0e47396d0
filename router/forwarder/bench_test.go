package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
	"marigoldhill/router/locator"
)

// echoRunner answers with the body of the request.
type echoRunner struct{}

func (echoRunner) Execute(_ context.Context, request *messenger.Request, body io.Reader) executor.Answer {
	return executor.Answer{
		Response: messenger.Response{Number: request.Number, Outcome: messenger.OutcomeDone, Status: 200, Length: request.Length},
		Body:     io.NopCloser(body),
	}
}

func (echoRunner) Outcome(context.Context, *messenger.OutcomeQuery) messenger.OutcomeResponse {
	return messenger.OutcomeResponse{}
}

// BenchmarkForward forwards requests from an entry router to the owner over one
// loopback connection, 16 at a time for each processor. Both routers run in this
// process, so the CPU time covers both.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) { benchmarkForward(b, size) })
	}
}

func benchmarkForward(b *testing.B, size int) {
	hello := messenger.Hello{Cluster: "bench", Version: messenger.Version, Role: messenger.RoleRouter}
	table := locator.New(metrics.NewSet())
	owner := forwarder.New(forwarder.Settings{}, forwarder.Options{
		Locator: table, Runner: echoRunner{}, Lease: fixedLease(ownerSession), Metrics: metrics.NewSet()})
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello, Handler: owner.Handle})
	qt.Assert(b, err, qt.IsNil)
	defer server.Close()
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello})
	defer pool.Close()
	owned := tableDelta(1, messenger.PhaseOwned, ownerSession)
	owned.Sessions[1].Address = server.Address()
	qt.Assert(b, table.Apply(owned), qt.IsNil)
	entry := forwarder.New(forwarder.Settings{}, forwarder.Options{
		Locator: table, Runner: echoRunner{}, Opener: pool, Lease: fixedLease(entrySession), Metrics: metrics.NewSet()})
	body := bytes.Repeat([]byte("x"), size)
	profile := &messenger.Profile{Deadline: time.Minute}
	b.ReportAllocs()
	b.SetBytes(int64(size))
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			forwardOnce(b, entry, profile, body)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "forwards/s")
}

func forwardOnce(b *testing.B, entry *forwarder.Forwarder, profile *messenger.Profile, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request := &messenger.Request{
		Number: "n1", Service: "findings", Key: "door-17", Method: "POST", Length: int64(len(body)),
		Header: []messenger.Header{{Name: "Accept", Values: []string{"*/*"}}, {Name: "User-Agent", Values: []string{"bench"}}},
	}
	answer := entry.Forward(ctx, request, profile, bytes.NewReader(body))
	defer answer.Close()
	if answer.Body == nil {
		b.Fatal(answer.Response.Reason)
	}
	n, err := io.Copy(io.Discard, answer.Body)
	if err != nil || n != int64(len(body)) {
		b.Fatal(n, err)
	}
}
