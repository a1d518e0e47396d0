package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/dispatcher"
)

// serve starts a server that answers each request with the text that script returns
// for the indexes of the connection and of the request on it, and counts the requests
// received. An empty text closes the connection instead.
func serve(t *testing.T, script func(conn, request int) string) (url string, runs *atomic.Int64) {
	listener, err := networker.TCP{}.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	runs = new(atomic.Int64)
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, runs, func(request int) string { return script(number, request) })
		}
	}()
	return "http://" + listener.Addr().String(), runs
}

func serveConn(conn net.Conn, runs *atomic.Int64, script func(request int) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		runs.Add(1)
		answer := script(number)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if !strings.Contains(answer, "Content-Length") {
			return
		}
	}
}

// completeAnswer is a response with a marked end.
const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func serverRequest(url string) *dispatcher.ServerRequest {
	return &dispatcher.ServerRequest{
		Server: &messenger.ServerRow{URL: url},
		Request: &messenger.Request{
			Key: "door/17", Route: "certificates", Method: http.MethodPost, Length: 4, Idempotency: "k1",
		},
		Body:     strings.NewReader("body"),
		Fence:    9,
		Deadline: time.UnixMilli(1000),
	}
}

func TestSend(t *testing.T) {
	tests := []struct {
		name    string
		answer  string
		outcome messenger.Outcome
		reason  messenger.Reason
		cause   dispatcher.Cause
	}{
		{"whole", completeAnswer, messenger.OutcomeDone, "", dispatcher.CauseNone},
		{"broken", "", messenger.OutcomeUnknown, messenger.ReasonCrashed, dispatcher.CauseBroken},
		{
			"shed", "HTTP/1.1 503 Busy\r\nMarigold-Refused: shed\r\nContent-Length: 0\r\n\r\n",
			messenger.OutcomeRefused, messenger.ReasonShed, dispatcher.CauseNone,
		},
		{
			"fence", "HTTP/1.1 412 Fence\r\nMarigold-Refused: fence\r\nContent-Length: 0\r\n\r\n",
			messenger.OutcomeRefused, messenger.ReasonFence, dispatcher.CauseNone,
		},
		{
			"end of body not marked", "HTTP/1.1 200 OK\r\n\r\npart",
			messenger.OutcomeUnknown, messenger.ReasonTruncated, dispatcher.CauseNone,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url, runs := serve(t, func(int, int) string { return test.answer })
			result := dispatcher.New(networker.TCP{}).Send(t.Context(), serverRequest(url))
			qt.Assert(t, result.Outcome, qt.Equals, test.outcome)
			qt.Assert(t, result.Reason, qt.Equals, test.reason)
			qt.Assert(t, result.Cause, qt.Equals, test.cause)
			qt.Assert(t, runs.Load(), qt.Equals, int64(1))
		})
	}
}

// TestNoResendOnReusedConnection closes a reused connection when the second request
// on it arrives. The HTTP client of the standard library would resend that request,
// since it carries an Idempotency-Key, and it would run twice.
func TestNoResendOnReusedConnection(t *testing.T) {
	url, runs := serve(t, func(_, request int) string {
		if request == 1 {
			return ""
		}
		return strings.Replace(completeAnswer, "\r\n", "\r\nMarigold-Request: n1\r\n", 1)
	})
	for _, empty := range []bool{false, true} {
		backend := dispatcher.New(networker.TCP{})
		var last dispatcher.Result
		// The first request has a connection of its own, the others share one.
		for range 3 {
			serverRequest := serverRequest(url)
			serverRequest.Request.Number = "n1"
			if empty {
				serverRequest.Body = nil
				serverRequest.Request.Length = 0
			}
			last = backend.Send(t.Context(), serverRequest)
			if last.Outcome == messenger.OutcomeDone {
				_, _ = io.Copy(io.Discard, last.Body)
				_ = last.Body.Close()
			}
		}
		qt.Assert(t, last.Outcome, qt.Equals, messenger.OutcomeUnknown)
	}
	qt.Assert(t, runs.Load(), qt.Equals, int64(6))
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	url := "http://" + listener.Addr().String()
	_ = listener.Close()
	result := dispatcher.New(networker.TCP{}).Send(t.Context(), serverRequest(url))
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Assert(t, result.Reason, qt.Equals, messenger.ReasonDown)
}

func TestCanceledBeforeConnecting(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	result := dispatcher.New(networker.TCP{}).Send(ctx, serverRequest("http://127.0.0.1:1"))
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeRefused)
	qt.Assert(t, result.Reason, qt.Equals, messenger.ReasonCanceled)
}

