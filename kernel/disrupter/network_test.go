package disrupter_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
)

var hello = messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "a"}

func startServer(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork) (*linker.Server, *linker.Pool) {
	server, err := linker.Listen(simulatedNetwork.Node("b"), "b:7000", linker.Options{
		Hello: hello,
		Handler: func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
			_ = linker.Respond(stream, func(query *messenger.OutcomeQuery) (*messenger.OutcomeResponse, error) {
				return &messenger.OutcomeResponse{Body: []byte(query.Key)}, nil
			})
		},
	})
	qt.Assert(t, err, qt.IsNil)
	return server, linker.NewPool(simulatedNetwork.Node("a"), linker.Options{Hello: hello})
}

func call(ctx context.Context, pool *linker.Pool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeResponse](
		ctx, pool, "b:7000", messenger.KindOutcome, &messenger.OutcomeQuery{Key: "door-1"})
	if err == nil && string(response.Body) != "door-1" {
		return errWrongResponse
	}
	return err
}

var errWrongResponse = errors.New("response does not match the query")

// firstCall is the expected result of the first call after a fault.
type firstCall int

const (
	succeeds firstCall = iota
	fails
)

func TestCallsRecoverFromFaults(t *testing.T) {
	onFirstFrame := func(frameType framer.Type, action disrupter.FrameAction) func(*disrupter.SimulatedNetwork) {
		return func(simulatedNetwork *disrupter.SimulatedNetwork) {
			done := false
			simulatedNetwork.SetHook(func(info disrupter.FrameInfo) disrupter.FrameAction {
				if info.From != "a" || info.Type != frameType || done {
					return disrupter.FrameAction{}
				}
				done = true
				return action
			})
		}
	}
	tests := []struct {
		name   string
		inject func(simulatedNetwork *disrupter.SimulatedNetwork)
		// firstCall is the call right after the fault; one 3 s later must succeed.
		firstCall firstCall
	}{
		{name: "none", inject: func(*disrupter.SimulatedNetwork) {}},
		{name: "blackholed connection", inject: func(n *disrupter.SimulatedNetwork) { n.Blackhole("a", "b") }, firstCall: fails},
		{name: "reset", inject: func(n *disrupter.SimulatedNetwork) { n.Reset("a", "b") }},
		{name: "data dropped", inject: onFirstFrame(framer.TypeData, disrupter.FrameAction{Drop: true}), firstCall: fails},
		{name: "data duplicated", inject: onFirstFrame(framer.TypeData, disrupter.FrameAction{Duplicates: 1})},
		{name: "open duplicated", inject: onFirstFrame(framer.TypeOpen, disrupter.FrameAction{Duplicates: 1})},
		{name: "end duplicated", inject: onFirstFrame(framer.TypeEnd, disrupter.FrameAction{Duplicates: 1})},
		{name: "data reordered", inject: onFirstFrame(framer.TypeData, disrupter.FrameAction{Reorder: true}), firstCall: fails},
		{name: "data delayed", inject: onFirstFrame(framer.TypeData, disrupter.FrameAction{Delay: 200 * time.Millisecond})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulatedNetwork := disrupter.New(time.Millisecond)
				server, pool := startServer(t, simulatedNetwork)
				qt.Assert(t, call(t.Context(), pool, time.Second), qt.IsNil)
				test.inject(simulatedNetwork)
				synctest.Wait()
				err := call(t.Context(), pool, time.Second)
				qt.Check(t, errors.Is(err, errWrongResponse), qt.IsFalse)
				qt.Check(t, err != nil, qt.Equals, test.firstCall == fails, qt.Commentf("got %v", err))
				time.Sleep(3 * time.Second)
				qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNil)
				pool.Close()
				qt.Check(t, server.Close(), qt.IsNil)
			})
		})
	}
}

func TestPartitionAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := disrupter.New(time.Millisecond)
		server, pool := startServer(t, simulatedNetwork)
		simulatedNetwork.Partition("b", "a")
		qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNotNil)
		simulatedNetwork.Heal("b", "a")
		time.Sleep(2 * time.Second)
		qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNil)
		simulatedNetwork.Crash("b")
		synctest.Wait()
		err := call(t.Context(), pool, time.Second)
		qt.Check(t, errors.Is(err, linker.ErrNotConnected), qt.IsTrue, qt.Commentf("got %v", err))
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
}

func TestFreezeAndThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := disrupter.New(time.Millisecond)
		server, pool := startServer(t, simulatedNetwork)
		qt.Assert(t, call(t.Context(), pool, time.Second), qt.IsNil)
		simulatedNetwork.Freeze("b")
		time.AfterFunc(500*time.Millisecond, func() { simulatedNetwork.Thaw("b") })
		start := time.Now()
		qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNil)
		qt.Check(t, time.Since(start) >= 500*time.Millisecond, qt.IsTrue)
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
}

func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := disrupter.New(0)
		listener, err := simulatedNetwork.Node("b").Listen("b:0")
		qt.Assert(t, err, qt.IsNil)
		conn, err := simulatedNetwork.Node("a").Dial(t.Context(), listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		start := time.Now()
		qt.Assert(t, conn.SetReadDeadline(start.Add(time.Second)), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
		server, err := listener.Accept()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.SetReadDeadline(time.Time{}), qt.IsNil)
		_, err = server.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, server.Close(), qt.IsNil)
		got, err := io.ReadAll(conn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, "x")
	})
}
