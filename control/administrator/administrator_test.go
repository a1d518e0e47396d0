package administrator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/control/administrator"
	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// fakeReplica applies commands directly to a real state machine, without
// replication.
type fakeReplica struct {
	machine    *supervisor.Supervisor
	raftStatus replicator.RaftStatus
	index      uint64
	failure    error
}

func newFakeReplica() *fakeReplica {
	leader := messenger.Member{Name: "c1", Address: "127.0.0.1:1", Operator: "http://127.0.0.1:2"}
	return &fakeReplica{
		machine:    supervisor.New(supervisor.Options{Cluster: "test"}),
		raftStatus: replicator.RaftStatus{Name: "c1", Leading: true, Confirmed: true, Leader: leader, Members: []messenger.Member{leader}},
	}
}

func (f *fakeReplica) Propose(_ context.Context, command []byte) (replicator.Proposal, error) {
	if f.failure != nil {
		return replicator.Proposal{}, f.failure
	}
	f.index++
	return replicator.Proposal{Index: f.index, Result: f.machine.Apply(f.index, command)}, nil
}

func (f *fakeReplica) Query(_ context.Context, query any) (any, error) {
	result, commands := f.machine.Query(timer.Instant{Wall: time.Hour}, f.raftStatus, query)
	for _, command := range commands {
		f.index++
		f.machine.Apply(f.index, command)
	}
	return result, nil
}

func (f *fakeReplica) RaftStatus() replicator.RaftStatus { return f.raftStatus }

func (f *fakeReplica) AddMember(_ context.Context, member messenger.Member) (uint64, error) {
	f.raftStatus.Members = append(f.raftStatus.Members, member)
	return 99, f.failure
}

func (f *fakeReplica) RemoveMember(context.Context, string) (uint64, error) {
	return 98, f.failure
}

const (
	interactiveProfile = "name: default\nclass: interactive\n"
	backgroundProfile  = `{"name":"default","class":"background","share":0.5,"deadline":"2s"}`
)

func TestOperatorCalls(t *testing.T) {
	replica := newFakeReplica()
	handler := administrator.New(replica, administrator.Options{}).Handler()
	// The cases run in order and depend on the state that earlier ones left.
	tests := []struct {
		name   string
		call   string
		header string
		body   string
		status int
		want   []string
	}{
		{name: "create", call: "PUT /v1/profiles/default", header: "Idempotency-Key: a", body: interactiveProfile, status: 200, want: []string{`{"revision":1}`}},
		{name: "retry with the same key", call: "PUT /v1/profiles/default", header: "Idempotency-Key: a", body: interactiveProfile, status: 200, want: []string{`{"revision":1}`}},
		{name: "key reused for another change", call: "PUT /v1/profiles/default", header: "Idempotency-Key: a", body: backgroundProfile, status: 422, want: []string{"Idempotency-Key"}},
		{name: "exists", call: "PUT /v1/profiles/default", header: "If-None-Match: *", body: interactiveProfile, status: 412, want: []string{`"revision":1`, `"current":{"name":"default"`, `"deadline":"10s"`}},
		{name: "read", call: "GET /v1/profiles/default", status: 200, want: []string{`"deadline":"10s"`, `"weight":10`}},
		{name: "change", call: "PUT /v1/profiles/default", header: `If-Match: "1"`, body: backgroundProfile, status: 200, want: []string{`{"revision":5}`}},
		{name: "outdated revision", call: "PUT /v1/profiles/default", header: `If-Match: "1"`, body: interactiveProfile, status: 412, want: []string{`"revision":5`, `"class":"background"`, `"deadline":"2s"`}},
		{name: "invalid ETag", call: "PUT /v1/profiles/default", header: `If-Match: x`, body: interactiveProfile, status: 400, want: []string{"If-Match"}},
		{name: "unknown field", call: "PUT /v1/profiles/default", body: interactiveProfile + "speed: 1\n", status: 400, want: []string{"speed", "body:3"}},
		{name: "invalid value", call: "PUT /v1/profiles/default", body: interactiveProfile + "retries: 11\n", status: 400, want: []string{"retries", "0 to 10"}},
		{name: "name differs from path", call: "PUT /v1/profiles/lookup", body: interactiveProfile, status: 400, want: []string{"name"}},
		{name: "oversize", call: "PUT /v1/profiles/default", body: strings.Repeat("#", 300<<10), status: 413, want: []string{"too large"}},
		{name: "service with unknown profile", call: "PUT /v1/services/findings", body: "name: findings\nroutes: [{profile: none}]\n", status: 422, want: []string{"routes[0].profile"}},
		{name: "service", call: "PUT /v1/services/findings", body: "name: findings\nshards: 8\nroutes: [{profile: default}]\n", status: 200, want: []string{`"revision":8`}},
		{name: "change of shards", call: "PUT /v1/services/findings", header: `If-Match: "8"`, body: "name: findings\nshards: 9\nroutes: [{profile: default}]\n", status: 422, want: []string{"shards"}},
		{name: "profile in use", call: "DELETE /v1/profiles/default", header: `If-Match: "5"`, status: 422, want: []string{"findings"}},
		{name: "list", call: "GET /v1/services", status: 200, want: []string{`"revision":8`, `"retention":"10m0s"`}},
		{name: "unknown profile", call: "GET /v1/profiles/none", status: 404, want: []string{"none"}},
		{name: "explain", call: "GET /v1/explain?service=findings&key=door-17", status: 200, want: []string{`"phase":"free"`}},
		{name: "explain unknown service", call: "GET /v1/explain?service=x&key=y", status: 404, want: []string{"x"}},
		{name: "explain without service and key", call: "GET /v1/explain", status: 400, want: []string{"key"}},
		{name: "status", call: "GET /v1/status", status: 200, want: []string{`"cluster":"test"`, `"free":8`}},
		{name: "events", call: "GET /v1/events?after=7", status: 200, want: []string{`"number":262`}},
		{name: "wait too long", call: "GET /v1/events?wait=1h", status: 400, want: []string{"wait"}},
		{name: "progress", call: "GET /v1/progress?revision=8", status: 200, want: []string{`"sessions":0`}},
		{name: "drain", call: "PUT /v1/drains/d1", status: 200, want: []string{`"revision"`}},
		{name: "undrain", call: "DELETE /v1/drains/d1", status: 200, want: []string{`"revision"`}},
		{name: "no quarantines", call: "GET /v1/quarantines", status: 200, want: []string{`[]`}},
		{name: "lift unknown quarantine", call: "DELETE /v1/quarantines/00", status: 404, want: []string{"quarantine"}},
		{name: "add member", call: "POST /v1/members", body: `{"name":"c2","address":"127.0.0.1:5","operator":"http://127.0.0.1:6"}`, status: 200, want: []string{`{"revision":99}`}},
		{name: "member with invalid address", call: "POST /v1/members", body: `{"name":"c2","address":"x","operator":"http://127.0.0.1:6"}`, status: 422, want: []string{"address"}},
		{name: "members", call: "GET /v1/members", status: 200, want: []string{`"c1"`, `"c2"`}},
		{name: "remove member", call: "DELETE /v1/members/c2", status: 200, want: []string{`{"revision":98}`}},
		{name: "unknown path", call: "GET /v1/nothing", status: 404, want: []string{"Not Found"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := call(handler, test.call, test.header, test.body)
			qt.Assert(t, response.Code, qt.Equals, test.status, qt.Commentf("%s", response.Body))
			for _, want := range test.want {
				qt.Check(t, response.Body.String(), qt.Contains, want)
			}
			if test.status >= 400 {
				qt.Check(t, response.Header().Get("Content-Type"), qt.Equals, "application/problem+json")
			}
		})
	}
}

