package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
)

func TestRequestReachesForwarder(t *testing.T) {
	f := newFixture(t, true)
	got := f.send(t, "POST /v1/findings/door%2F17/certificates/%6Eew?a=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"+
		"Idempotency-Key: k1\r\nMarigold-Timeout: 2s\r\nMarigold-Fence: 9\r\nX-Own: yes\r\n\r\nhinge")
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
	qt.Assert(t, got.header.Get(messenger.HeaderOutcome), qt.Equals, "done")
	qt.Assert(t, got.header.Get(messenger.HeaderServer), qt.Equals, "d1")
	request := f.forwarder.got
	qt.Assert(t, request.Number, qt.Not(qt.Equals), "")
	request.Number = ""
	qt.Assert(t, request, qt.DeepEquals, &messenger.Request{
		Service: "findings", Key: "door/17", Route: "certificates/new", Query: "a=1", Method: "POST",
		Header: []messenger.Header{{Name: "X-Own", Values: []string{"yes"}}}, Idempotency: "k1",
		Caller: "127.0.0.1", Length: 5})
	qt.Assert(t, f.forwarder.body, qt.Equals, "hinge")
	qt.Assert(t, f.forwarder.timeout > time.Second && f.forwarder.timeout <= 2*time.Second, qt.IsTrue)
	f.get(t, "/v1/findings/a", "Marigold-Timeout: 1h")
	qt.Assert(t, f.forwarder.timeout <= 5*time.Second, qt.IsTrue)
}

func TestPathValidation(t *testing.T) {
	f := newFixture(t, true)
	tests := []struct {
		path   string
		status int
		key    string
		route  string
	}{
		{path: "/v1/findings/a", status: 200, key: "a"},
		{path: "/v1/findings/a/", status: 200, key: "a"},
		{path: "/v1/findings/a%2Fb/c", status: 200, key: "a/b", route: "c"},
		{path: "/v1/findings/a%252Fb", status: 200, key: "a%2Fb"},
		{path: "/v1/findings/a%20b/%63%C3%A9/", status: 200, key: "a b", route: "c%C3%A9/"},
		{path: "/v1/findings/...", status: 200, key: "..."},
		{path: "http://x/v1/findings/a/b", status: 200, key: "a", route: "b"},
		{path: "/v1/findings/" + strings.Repeat("k", 1024), status: 200, key: strings.Repeat("k", 1024)},
		{path: "/v1/findings/" + strings.Repeat("k", 1025), status: 400},
		{path: "/v1/findings", status: 400},
		{path: "/v1/findings/", status: 400},
		{path: "/v1//a", status: 400},
		{path: "/v1/Findings/a", status: 400},
		{path: "/v1/findings/./b", status: 400},
		{path: "/v1/findings/../b", status: 400},
		{path: "/v1/findings/%2e%2e/b", status: 400},
		{path: "/v1/findings/a%2F..%2Fb", status: 400},
		{path: "/v1/findings/a%5C..%5Cb", status: 400},
		{path: "/v1/findings/a/../../x", status: 400},
		{path: "/v1/findings/a/b/%2E", status: 400},
		{path: "/v1/findings/a//b", status: 400},
		{path: "/v1/findings/a%00", status: 400},
		{path: "/v1/findings/a%0d%0aX:y", status: 400},
		{path: "/v1/findings/a%7f", status: 400},
		{path: "/v1/findings/%ff", status: 400},
		{path: "/v1/findings/a/%0a", status: 400},
		{path: "/v2/findings/a", status: 400},
		{path: "/", status: 400},
		{path: "/v1/other/a", status: 404},
	}
	for _, test := range tests {
		t.Run(test.path[:min(len(test.path), 40)], func(t *testing.T) {
			f.forwarder.got = nil
			got := f.get(t, test.path)
			qt.Assert(t, got.status, qt.Equals, test.status)
			if test.status != http.StatusOK {
				qt.Assert(t, f.forwarder.got, qt.IsNil)
				qt.Assert(t, got.problem.Status, qt.Equals, test.status)
				qt.Assert(t, got.header.Get(messenger.HeaderOutcome), qt.Equals, "refused")
				return
			}
			qt.Assert(t, f.forwarder.got.Key, qt.Equals, test.key)
			qt.Assert(t, f.forwarder.got.Route, qt.Equals, test.route)
		})
	}
}

