package isolator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/isolator"
)

func row(print string) messenger.QuarantineRow {
	return messenger.QuarantineRow{Fingerprint: print}
}

// enter calls Enter in a new goroutine. The channel receives the pass.
func enter(isolation *isolator.Isolator, print string, suspect bool) <-chan *isolator.Pass {
	passes := make(chan *isolator.Pass, 1)
	go func() {
		pass, _ := isolation.Enter(context.Background(), row(print), suspect)
		passes <- pass
	}()
	synctest.Wait()
	return passes
}

func TestSuspectsRunExclusivelyInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolation := isolator.New()
		first := <-enter(isolation, "a", false)
		suspect := enter(isolation, "s", true)
		late := enter(isolation, "b", false)
		qt.Assert(t, len(suspect)+len(late), qt.Equals, 0)
		first.Leave()
		exclusive := <-suspect
		synctest.Wait()
		qt.Assert(t, len(late), qt.Equals, 0)
		qt.Assert(t, isolation.InFlight(), qt.DeepEquals, []messenger.QuarantineRow{row("s")})
		exclusive.Leave()
		exclusive.Leave()
		(<-late).Leave()
	})
}

func TestCanceledWaiterDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolation := isolator.New()
		first := <-enter(isolation, "a", false)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = isolation.Enter(ctx, row("s"), true) }()
		synctest.Wait()
		late := enter(isolation, "b", false)
		cancel()
		synctest.Wait()
		qt.Assert(t, len(late), qt.Equals, 1)
		first.Leave()
		(<-late).Leave()
	})
}

// Guards against taking the end of one connection for the death of the server, and
// against reporting one death more than once.
func TestDetector(t *testing.T) {
	for _, serverEnds := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			network := disrupter.New(time.Millisecond)
			listener, err := network.Node("r1").Listen("r1:9001")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			if serverEnds {
				_ = listener.Close()
			}
			isolation := isolator.New()
			<-enter(isolation, "a", false)
			<-enter(isolation, "a", false)
			<-enter(isolation, "b", false)
			var deaths [][]messenger.QuarantineRow
			detector := isolator.NewDetector(network.Node("r1"), isolation, func(rows []messenger.QuarantineRow) {
				deaths = append(deaths, rows)
			})
			for range 3 {
				detector.ConnectionBroken("r1:9001")
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if !serverEnds {
				qt.Assert(t, deaths, qt.HasLen, 0)
				return
			}
			qt.Assert(t, deaths, qt.HasLen, 1)
			qt.Assert(t, deaths[0], qt.HasLen, 2)
		})
	}
}
