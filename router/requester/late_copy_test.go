package requester_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

// lateServer sends its first responses once more, at the point where the next response on
// the connection is expected.
type lateServer struct {
	address string
	// refusals is how many requests it refuses, copies how often it sends each response
	// again, and early whether it does so before the next request arrives.
	refusals, copies int
	early            bool
	ran              atomic.Int32
	conns            atomic.Int32
}

func startLateServer(t *testing.T, refusals, copies int, early bool) *lateServer {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = socket.Close() })
	s := &lateServer{address: socket.Addr().String(), refusals: refusals, copies: copies, early: early}
	received := new(atomic.Int32)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, received)
		}
	}()
	return s
}

func (s *lateServer) serve(conn net.Conn, received *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, late)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody", request.Header.Get("Id"))
		if received.Add(1) <= int32(s.refusals) {
			response = fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		} else {
			s.ran.Add(1)
		}
		_, _ = io.WriteString(conn, response)
		late = strings.Repeat(response, s.copies)
		if s.early {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, late)
			late = ""
		}
	}
}

// Guards against a request that runs although its caller was told that it did not: late
// copies of the refusal of an earlier attempt must not be taken for the response to a later
// one, which has the same ID.
func TestLateRefusalIsNotForTheNextAttempt(t *testing.T) {
	tests := []struct {
		name     string
		refusals int
		copies   int
		early    bool
	}{
		{name: "one attempt before", refusals: 1, copies: 1},
		{name: "three attempts before", refusals: 3, copies: 1},
		{name: "several copies", refusals: 2, copies: 4},
		{name: "copy before the next attempt", refusals: 2, copies: 1, early: true},
		{name: "no copies", refusals: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := startLateServer(t, test.refusals, test.copies, test.early)
			client := newClient()
			send := func(id string) requester.Result {
				result := client.Send(t.Context(), server.address, newServerRequest(id), nil)
				if result.Body != nil {
					_, _ = io.Copy(io.Discard, result.Body)
					_ = result.Body.Close()
				}
				time.Sleep(10 * time.Millisecond)
				return result
			}
			for range test.refusals {
				qt.Assert(t, send("1").Outcome, qt.Equals, messenger.OutcomeRefused)
				qt.Assert(t, server.ran.Load(), qt.Equals, int32(0))
			}
			qt.Check(t, send("1").Outcome, qt.Equals, messenger.OutcomeDone)
			qt.Check(t, server.ran.Load(), qt.Equals, int32(1))
			// Other requests go on over the connections with copies.
			for n := range 2 * (test.refusals + 1) {
				result := send(fmt.Sprint(n + 2))
				qt.Check(t, result.Outcome, qt.Equals, messenger.OutcomeDone, qt.Commentf("%v", result.Err))
			}
			if !test.early {
				qt.Check(t, server.conns.Load(), qt.Equals, int32(test.refusals+1), qt.Commentf("connections dialed"))
			}
		})
	}
}

// Guards against memory that grows with the refusals of a server that refuses everything,
// and against the reuse of a connection whose refusals were forgotten.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	const requests = 10_000 // above the bound
	server := startLateServer(t, requests, 0, false)
	client := newClient()
	for n := range requests {
		request := newServerRequest(fmt.Sprint(n))
		request.Deadline = time.Now().Add(time.Hour) // no refusal may be forgotten for its age
		result := client.Send(t.Context(), server.address, request, nil)
		qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeRefused, qt.Commentf("%v", result.Err))
	}
	qt.Check(t, server.conns.Load(), qt.Equals, int32(2))
}