func call(handler http.Handler, line, header, body string) *httptest.ResponseRecorder {
	method, target, _ := strings.Cut(line, " ")
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if name, value, ok := strings.Cut(header, ": "); ok {
		request.Header.Set(name, value)
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

func TestNonLeaderRedirectsOrRefuses(t *testing.T) {
	leader := messenger.Member{Name: "c2", Operator: "http://127.0.0.1:9"}
	tests := []struct {
		name       string
		raftStatus replicator.RaftStatus
		failure    error
		status     int
		location   string
		reason     string
	}{
		{name: "follower", raftStatus: replicator.RaftStatus{Name: "c1", Leader: leader}, status: 307, location: "http://127.0.0.1:9/v1/drains/d1", reason: "redirect"},
		{name: "no leader", raftStatus: replicator.RaftStatus{Name: "c1"}, status: 503, reason: "leader"},
		{name: "leadership lost during the proposal", raftStatus: replicator.RaftStatus{Name: "c1", Leading: true}, failure: replicator.ErrNotLeader, status: 503, reason: "leader"},
		{name: "unknown result", raftStatus: replicator.RaftStatus{Name: "c1", Leading: true}, failure: replicator.ErrUnknownResult, status: 504, reason: "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replica := newFakeReplica()
			replica.raftStatus = test.raftStatus
			replica.failure = test.failure
			set := metrics.NewSet()
			handler := administrator.New(replica, administrator.Options{Metrics: set}).Handler()
			response := call(handler, "PUT /v1/drains/d1", "", "")
			qt.Assert(t, response.Code, qt.Equals, test.status)
			qt.Assert(t, response.Header().Get("Location"), qt.Equals, test.location)
			counter := set.GetOrCreateCounter(`marigold_operator_refusals_total{reason="` + test.reason + `"}`)
			qt.Assert(t, counter.Get(), qt.Equals, uint64(1))
			if test.status == 503 {
				qt.Assert(t, response.Header().Get("Retry-After"), qt.Equals, "1")
			}
		})
	}
}

func TestUnconfirmedLeaderRespondsWith503(t *testing.T) {
	replica := newFakeReplica()
	replica.raftStatus.Confirmed = false
	handler := administrator.New(replica, administrator.Options{}).Handler()
	response := call(handler, "GET /v1/profiles", "", "")
	qt.Assert(t, response.Code, qt.Equals, 503)
	var problem messenger.Problem
	qt.Assert(t, json.Unmarshal(response.Body.Bytes(), &problem), qt.IsNil)
	qt.Assert(t, problem.Status, qt.Equals, 503)
}
