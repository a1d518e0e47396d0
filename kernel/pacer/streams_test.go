package pacer_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/pacer"
)

// latencies collects how long answers of one kind took.
type latencies struct {
	mu   sync.Mutex
	took []time.Duration
}

func (l *latencies) add(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.took = append(l.took, took)
}

// quantile returns the value below which a share of the latencies is.
func (l *latencies) quantile(share float64) time.Duration {
	slices.Sort(l.took)
	return l.took[int(share*float64(len(l.took)-1))]
}

// ask opens a stream and reads an answer of size bytes.
func ask(ctx context.Context, pool *linker.Pool, address string, size int, l *latencies) error {
	started := time.Now()
	stream, err := pool.Open(ctx, address, messenger.KindRelay)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := stream.Send(&size); err != nil {
		return err
	}
	_ = stream.CloseWrite()
	if _, err := io.Copy(io.Discard, stream); err != nil {
		return err
	}
	l.add(time.Since(started))
	return nil
}

// answerSize sends as many bytes as the request asks for.
func answerSize(_ context.Context, _ *linker.Link, stream *linker.Stream) {
	var size int
	if stream.Receive(&size) == nil {
		_, _ = stream.Write(make([]byte, size))
		_ = stream.CloseWrite()
	}
}

// Guards against pacing that delays the other streams of a connection. On a link that gets
// more than it carries, everything waits for the bytes that were written before, but no
// longer: if answers of 5 KB waited in the writer of their connection, what is written
// behind them would wait a second time.
func TestStreamsBehindAnswersWaitForTheLinkOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const uplink, links, answer, small, address = 490e3, 40, 5000, 100, "owner:7001"
		network := disrupter.New(time.Millisecond)
		network.SetRate("owner", uplink)
		options := linker.Options{Hello: messenger.Hello{Cluster: "test", Version: messenger.Version}, Handler: answerSize}
		server, err := linker.Listen(pacer.New(network.Node("owner"), pacer.NewBucket(uplink)), address, options)
		qt.Assert(t, err, qt.IsNil)
		var entries []*linker.Pool
		for n := range links {
			entries = append(entries, linker.NewPool(network.Node(fmt.Sprintf("e%d", n)), options))
		}
		var answers, others latencies
		var tasks sync.WaitGroup
		for n := range 600 {
			tasks.Go(func() { qt.Check(t, ask(t.Context(), entries[n%links], address, answer, &answers), qt.IsNil) })
			tasks.Go(func() { qt.Check(t, ask(t.Context(), entries[(n+1)%links], address, small, &others), qt.IsNil) })
			time.Sleep(time.Second / 120)
		}
		tasks.Wait()
		for _, entry := range entries {
			entry.Close()
		}
		qt.Assert(t, server.Close(), qt.IsNil)
		// What remains after 5 s, without the frames around it.
		backlog := 600*(answer+small)*time.Second/uplink - 5*time.Second
		t.Logf("backlog %s; answers: median %s, last %s; others: median %s, last %s", backlog,
			answers.quantile(0.5), answers.quantile(1), others.quantile(0.5), others.quantile(1))
		qt.Check(t, others.quantile(1) < backlog*12/10, qt.IsTrue)
	})
}