func TestRequestSmuggling(t *testing.T) {
	const tail = "Host: x\r\n"
	const inner = "GET /v1/findings/inner HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := []struct {
		name   string
		raw    string
		status int
		body   string
	}{
		{name: "chunked", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Transfer-Encoding: chunked\r\n\r\n5\r\nhinge\r\n0\r\n\r\n", status: 200, body: "hinge"},
		{name: "Content-Length and Transfer-Encoding", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, status: 400},
		{name: "Content-Length and Transfer-Encoding, other order", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n" + inner, status: 400},
		{name: "Content-Length and Transfer-Encoding, space before colon", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Content-Length: 5\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner, status: 400},
		{name: "Content-Length and Transfer-Encoding, bare line feeds", raw: "POST /v1/findings/a HTTP/1.1\nHost: x\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\r\n\r\n" + inner, status: 400},
		{name: "folded Content-Length", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Content-Length:\r\n 5\r\n\r\nhinge", status: 400},
		{name: "Transfer-Encoding in HTTP/1.0", raw: "POST /v1/findings/a HTTP/1.0\r\n" + tail + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, status: 400},
		{name: "two different Content-Lengths", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhinge!", status: 400},
		{name: "Content-Length with a sign", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Content-Length: +5\r\n\r\nhinge", status: 400},
		{name: "unknown transfer coding", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Transfer-Encoding: gzip, chunked\r\n\r\n", status: 501},
		{name: "two transfer codings", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n", status: 501},
		{name: "bad chunk", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", status: 503},
		{name: "two hosts", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + tail + "\r\n", status: 400},
		{name: "carriage return in a value", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "X-A: b\rMarigold-Fence: 1\r\n\r\n", status: 400},
		{name: "upgrade", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n", status: 400},
		{name: "tunnel", raw: "CONNECT x:1 HTTP/1.1\r\n" + tail + "\r\n", status: 405},
		{name: "trace", raw: "TRACE /v1/findings/a HTTP/1.1\r\n" + tail + "\r\n", status: 405},
		{name: "two idempotency keys", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", status: 400},
		{name: "empty idempotency key", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "Idempotency-Key:\r\n\r\n", status: 400},
		{name: "idempotency key with a space", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "Idempotency-Key: a b\r\n\r\n", status: 400},
		{name: "timeout without unit", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "Marigold-Timeout: 2\r\n\r\n", status: 400},
		{name: "negative timeout", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "Marigold-Timeout: -2s\r\n\r\n", status: 400},
		{name: "large header", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "X-A: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", status: 431},
		{name: "larger header", raw: "GET /v1/findings/a HTTP/1.1\r\n" + tail + "X-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", status: 431},
		{name: "large body", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Content-Length: 1048577\r\n\r\n", status: 413},
		{name: "large chunked body", raw: "POST /v1/findings/a HTTP/1.1\r\n" + tail + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", 1<<20+1), status: 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, true)
			got := f.send(t, test.raw)
			qt.Assert(t, got.status, qt.Equals, test.status)
			qt.Assert(t, f.forwarder.body == test.body || test.status != 200, qt.IsTrue)
			if f.forwarder.got != nil {
				qt.Assert(t, f.forwarder.got.Key, qt.Equals, "a")
			}
		})
	}
}

// TestPipelinedRequests sends several requests on one connection. An inspector that
// misplaces the end of a request would refuse a later one or not inspect it.
func TestPipelinedRequests(t *testing.T) {
	f := newFixture(t, true)
	conn, err := net.Dial("tcp", f.acceptor.Address())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, "POST /v1/findings/a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhinge"+
			"POST /v1/findings/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;e=1\r\nhinge\r\n0\r\nX: y\r\n\r\n"+
			"GET /v1/findings/c HTTP/1.1\r\nHost: x\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		for range 3 {
			response, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
			_, _ = io.Copy(io.Discard, response.Body)
		}
	}
	_, err = io.WriteString(conn, "POST /v1/findings/a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, f.requestCount("refused", messenger.ReasonMalformed), qt.Equals, uint64(1))
}

func TestReservedHeaderFields(t *testing.T) {
	f := newFixture(t, true)
	f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
		return doneAnswer("ok", []messenger.Header{
			{Name: "Marigold-Outcome", Values: []string{"refused"}},
			{Name: "Marigold-Fence", Values: []string{"7"}},
			{Name: "Connection", Values: []string{"X-Hop"}},
			{Name: "X-Hop", Values: []string{"1"}},
			{Name: "Set-Cookie", Values: []string{"a=1", "b=2"}},
		})
	}
	got := f.get(t, "/v1/findings/a", "marigold-fence: 9", "MARIGOLD-SHARD: 1", "Marigold-Refused: shed",
		"Connection: X-Secret, close", "X-Secret: 1", "Te: trailers", "Proxy-Authorization: x", "X-Forwarded-For: 10.0.0.1", "Cookie: a=1")
	qt.Assert(t, got.header[messenger.HeaderOutcome], qt.DeepEquals, []string{"done"})
	qt.Assert(t, got.header.Get("X-Hop")+got.header.Get("Marigold-Fence"), qt.Equals, "")
	qt.Assert(t, got.header["Set-Cookie"], qt.DeepEquals, []string{"a=1", "b=2"})
	var names []string
	for _, field := range f.forwarder.got.Header {
		names = append(names, field.Name)
	}
	slices.Sort(names)
	qt.Assert(t, names, qt.DeepEquals, []string{"Cookie", "X-Forwarded-For"})
	qt.Assert(t, f.forwarder.got.Caller, qt.Equals, "127.0.0.1")
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		outcome messenger.Outcome
		reason  messenger.Reason
		after   time.Duration
		status  int
		retry   string
	}{
		{outcome: "refused", reason: messenger.ReasonQueue, after: 1200 * time.Millisecond, status: 429, retry: "2"},
		{outcome: "refused", reason: messenger.ReasonShare, status: 429, retry: "1"},
		{outcome: "refused", reason: messenger.ReasonMoving, after: time.Second, status: 503, retry: "1"},
		{outcome: "refused", reason: messenger.ReasonMismatch, status: 409},
		{outcome: "refused", reason: messenger.ReasonQuarantine, status: 422},
		{outcome: "unknown", reason: messenger.ReasonLost, status: 502},
		{outcome: "unknown", reason: messenger.ReasonExpired, status: 504},
	}
	f := newFixture(t, true)
	for _, test := range tests {
		f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
			answer := failureAnswer(test.outcome, test.reason)
			answer.Response.RetryAfter = test.after
			return answer
		}
		got := f.get(t, "/v1/findings/a")
		qt.Check(t, got.status, qt.Equals, test.status)
		qt.Check(t, got.header.Get("Retry-After"), qt.Equals, test.retry)
		qt.Check(t, got.header.Get(messenger.HeaderOutcome), qt.Equals, string(test.outcome))
		qt.Check(t, got.header.Get(messenger.HeaderReason), qt.Equals, string(test.reason))
		qt.Check(t, got.problem.Reason, qt.Equals, test.reason)
		qt.Check(t, f.requestCount(test.outcome, test.reason), qt.Equals, uint64(1))
	}
}

// TestReasonsMatchDocs compares the rows of docs/REASONS.md with the list of reasons
// and with the responses to callers.
func TestReasonsMatchDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/REASONS.md")
	qt.Assert(t, err, qt.IsNil)
	var rows []string
	table, _, _ := strings.Cut(string(page), "## Retries")
	for line := range strings.Lines(table) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, line)
		}
	}
	f := newFixture(t, true)
	reasons := messenger.Reasons()
	qt.Assert(t, rows, qt.HasLen, len(reasons))
	for i, reason := range reasons {
		outcome := messenger.OutcomeRefused
		if slices.Contains(messenger.UnknownReasons(), reason) {
			outcome = messenger.OutcomeUnknown
		}
		f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer { return failureAnswer(outcome, reason) }
		got := f.get(t, "/v1/findings/a")
		start := fmt.Sprintf("| `%s` | %s | %d |", reason, outcome, got.status)
		qt.Check(t, rows[i][:min(len(start), len(rows[i]))], qt.Equals, start)
		qt.Check(t, strings.Contains(rows[i], "again later"), qt.Equals, got.header.Get("Retry-After") != "", qt.Commentf("%s", reason))
	}
}

func TestRequestWithoutLeaseIsRefused(t *testing.T) {
	f := newFixture(t, false)
	got := f.get(t, "/v1/findings/a")
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got.header.Get(messenger.HeaderReason), qt.Equals, "lease")
	qt.Assert(t, got.header.Get("Retry-After"), qt.Equals, "1")
	qt.Assert(t, f.forwarder.got, qt.IsNil)
}

