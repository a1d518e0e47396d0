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

// pipes is a network whose far ends read everything.
type pipes struct{}

func (pipes) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (pipes) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	return near, nil
}

// Downloads fill the link; a heartbeat goes out at once all the same, and the
// downloads take as long as the link needs for them.
func TestLargeWritesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 1 << 20
		network := pacer.New(pipes{}, pacer.NewBucket(rate))
		begun := time.Now()
		done := make(chan time.Duration, 3)
		for range 3 {
			conn, err := network.Dial(t.Context(), "")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			go func() {
				_, err := conn.Write(make([]byte, 128<<10))
				qt.Check(t, err, qt.IsNil)
				done <- time.Since(begun)
			}()
		}
		time.Sleep(50 * time.Millisecond)
		conn, err := network.Dial(t.Context(), "")
		qt.Assert(t, err, qt.IsNil)
		sent := time.Now()
		_, err = conn.Write(make([]byte, 500))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(sent), qt.Equals, time.Duration(0))
		last := max(<-done, <-done, <-done)
		// 384 KiB at 0.9 MiB a second take 417 ms.
		qt.Assert(t, last > 370*time.Millisecond && last < 430*time.Millisecond, qt.IsTrue, qt.Commentf("%s", last))
		_ = conn.Close()
	})
}

func TestNoBoundNoPacing(t *testing.T) {
	network := pacer.New(pipes{}, pacer.NewBucket(0))
	_, ok := network.(pipes)
	qt.Assert(t, ok, qt.IsTrue)
}
