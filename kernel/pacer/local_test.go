package pacer_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/pacer"
)

// Answers to callers on the same VM do not cross its link. Counted on it, they made the
// router take the link for full and refuse requests that it could have served.
func TestLocalWritesAreNotCounted(t *testing.T) {
	bucket := pacer.NewBucket(1000)
	network := pacer.New(networker.TCP{}, bucket)
	listener, err := network.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.Copy(io.Discard, conn)
	}()
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	// At 900 bytes per second, 20 kB would wait for more than 20 s.
	started := time.Now()
	_, err = conn.Write(make([]byte, 20_000))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(started) < 10*time.Second, qt.IsTrue)
	qt.Assert(t, bucket.Load(time.Now()).Written, qt.Equals, uint64(0))
}
