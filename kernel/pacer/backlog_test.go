package pacer_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/pacer"
)

// The backlog is the time for what was written, and falls to 0 while the link sends it.
// Chunks of a large write count once they are written; until then they wait.
func TestBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bucket := pacer.NewBucket(100e3)
		network := pacer.New(pipeNetwork{}, bucket)
		dial := func() net.Conn {
			conn, err := network.Dial(t.Context(), "")
			qt.Assert(t, err, qt.IsNil)
			return conn
		}
		small, large := dial(), dial()
		defer func() { _, _ = small.Close(), large.Close() }()
		qt.Assert(t, bucket.Rate(), qt.Equals, 95e3)
		qt.Assert(t, bucket.Backlog(time.Now()), qt.Equals, time.Duration(0))
		for range 10 {
			_, err := small.Write(make([]byte, 950))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, bucket.Backlog(time.Now()), qt.Equals, 100*time.Millisecond)
		go func() { _, _ = large.Write(make([]byte, 16<<10)) }()
		synctest.Wait()
		qt.Assert(t, bucket.Load(time.Now()), qt.Equals, pacer.Load{Backlog: 100 * time.Millisecond, Waiting: 8 << 10, Written: 9500})
		time.Sleep(40 * time.Millisecond)
		qt.Assert(t, bucket.Backlog(time.Now()), qt.Equals, 60*time.Millisecond)
		time.Sleep(time.Second)
		qt.Assert(t, bucket.Load(time.Now()), qt.Equals, pacer.Load{Written: 9500 + 16<<10, Paced: 16 << 10})
	})
}

// Without a rate, nothing is counted.
func TestBacklogWithoutRate(t *testing.T) {
	bucket := pacer.NewBucket(0)
	conn, err := pacer.New(pipeNetwork{}, bucket).Dial(t.Context(), "")
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Write(make([]byte, 64<<10))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.Close(), qt.IsNil)
	qt.Assert(t, bucket.Load(time.Now()), qt.Equals, pacer.Load{})
	qt.Assert(t, bucket.Rate(), qt.Equals, 0.0)
}