func TestClosedConnectionCancelsRequest(t *testing.T) {
	f := newFixture(t, true)
	started, ended := make(chan struct{}), make(chan error, 1)
	f.forwarder.answer = func(ctx context.Context, _ *messenger.Request) executor.Answer {
		close(started)
		<-ctx.Done()
		ended <- ctx.Err()
		return failureAnswer(messenger.OutcomeUnknown, messenger.ReasonLost)
	}
	conn, err := net.Dial("tcp", f.acceptor.Address())
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /v1/findings/a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhinge")
	qt.Assert(t, err, qt.IsNil)
	<-started
	_ = conn.Close()
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
}

// TestStalledBodyTimesOut sends part of a body and nothing after it. The request must
// not be held beyond its deadline.
func TestStalledBodyTimesOut(t *testing.T) {
	f := newFixture(t, true)
	got := f.send(t, "POST /v1/findings/a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nMarigold-Timeout: 50ms\r\n\r\nhi")
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, f.forwarder.bodyErr, qt.IsNotNil)
}

// TestRefusalBeforeBodyIsRead refuses a request while the caller is still sending a
// large body. The caller must receive the response nevertheless.
func TestRefusalBeforeBodyIsRead(t *testing.T) {
	f := newFixture(t, true)
	f.forwarder.ignoreBody = true
	f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
		return failureAnswer(messenger.OutcomeRefused, messenger.ReasonQueue)
	}
	const head = "POST /v1/findings/a HTTP/1.1\r\nHost: x\r\n"
	for _, raw := range []string{
		head + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000),
		head + "Transfer-Encoding: chunked\r\n\r\nf4240\r\n" + strings.Repeat("x", 1000000),
	} {
		got := f.send(t, raw)
		qt.Assert(t, got.status, qt.Equals, http.StatusTooManyRequests)
		qt.Assert(t, got.header.Get(messenger.HeaderReason), qt.Equals, "queue")
	}
}

