package acceptor_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
)

func TestRequestReachesForwarder(t *testing.T) {
	r := newRig(t, true)
	got := r.send(t, "POST /v1/findings/door%2F17/certificates/%6Eew?a=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"+
		"Idempotency-Key: k1\r\nMarigold-Timeout: 2s\r\nMarigold-Fence: 9\r\nX-Own: yes\r\n\r\nhinge")
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
	qt.Assert(t, got.header.Get(messenger.HeaderOutcome), qt.Equals, "done")
	qt.Assert(t, got.header.Get(messenger.HeaderServer), qt.Equals, "d1")
	request := r.forwarder.got
	qt.Assert(t, request.Number, qt.Not(qt.Equals), "")
	request.Number = ""
	qt.Assert(t, request, qt.DeepEquals, &messenger.Request{
		Service: "findings", Key: "door/17", Route: "certificates/new", Query: "a=1", Method: "POST",
		Header: []messenger.Header{{Name: "X-Own", Values: []string{"yes"}}}, Idempotency: "k1",
		Caller: "127.0.0.1", Length: 5})
	qt.Assert(t, r.forwarder.body, qt.Equals, "hinge")
	qt.Assert(t, r.forwarder.left > time.Second && r.forwarder.left <= 2*time.Second, qt.IsTrue)
}

func TestPathTricks(t *testing.T) {
	r := newRig(t, true)
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
			r.forwarder.got = nil
			got := r.get(t, test.path)
			qt.Assert(t, got.status, qt.Equals, test.status)
			if test.status != http.StatusOK {
				qt.Assert(t, r.forwarder.got, qt.IsNil)
				qt.Assert(t, got.problem.Status, qt.Equals, test.status)
				qt.Assert(t, got.header.Get(messenger.HeaderOutcome), qt.Equals, "refused")
				return
			}
			qt.Assert(t, r.forwarder.got.Key, qt.Equals, test.key)
			qt.Assert(t, r.forwarder.got.Route, qt.Equals, test.route)
		})
	}
}

func TestCutAnswerIsAborted(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		r := newRig(t, true)
		r.forwarder.answer = func(context.Context, *messenger.Request) executor.Answer {
			answer := doneWith("", nil)
			answer.Response.Length = length
			answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), broken{}))
			return answer
		}
		got := r.get(t, "/v1/findings/a")
		qt.Assert(t, got.cut, qt.IsTrue, qt.Commentf("length %d: status %d, body %q", length, got.status, got.body))
		counter := r.metrics.GetOrCreateCounter(`marigold_requests_total{outcome="unknown",reason="truncated"}`)
		qt.Assert(t, counter.Get(), qt.Equals, uint64(1))
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("cut") }
