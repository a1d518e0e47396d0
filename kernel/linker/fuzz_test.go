package linker_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/linker"
)

// FuzzReceive sends arbitrary frames to a server. Each frame is made of four
// bytes: type, stream, length, content. An even type byte keeps the sequence
// right, an odd one repeats or skips a number. The bubble fails the test when
// the server does not come to its end.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{4, 1, 1, 3, 6, 1, 9, 7, 8, 1, 16, 0})
	f.Add([]byte{4, 1, 1, 3, 7, 1, 9, 7, 10, 1, 0, 0, 12, 1, 8, 255})
	f.Add([]byte{4, 1, 1, 4, 4, 2, 1, 5, 6, 2, 255, 0, 14, 0, 0, 0, 16, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			world := disrupter.New(0)
			server, err := linker.Listen(world.Node("b"), "b:1", linker.Options{Hello: hello, Handler: echo})
			qt.Assert(t, err, qt.IsNil)
			p := newPeer(t, world)
			for ; len(data) >= 4; data = data[4:] {
				p.sequence += skip(data[0])
				payload := make([]byte, int(data[2]))
				for i := range payload {
					payload[i] = data[3]
				}
				p.send(framer.Frame{Type: framer.Type(data[0] / 2), Stream: uint64(data[1] % 8), Payload: payload})
			}
			time.Sleep(time.Second)
			_ = p.conn.Close()
			qt.Assert(t, server.Close(), qt.IsNil)
		})
	})
}

// skip says how far an odd type byte is off the right sequence number.
func skip(kind byte) uint32 {
	switch {
	case kind%2 == 0:
		return 0
	case kind%4 == 1:
		return ^uint32(0) // one back: a doubled frame
	}
	return 1
}
