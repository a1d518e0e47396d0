package disrupter_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
)

// All connections of a VM share its link, in the order of their writes.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := disrupter.New(time.Millisecond)
		network.SetRate("a", 1000)
		listener, err := network.Node("b").Listen("b:1")
		qt.Assert(t, err, qt.IsNil)
		started := time.Now()
		for n := range 3 {
			conn, err := network.Node("a").Dial(t.Context(), "b:1")
			qt.Assert(t, err, qt.IsNil)
			accepted, err := listener.Accept()
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Write(make([]byte, 100))
			qt.Assert(t, err, qt.IsNil)
			if n == 2 {
				_, err = io.ReadFull(accepted, make([]byte, 100))
				qt.Assert(t, err, qt.IsNil)
			}
		}
		took := time.Since(started)
		qt.Assert(t, took >= 301*time.Millisecond && took < 310*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		network.Crash("a")
		network.Crash("b")
	})
}
