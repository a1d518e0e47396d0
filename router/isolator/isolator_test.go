package isolator_test

import (
	"context"
	"net"
	"strconv"
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

const serverAddress = "r1:9001"

// detectorFixture is a Detector of a server that accepts connections until endServer.
type detectorFixture struct {
	t         *testing.T
	listener  net.Listener
	isolation *isolator.Isolator
	detector  *isolator.Detector
	deaths    [][]messenger.QuarantineRow
}

func newDetectorFixture(t *testing.T) *detectorFixture {
	network := disrupter.New(time.Millisecond)
	listener, err := network.Node("r1").Listen(serverAddress)
	qt.Assert(t, err, qt.IsNil)
	f := &detectorFixture{t: t, listener: listener, isolation: isolator.New()}
	f.detector = isolator.NewDetector(network.Node("r1"), f.isolation, func(rows []messenger.QuarantineRow) {
		f.deaths = append(f.deaths, rows)
	})
	t.Cleanup(f.endServer)
	return f
}

func (f *detectorFixture) enter(print string) *isolator.Pass {
	return <-enter(f.isolation, print, false)
}

func (f *detectorFixture) endServer() { _ = f.listener.Close() }

// Guards against taking the end of one connection for the death of the server, and
// against reporting one death more than once.
func TestDetector(t *testing.T) {
	for _, serverEnds := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newDetectorFixture(t)
			if serverEnds {
				f.endServer()
			}
			f.enter("a")
			f.enter("a")
			f.enter("b")
			for range 3 {
				f.detector.ConnectionBroken(serverAddress)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if !serverEnds {
				qt.Assert(t, f.deaths, qt.HasLen, 0)
				return
			}
			qt.Assert(t, f.deaths, qt.HasLen, 1)
			qt.Assert(t, f.deaths[0], qt.HasLen, 2)
		})
	}
}

// A connection that ended alone was taken for part of a crash up to a second later.
func TestDeathDoesNotBlameEarlierBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDetectorFixture(t)
		first := f.enter("garbled")
		f.detector.ConnectionBroken(serverAddress)
		first.Leave()
		time.Sleep(400 * time.Millisecond)
		f.enter("poison")
		f.endServer()
		f.detector.ConnectionBroken(serverAddress)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, f.deaths, qt.DeepEquals, [][]messenger.QuarantineRow{{row("poison")}})
	})
}

// Connections that ended after the first refused dial were taken for a second death, which
// quarantined all that was in flight.
func TestOneDeathIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDetectorFixture(t)
		f.enter("a")
		f.enter("b")
		f.endServer()
		for range 5 {
			f.detector.ConnectionBroken(serverAddress)
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, f.deaths, qt.HasLen, 1)
		// A server that was started again can end again.
		f.detector.ConnectionBroken(serverAddress)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, f.deaths, qt.HasLen, 2)
	})
}

// A popular request is in flight at every death without being the cause.
func TestCompletedRequestIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolation := isolator.New()
		popular := <-enter(isolation, "popular", false)
		<-enter(isolation, "", false)
		qt.Assert(t, isolation.InFlight(), qt.DeepEquals, []messenger.QuarantineRow{row("popular")})
		popular.Complete()
		<-enter(isolation, "popular", false)
		qt.Assert(t, isolation.InFlight(), qt.HasLen, 0)
		time.Sleep(2 * time.Minute)
		qt.Assert(t, isolation.InFlight(), qt.HasLen, 1)
		for n := range 3000 {
			(<-enter(isolation, strconv.Itoa(n), false)).Complete()
		}
		<-enter(isolation, "2999", false)
		<-enter(isolation, "0", false)
		qt.Assert(t, isolation.InFlight(), qt.HasLen, 2, qt.Commentf("the oldest ones are forgotten"))
	})
}

// The death of a server that was started again at once, as by a supervisor, was not seen:
// it accepted connections again before the first dial.
func TestDeathOfServerThatStartsAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDetectorFixture(t)
		f.enter("poison")
		f.detector.ServerStarted(1)
		f.detector.ServerStarted(1)
		f.detector.ConnectionBroken(serverAddress)
		f.detector.ServerStarted(2)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, f.deaths, qt.DeepEquals, [][]messenger.QuarantineRow{{row("poison")}})
		// A start without a broken connection is no death, nor the reverse.
		f.detector.ServerStarted(3)
		time.Sleep(2 * time.Second)
		f.detector.ConnectionBroken(serverAddress)
		f.detector.ServerStarted(3)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, f.deaths, qt.HasLen, 1)
	})
}
