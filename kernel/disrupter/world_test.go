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

func serve(t *testing.T, world *disrupter.World) (*linker.Server, *linker.Pool) {
	server, err := linker.Listen(world.Node("b"), "b:7000", linker.Options{
		Hello: hello,
		Handler: func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
			_ = linker.Answer(stream, func(query *messenger.OutcomeQuery) (*messenger.OutcomeAnswer, error) {
				return &messenger.OutcomeAnswer{Body: []byte(query.Key)}, nil
			})
		},
	})
	qt.Assert(t, err, qt.IsNil)
	return server, linker.NewPool(world.Node("a"), linker.Options{Hello: hello})
}

func call(ctx context.Context, pool *linker.Pool, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	answer, err := linker.Call[messenger.OutcomeQuery, messenger.OutcomeAnswer](
		ctx, pool, "b:7000", messenger.KindOutcome, &messenger.OutcomeQuery{Key: "door-1"})
	if err == nil && string(answer.Body) != "door-1" {
		return errWrongAnswer
	}
	return err
}

var errWrongAnswer = errors.New("answer of another request")

// first is what the first call after a fault may do.
type first int

const (
	works first = iota
	fails
)

func TestFaults(t *testing.T) {
	once := func(kind framer.Type, verdict disrupter.Verdict) func(*disrupter.World) {
		return func(world *disrupter.World) {
			done := false
			world.SetHook(func(step disrupter.Step) disrupter.Verdict {
				if step.From != "a" || step.Type != kind || done {
					return disrupter.Verdict{}
				}
				done = true
				return verdict
			})
		}
	}
	tests := []struct {
		name string
		hurt func(world *disrupter.World)
		// first is the call right after the fault; one 3 s later must work.
		first first
	}{
		{name: "none", hurt: func(*disrupter.World) {}},
		{name: "silent connection", hurt: func(w *disrupter.World) { w.Silence("a", "b") }, first: fails},
		{name: "reset", hurt: func(w *disrupter.World) { w.Reset("a", "b") }},
		{name: "data dropped", hurt: once(framer.TypeData, disrupter.Verdict{Drop: true}), first: fails},
		{name: "data doubled", hurt: once(framer.TypeData, disrupter.Verdict{Copies: 1})},
		{name: "open doubled", hurt: once(framer.TypeOpen, disrupter.Verdict{Copies: 1})},
		{name: "end doubled", hurt: once(framer.TypeEnd, disrupter.Verdict{Copies: 1})},
		{name: "data overtaken", hurt: once(framer.TypeData, disrupter.Verdict{Swap: true}), first: fails},
		{name: "data held", hurt: once(framer.TypeData, disrupter.Verdict{Hold: 200 * time.Millisecond})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := disrupter.New(time.Millisecond)
				server, pool := serve(t, world)
				qt.Assert(t, call(t.Context(), pool, time.Second), qt.IsNil)
				test.hurt(world)
				synctest.Wait()
				err := call(t.Context(), pool, time.Second)
				qt.Check(t, errors.Is(err, errWrongAnswer), qt.IsFalse)
				qt.Check(t, err != nil, qt.Equals, test.first == fails, qt.Commentf("got %v", err))
				time.Sleep(3 * time.Second)
				qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNil)
				pool.Close()
				qt.Check(t, server.Close(), qt.IsNil)
			})
		})
	}
}

func TestCutAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := disrupter.New(time.Millisecond)
		server, pool := serve(t, world)
		world.Cut("b", "a")
		qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNotNil)
		world.Heal("b", "a")
		time.Sleep(2 * time.Second)
		qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNil)
		world.Crash("b")
		synctest.Wait()
		err := call(t.Context(), pool, time.Second)
		qt.Check(t, errors.Is(err, linker.ErrDial), qt.IsTrue, qt.Commentf("got %v", err))
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
}

func TestFreezeAndThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := disrupter.New(time.Millisecond)
		server, pool := serve(t, world)
		qt.Assert(t, call(t.Context(), pool, time.Second), qt.IsNil)
		world.Freeze("b")
		time.AfterFunc(500*time.Millisecond, func() { world.Thaw("b") })
		start := time.Now()
		qt.Check(t, call(t.Context(), pool, time.Second), qt.IsNil)
		qt.Check(t, time.Since(start) >= 500*time.Millisecond, qt.IsTrue)
		pool.Close()
		qt.Check(t, server.Close(), qt.IsNil)
	})
}

func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := disrupter.New(0)
		listener, err := world.Node("b").Listen("b:0")
		qt.Assert(t, err, qt.IsNil)
		conn, err := world.Node("a").Dial(t.Context(), listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		start := time.Now()
		qt.Assert(t, conn.SetReadDeadline(start.Add(time.Second)), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
		far, err := listener.Accept()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.SetReadDeadline(time.Time{}), qt.IsNil)
		_, err = far.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, far.Close(), qt.IsNil)
		got, err := io.ReadAll(conn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, "x")
	})
}
