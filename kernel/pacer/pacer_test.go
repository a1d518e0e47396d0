package pacer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/pacer"
)

// pipeNetwork is a network whose remote ends read and discard everything.
type pipeNetwork struct{}

func (pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	return local, nil
}

// While downloads use the whole link, a small write such as a heartbeat is sent
// without delay, and the downloads take as long as the rate of the link implies.
func TestSmallWritesAreNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 1 << 20
		network := pacer.New(pipeNetwork{}, pacer.NewBucket(rate))
		start := time.Now()
		done := make(chan time.Duration, 3)
		for range 3 {
			conn, err := network.Dial(t.Context(), "")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			go func() {
				_, err := conn.Write(make([]byte, 128<<10))
				qt.Check(t, err, qt.IsNil)
				done <- time.Since(start)
			}()
		}
		time.Sleep(50 * time.Millisecond)
		conn, err := network.Dial(t.Context(), "")
		qt.Assert(t, err, qt.IsNil)
		sentAt := time.Now()
		_, err = conn.Write(make([]byte, 500))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(sentAt), qt.Equals, time.Duration(0))
		elapsed := max(<-done, <-done, <-done)
		// 384 KiB at 0.9 MiB/s take 417 ms.
		qt.Assert(t, elapsed > 370*time.Millisecond && elapsed < 430*time.Millisecond, qt.IsTrue, qt.Commentf("%s", elapsed))
		_ = conn.Close()
	})
}

func TestZeroRateDisablesPacing(t *testing.T) {
	network := pacer.New(pipeNetwork{}, pacer.NewBucket(0))
	_, ok := network.(pipeNetwork)
	qt.Assert(t, ok, qt.IsTrue)
}
