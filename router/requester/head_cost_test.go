package requester

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/sanitizer"
)

// sinkConn is a connection whose peer reads everything.
type sinkConn struct{ net.Conn }

// Write implements [net.Conn].
func (sinkConn) Write(data []byte) (int, error) { return len(data), nil }

type plainCodec struct{}

func (plainCodec) SetHeader(header http.Header, _ *ServerRequest) { header["Server"] = []string{"s1"} }

func (plainCodec) ParseHeader(int, http.Header) ResponseInfo { return ResponseInfo{} }

// heapOf returns how much memory is in use once build has returned, as long as its result is.
func heapOf(build func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Guards against heads that take more memory than is reserved for them: at the router of the
// caller as parsed, forwarded and sent on, at that of the server as decoded and sent on.
func TestHeadCostCoversItsMemory(t *testing.T) {
	shapes := []struct {
		name  string
		start string
		line  func(n int) string
	}{
		{name: "short names", line: func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\n" }},
		{name: "short names with values", line: func(n int) string { return strconv.FormatInt(int64(n), 36) + ":b\n" }},
		{name: "repeated name", line: func(int) string { return "a:\n" }},
		{name: "repeated name with values", line: func(int) string { return "a:b\n" }},
		{name: "folded lines", start: "A: b\r\n", line: func(int) string { return " c\n" }},
		{name: "ordinary lines", line: func(n int) string { return "x-name-" + strconv.Itoa(n) + ": " + strings.Repeat("v", 30) + "\r\n" }},
	}
	for _, shape := range shapes {
		for _, size := range []int{1 << 10, 4 << 10, 16 << 10, 64 << 10} {
			text := "GET / HTTP/1.1\r\nHost: desk\r\n" + shape.start
			for n := 0; len(text) < size; n++ {
				text += shape.line(n)
			}
			text += "\r\n"
			var data []byte
			atEntry := heapOf(func() any {
				request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				qt.Assert(t, err, qt.IsNil)
				relay := &messenger.Relay{ID: "1", Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: sanitizer.EndToEndFields(request.Header, nil)}
				data = encodeRelay(t, relay)
				return []any{request, relay, sendTo(t, relay)}
			})
			want := limiter.HeadCost(len(text), strings.Count(text, "\n")) + limiter.ConnectionCost
			qt.Check(t, atEntry <= want, qt.IsTrue, qt.Commentf("%s of %d bytes took %d at the entry, %d were reserved", shape.name, size, atEntry, want))
			encoded := bytes.Clone(data)
			atOwner := heapOf(func() any {
				relay := new(messenger.Relay)
				qt.Assert(t, decoder.Unmarshal(encoded, relay), qt.IsNil)
				return []any{relay, sendTo(t, relay)}
			})
			want = limiter.MessageCost(len(encoded), decoder.Elements(encoded)) + limiter.ConnectionCost
			qt.Check(t, atOwner <= want, qt.IsTrue, qt.Commentf("%s of %d bytes took %d at the owner, %d were reserved", shape.name, size, atOwner, want))
		}
	}
}

func encodeRelay(t *testing.T, relay *messenger.Relay) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	qt.Assert(t, encoder.Encode(relay), qt.IsNil)
	return buffer.Bytes()
}

// sendTo sends a request to a server and returns the connection.
func sendTo(t *testing.T, relay *messenger.Relay) *conn {
	used := newConn(sinkConn{}, "server", new(atomic.Int64))
	_, err := used.writeRequest(plainCodec{}, &ServerRequest{Relay: relay}, nil)
	qt.Assert(t, err, qt.IsNil)
	return used
}
