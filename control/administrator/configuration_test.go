package administrator_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/administrator"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
)

// configurationYAML returns a configuration with one route.
func configurationYAML(version, timeout string) string {
	return "version: " + version + `
routes:
  - {name: find, host: desk.example, prefix: /find/, idempotent: true, timeout: ` + timeout + `, aim: 400ms, attempts: 2, parts: [{service: findings, weight: 1}]}
services:
  - {name: findings, ranged: true, health: /health, connections: 110, warm: 2s}
limits: {body: 67108864}
`
}

// TestConfiguration checks that only a valid configuration of a higher version replaces
// the current one.
func TestConfiguration(t *testing.T) {
	replica := newFakeReplica()
	handler := administrator.New(replica, administrator.Options{}).Handler()
	// The cases run in order and depend on the state that earlier ones left.
	tests := []struct {
		name   string
		call   string
		body   string
		status int
		want   string
	}{
		{name: "none yet", call: "GET /v1/configuration", status: 404},
		{name: "first", call: "PUT /v1/configuration", body: configurationYAML("7", "1s"), status: 200, want: `{"revision":1}`},
		{name: "resent", call: "PUT /v1/configuration", body: configurationYAML("7", "1s"), status: 200},
		{name: "read", call: "GET /v1/configuration", status: 200, want: configurationYAML("7", "1s")},
		{name: "older", call: "PUT /v1/configuration", body: configurationYAML("6", "9s"), status: 200},
		{name: "different content, same version", call: "PUT /v1/configuration", body: configurationYAML("7", "9s"), status: 200},
		{name: "read unchanged", call: "GET /v1/configuration", status: 200, want: configurationYAML("7", "1s")},
		{name: "unknown field", call: "PUT /v1/configuration", body: configurationYAML("8", "1s") + "speed: 1\n", status: 422, want: "speed"},
		{name: "zero timeout", call: "PUT /v1/configuration", body: configurationYAML("8", "0s"), status: 422, want: "timeout"},
		{name: "truncated document", call: "PUT /v1/configuration", body: "version: [", status: 422, want: "body"},
		{name: "too large", call: "PUT /v1/configuration", body: strings.Repeat("#", 33<<20), status: 413, want: "too large"},
		{name: "newer", call: "PUT /v1/configuration", body: configurationYAML("8", "2s"), status: 200},
		{name: "read again", call: "GET /v1/configuration", status: 200, want: configurationYAML("8", "2s")},
	}
	for _, test := range tests {
		response := call(handler, test.call, "", test.body)
		qt.Assert(t, response.Code, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, response.Body))
		qt.Assert(t, response.Body.String(), qt.Contains, test.want, qt.Commentf("%s", test.name))
	}
}

// Followers redirect to the leader. Without a leader, and on a leader that is not
// confirmed by a majority, calls fail with 503 instead of showing a configuration
// that may be outdated.
func TestConfigurationWithoutConfirmedLeader(t *testing.T) {
	leader := messenger.Member{Name: "c2", Operator: "http://127.0.0.1:9"}
	tests := []struct {
		name       string
		raftStatus replicator.RaftStatus
		status     int
		location   string
	}{
		{name: "follower", raftStatus: replicator.RaftStatus{Name: "c1", Leader: leader}, status: 307, location: "http://127.0.0.1:9/v1/configuration"},
		{name: "no leader", raftStatus: replicator.RaftStatus{Name: "c1"}, status: 503},
		{name: "unconfirmed", raftStatus: replicator.RaftStatus{Name: "c1", Leading: true, Leader: messenger.Member{Name: "c1"}}, status: 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replica := newFakeReplica()
			replica.raftStatus = test.raftStatus
			handler := administrator.New(replica, administrator.Options{}).Handler()
			for _, method := range []string{"GET", "PUT"} {
				response := call(handler, method+" /v1/configuration", "", configurationYAML("7", "1s"))
				qt.Check(t, response.Code, qt.Equals, test.status, qt.Commentf("%s: %s", method, response.Body))
				qt.Check(t, response.Header().Get("Location"), qt.Equals, test.location)
			}
		})
	}
}
