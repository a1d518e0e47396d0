package administrator_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/administrator"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
)

// An operator must be able to send an order again until it is answered, and see who gave
// it.
func TestEvacuations(t *testing.T) {
	replica := newFakeReplica()
	handler := administrator.New(replica, administrator.Options{}).Handler()
	// The cases run in order and depend on the state that earlier ones left.
	tests := []struct {
		name   string
		call   string
		header string
		status int
		want   string
	}{
		{name: "none yet", call: "GET /v1/evacuations", status: 200, want: "[]"},
		{name: "order", call: "PUT /v1/evacuations/d1", header: "Marigold-Operator: ann", status: 200, want: `{"revision":1}`},
		{name: "resent", call: "PUT /v1/evacuations/d1", header: "Marigold-Operator: ben", status: 200, want: `{"revision":1}`},
		{name: "list", call: "GET /v1/evacuations", status: 200, want: `"domain":"d1","by":"ann"`},
		{name: "status", call: "GET /v1/status", status: 200, want: `"evacuations":[{"domain":"d1"`},
		{name: "withdrawal", call: "DELETE /v1/evacuations/d1", status: 200, want: `{"revision":3}`},
		{name: "withdrawal resent", call: "DELETE /v1/evacuations/d1", status: 200, want: `{"revision":3}`},
		{name: "list after it", call: "GET /v1/evacuations", status: 200, want: "[]"},
		{name: "order with a key", call: "PUT /v1/evacuations/d2", header: "Idempotency-Key: a", status: 200, want: `{"revision":5}`},
		{name: "withdrawal with a key", call: "DELETE /v1/evacuations/d2", header: "Idempotency-Key: b", status: 200, want: `{"revision":6}`},
		{name: "late order", call: "PUT /v1/evacuations/d2", header: "Idempotency-Key: a", status: 200, want: `{"revision":5}`},
		{name: "list after the late order", call: "GET /v1/evacuations", status: 200, want: "[]"},
		{name: "key of another order", call: "PUT /v1/evacuations/d3", header: "Idempotency-Key: a", status: 422, want: "Idempotency-Key"},
		{name: "invalid name", call: "PUT /v1/evacuations/D3", status: 422, want: "domain: must be"},
		{name: "invalid name of a withdrawal", call: "DELETE /v1/evacuations/-", status: 422, want: "domain: must be"},
		{name: "long name of the operator", call: "PUT /v1/evacuations/d3", header: "Marigold-Operator: " + strings.Repeat("x", 65), status: 400, want: "64 bytes"},
		{name: "operator by address", call: "PUT /v1/evacuations/d3", status: 200, want: `{"revision":11}`},
		{name: "list of the address", call: "GET /v1/evacuations", status: 200, want: `"domain":"d3","by":"192.0.2.1"`},
	}
	for _, test := range tests {
		response := call(handler, test.call, test.header, "")
		qt.Assert(t, response.Code, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, response.Body))
		qt.Assert(t, response.Body.String(), qt.Contains, test.want, qt.Commentf("%s", test.name))
	}
	// The bound is 64; one domain is evacuated.
	var last *httptest.ResponseRecorder
	for n := range 64 {
		last = call(handler, fmt.Sprintf("PUT /v1/evacuations/x%d", n), "", "")
	}
	qt.Check(t, last.Code, qt.Equals, 422, qt.Commentf("%s", last.Body))
}

// An order must not be acknowledged by a group that may lose it with the tolerated disks,
// nor by a leader that may have been replaced.
func TestEvacuationWithoutConfirmedLeader(t *testing.T) {
	leader := messenger.Member{Name: "c2", Operator: "http://127.0.0.1:9"}
	three := make([]messenger.Member, 3)
	tests := []struct {
		name       string
		raftStatus replicator.RaftStatus
		failure    error
		status     int
		location   string
	}{
		{name: "follower", raftStatus: replicator.RaftStatus{Name: "c1", Leader: leader}, status: 307, location: "http://127.0.0.1:9/v1/evacuations/d1"},
		{name: "no leader", raftStatus: replicator.RaftStatus{Name: "c1"}, status: 503},
		{name: "not confirmed", raftStatus: replicator.RaftStatus{Name: "c1", Leading: true, Members: three}, status: 503},
		{name: "group too small", raftStatus: replicator.RaftStatus{Name: "c1", Leading: true, Confirmed: true, Members: three[:1]}, status: 503},
		{name: "unknown result", raftStatus: replicator.RaftStatus{Name: "c1", Leading: true, Confirmed: true, Members: three}, failure: replicator.ErrUnknownResult, status: 504},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, method := range []string{"PUT", "DELETE"} {
				replica := newFakeReplica()
				replica.raftStatus, replica.failure = test.raftStatus, test.failure
				handler := administrator.New(replica, administrator.Options{ToleratedLosses: 1}).Handler()
				response := call(handler, method+" /v1/evacuations/d1", "", "")
				qt.Check(t, response.Code, qt.Equals, test.status, qt.Commentf("%s: %s", method, response.Body))
				qt.Check(t, response.Header().Get("Location"), qt.Equals, test.location)
			}
		})
	}
}
