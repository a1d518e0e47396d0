package granter_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
)

// Guards against keys that are granted to another server while this one holds them or still
// works on them: a late copy of the response to an earlier call must neither deny a grant nor
// end a release.
func TestLateCopyIsNotForTheNextRangeCall(t *testing.T) {
	const accepted, denied, misdirected = "200 OK", "409 Conflict", "421 Misdirected"
	release := func(token string) string { return accepted + "\r\nMarigold-Handover: " + token }
	type step struct {
		// handover is set for a release; any other step is a grant.
		handover string
		want     holder.CallResult
	}
	grant := step{want: holder.Accepted}
	tests := []struct {
		name string
		// responses are those of the server in turn. It sends each once more when the next
		// call arrives, unless silent is set.
		responses []string
		silent    bool
		steps     []step
		conns     int32
	}{
		{name: "copy of a grant, then a release", responses: []string{accepted, release("a"), release("a")}, steps: []step{grant, {handover: "a"}}, conns: 2},
		{name: "copy of a release, then another", responses: []string{release("a"), release("b"), release("b")}, steps: []step{{handover: "a"}, {handover: "b"}}, conns: 2},
		{name: "copy of a release, then a grant", responses: []string{release("a"), accepted}, steps: []step{{handover: "a"}, {want: holder.Unanswered}}, conns: 1},
		{name: "copy of a fenced grant", responses: []string{denied, accepted}, steps: []step{{want: holder.Fenced}, grant}, conns: 2},
		{name: "copy of a misdirected grant", responses: []string{misdirected, accepted}, steps: []step{{want: holder.Misdirected}, grant}, conns: 2},
		{name: "copy of an accepted grant", responses: []string{accepted, accepted}, steps: []step{grant, grant}, conns: 1},
		{
			name: "no copies", silent: true, responses: []string{accepted, release("a"), release("b"), accepted, release("c")},
			steps: []step{grant, {handover: "a"}, {handover: "b"}, grant, {handover: "c"}}, conns: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = socket.Close() }()
			var conns, received atomic.Int32
			serve := func(conn net.Conn) {
				reader, late := bufio.NewReader(conn), ""
				for request, err := http.ReadRequest(reader); err == nil; request, err = http.ReadRequest(reader) {
					_, _ = io.Copy(io.Discard, request.Body)
					response := "HTTP/1.1 " + test.responses[received.Add(1)-1] + "\r\nContent-Length: 0\r\n\r\n"
					_, _ = io.WriteString(conn, late)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(conn, response)
					if !test.silent {
						late = response
					}
				}
			}
			go func() {
				for conn, err := socket.Accept(); err == nil; conn, err = socket.Accept() {
					conns.Add(1)
					go serve(conn)
				}
			}()
			client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() {})
			call := &holder.Call{Server: "s1"}
			for n, step := range test.steps {
				if step.handover == "" {
					result, _ := client.Grant(t.Context(), socket.Addr().String(), call)
					qt.Check(t, result, qt.Equals, step.want, qt.Commentf("step %d", n))
					continue
				}
				result, handover, err := client.Release(t.Context(), socket.Addr().String(), call)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, result, qt.Equals, holder.Accepted, qt.Commentf("step %d", n))
				qt.Check(t, handover, qt.Equals, step.handover)
			}
			qt.Check(t, conns.Load(), qt.Equals, test.conns)
		})
	}
}

// Guards against calls at the same time that use the same connection in turn: the transport
// offers it to the next call before the response to the last one was judged.
func TestRangeCallsAtTheSameTime(t *testing.T) {
	var tokens atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == messenger.PathRevokes {
			w.Header().Set(messenger.HeaderHandover, strconv.Itoa(int(tokens.Add(1))))
		}
	}))
	defer server.Close()
	client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() {})
	address := server.Listener.Addr().String()
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			for range 100 {
				result, err := client.Grant(t.Context(), address, &holder.Call{Server: "s1"})
				qt.Check(t, result, qt.Equals, holder.Accepted, qt.Commentf("%v", err))
				result, _, err = client.Release(t.Context(), address, &holder.Call{Server: "s1"})
				qt.Check(t, result, qt.Equals, holder.Accepted, qt.Commentf("%v", err))
			}
		})
	}
	calls.Wait()
}
