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

// FuzzReceive sends arbitrary frames to a server. Each frame is built from four
// bytes: type, stream, length and content. An even type byte keeps the sequence
// number correct; an odd one repeats or skips a number. The synctest bubble fails
// the test if the server does not shut down.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{4, 1, 1, 3, 6, 1, 9, 7, 8, 1, 16, 0})
	f.Add([]byte{4, 1, 1, 3, 7, 1, 9, 7, 10, 1, 0, 0, 12, 1, 8, 255})
	f.Add([]byte{4, 1, 1, 4, 4, 2, 1, 5, 6, 2, 255, 0, 14, 0, 0, 0, 16, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			simulatedNetwork := disrupter.New(0)
			server, err := linker.Listen(simulatedNetwork.Node("b"), "b:1", linker.Options{Hello: hello, Handler: echo})
			qt.Assert(t, err, qt.IsNil)
			p := dialRawPeer(t, simulatedNetwork)
			for ; len(data) >= 4; data = data[4:] {
				p.sequence += sequenceOffset(data[0])
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

// sequenceOffset returns the change of the sequence number that a type byte causes.
func sequenceOffset(typeByte byte) uint32 {
	switch {
	case typeByte%2 == 0:
		return 0
	case typeByte%4 == 1:
		return ^uint32(0) // minus one: a duplicate frame
	}
	return 1
}