func TestRequestHeader(t *testing.T) {
	received := make(chan *http.Request, 1)
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r
		w.WriteHeader(http.StatusNoContent)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	sent := serverRequest("http://" + listener.Addr().String())
	sent.Request.Header = []messenger.Header{
		{Name: "Connection", Values: []string{"X-Drop"}}, {Name: "X-Drop", Values: []string{"1"}},
		{Name: "X-Keep", Values: []string{"1"}},
	}
	result := dispatcher.New(networker.TCP{}).Send(t.Context(), sent)
	qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone)
	got := <-received
	qt.Assert(t, got.URL.EscapedPath(), qt.Equals, "/door%2F17/certificates")
	qt.Assert(t, got.Header.Get(messenger.HeaderFence), qt.Equals, "9")
	qt.Assert(t, got.Header.Get(messenger.HeaderDeadline), qt.Equals, "1000")
	qt.Assert(t, got.Header.Get(messenger.HeaderIdempotencyKey), qt.Equals, "k1")
	qt.Assert(t, got.Header.Get("X-Keep"), qt.Equals, "1")
	qt.Assert(t, got.Header.Get("X-Drop"), qt.Equals, "")
}

// Guards against the response to an earlier request that a server sends a second time, on
// a connection that was reused: the next caller would get an answer that is not its own.
func TestLateCopyIsNotTakenForTheNextResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
	tests := []struct {
		name string
		// numbered is set if the server returns the numbers of requests.
		numbered bool
		want     messenger.Outcome
	}{
		{name: "numbered", numbered: true, want: messenger.OutcomeUnknown},
		{name: "without numbers", want: messenger.OutcomeDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			respond := func(number string) string {
				if test.numbered {
					return head + "Marigold-Request: " + number + "\r\n\r\n" + number
				}
				return head + "\r\n" + number
			}
			url, _ := serve(t, func(conn, request int) string {
				// Every connection answers its third request with a copy of its second one.
				return respond(fmt.Sprint(conn + min(request, 1)))
			})
			backend := dispatcher.New(networker.TCP{})
			defer backend.Close()
			send := func(number string) (dispatcher.Result, string) {
				next := serverRequest(url)
				next.Request.Number = number
				result := backend.Send(t.Context(), next)
				if result.Body == nil {
					return result, ""
				}
				data, err := io.ReadAll(result.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, result.Body.Close(), qt.IsNil)
				return result, string(data)
			}
			// The first request opens a connection of its own.
			for number := range 3 {
				result, body := send(fmt.Sprint(number))
				qt.Assert(t, result.Outcome, qt.Equals, messenger.OutcomeDone)
				qt.Assert(t, body, qt.Equals, fmt.Sprint(number))
			}
			result, body := send("3")
			qt.Check(t, result.Outcome, qt.Equals, test.want)
			qt.Check(t, body, qt.Not(qt.Equals), "2")
		})
	}
}

// Guards against a request that runs although its caller is told that it did not: a late copy
// of the refusal of an attempt must not be taken for the response to the next attempt.
func TestLateRefusalIsNotForTheNextAttempt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var ran sync.Map // by the path of the attempt
	// serve refuses the first request of a connection, and runs the others after a copy of
	// that refusal.
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader, late := bufio.NewReader(conn), ""
		for request, err := http.ReadRequest(reader); err == nil; request, err = http.ReadRequest(reader) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, late)
			head := "Marigold-Request: " + request.Header.Get("Marigold-Request") + "\r\nContent-Length: 0\r\n\r\n"
			if late == "" {
				late = "HTTP/1.1 503 Busy\r\nMarigold-Refused: shed\r\n" + head
				_, _ = io.WriteString(conn, late)
				continue
			}
			ran.Store(path.Base(request.URL.Path), true)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head)
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	backend := dispatcher.New(networker.TCP{})
	defer backend.Close()
	outcomes := make(map[string]messenger.Outcome)
	for attempt := 1; attempt <= 8; attempt++ {
		next := serverRequest("http://" + listener.Addr().String())
		next.Request.Number, next.Request.Attempt, next.Request.Route = "n", attempt, strconv.Itoa(attempt)
		outcomes[next.Request.Route] = backend.Send(t.Context(), next).Outcome
	}
	count := 0
	ran.Range(func(attempt, _ any) bool {
		count++
		qt.Check(t, outcomes[attempt.(string)], qt.Not(qt.Equals), messenger.OutcomeRefused, qt.Commentf("attempt %v", attempt))
		return true
	})
	qt.Check(t, count > 0, qt.IsTrue)
}