// TestUnreadResponseIsAborted requests a response without an end and reads nothing of
// it. The response must not be held beyond the deadline of the request.
func TestUnreadResponseIsAborted(t *testing.T) {
	f := newFixture(t, true)
	closed := make(chan struct{})
	f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
		answer := doneAnswer("", nil)
		answer.Response.Length = -1
		answer.Body = &endlessBody{closed: closed}
		return answer
	}
	conn, err := net.Dial("tcp", f.acceptor.Address())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /v1/findings/a HTTP/1.1\r\nHost: x\r\nMarigold-Timeout: 50ms\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-closed
	qt.Assert(t, f.metrics.GetOrCreateCounter("marigold_answers_aborted_total").Get(), qt.Equals, uint64(1))
}

// endlessBody is a body that never ends.
type endlessBody struct{ closed chan struct{} }

func (b *endlessBody) Read(data []byte) (int, error) { return len(data), nil }
func (b *endlessBody) Close() error                  { close(b.closed); return nil }

func TestStopWaitsForRequestsInFlight(t *testing.T) {
	f := newFixture(t, true)
	started, finish := make(chan struct{}), make(chan struct{})
	f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
		close(started)
		<-finish
		return doneAnswer("whole", nil)
	}
	responses, stopped := make(chan callerResponse, 1), make(chan error, 1)
	go func() { responses <- f.get(t, "/v1/findings/a") }()
	<-started
	go func() { stopped <- f.acceptor.Stop(context.Background()) }()
	// Stop has begun once the listener is closed.
	for {
		conn, err := net.Dial("tcp", f.acceptor.Address())
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	close(finish)
	qt.Assert(t, (<-responses).body, qt.Equals, "whole")
	qt.Assert(t, <-stopped, qt.IsNil)
}

func TestTruncatedResponseIsAborted(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		f := newFixture(t, true)
		f.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
			answer := doneAnswer("", nil)
			answer.Response.Length = length
			answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), failingReader{}))
			return answer
		}
		got := f.get(t, "/v1/findings/a")
		qt.Assert(t, got.truncated, qt.IsTrue, qt.Commentf("length %d: status %d, body %q", length, got.status, got.body))
		qt.Assert(t, f.requestCount("unknown", messenger.ReasonTruncated), qt.Equals, uint64(1))
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("cut") }

// Guards against the rest of a body that is taken for the next request on the connection.
func TestRestOfAnAnsweredBodyIsNoRequest(t *testing.T) {
	const smuggled = "GET /v1/findings/smuggled/x HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, size := range []int{len(smuggled), 1 << 20} {
		f := newFixture(t, true)
		f.forwarder.ignoreBody = true
		var keys []string
		f.forwarder.answer = func(_ context.Context, request *messenger.Request) executor.Answer {
			keys = append(keys, request.Key)
			return doneAnswer("ok", nil)
		}
		conn, err := net.Dial("tcp", f.acceptor.Address())
		qt.Assert(t, err, qt.IsNil)
		reader := bufio.NewReader(conn)
		fmt.Fprintf(conn, "POST /v1/findings/door-17/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second) // longer than the rest is awaited
		_, _ = io.WriteString(conn, strings.Repeat(smuggled, size/len(smuggled)))
		_, err = http.ReadResponse(reader, nil)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d bytes", size))
		qt.Check(t, keys, qt.DeepEquals, []string{"door-17"})
		_ = conn.Close()
	}
}
