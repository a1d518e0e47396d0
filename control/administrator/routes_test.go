package administrator_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/administrator"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
)

// configurationOf is a configuration in YAML with one route.
func configurationOf(version, timeout string) string {
	return "version: " + version + `
routes:
  - {name: find, host: desk.example, prefix: /find/, idempotent: true, timeout: ` + timeout + `, aim: 400ms, attempts: 2, parts: [{service: findings, weight: 1}]}
services:
  - {name: findings, ranged: true, health: /health, connections: 110, warm: 2s}
limits: {body: 67108864}
`
}

func TestConfiguration(t *testing.T) {
	replica := newReplica()
	handler := administrator.New(replica, administrator.Options{}).Handler()
	// The calls are made one after the other.
	tests := []struct {
		name   string
		call   string
		body   string
		status int
		want   string
	}{
		{name: "none yet", call: "GET /v1/configuration", status: 404},
		{name: "first", call: "PUT /v1/configuration", body: configurationOf("7", "1s"), status: 200, want: `{"revision":1}`},
		{name: "resent", call: "PUT /v1/configuration", body: configurationOf("7", "1s"), status: 200},
		{name: "read", call: "GET /v1/configuration", status: 200, want: configurationOf("7", "1s")},
		{name: "older", call: "PUT /v1/configuration", body: configurationOf("6", "9s"), status: 200},
		{name: "other content, same version", call: "PUT /v1/configuration", body: configurationOf("7", "9s"), status: 200},
		{name: "not changed by these", call: "GET /v1/configuration", status: 200, want: configurationOf("7", "1s")},
		{name: "unknown field", call: "PUT /v1/configuration", body: configurationOf("8", "1s") + "speed: 1\n", status: 422, want: "speed"},
		{name: "no timeout", call: "PUT /v1/configuration", body: configurationOf("8", "0s"), status: 422, want: "timeout"},
		{name: "cut short", call: "PUT /v1/configuration", body: "version: [", status: 422, want: "body"},
		{name: "too large", call: "PUT /v1/configuration", body: strings.Repeat("#", 33<<20), status: 413, want: "too large"},
		{name: "newer", call: "PUT /v1/configuration", body: configurationOf("8", "2s"), status: 200},
		{name: "read again", call: "GET /v1/configuration", status: 200, want: configurationOf("8", "2s")},
	}
	for _, test := range tests {
		answer := call(handler, test.call, "", test.body)
		qt.Assert(t, answer.Code, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, answer.Body))
		qt.Assert(t, answer.Body.String(), qt.Contains, test.want, qt.Commentf("%s", test.name))
	}
}

// A replica that does not lead sends operators on, and one that cannot be certain
// shows nothing.
func TestConfigurationElsewhere(t *testing.T) {
	leader := messenger.Member{Name: "c2", Operator: "http://127.0.0.1:9"}
	tests := []struct {
		name     string
		standing replicator.Standing
		status   int
		location string
	}{
		{name: "follower", standing: replicator.Standing{Name: "c1", Leader: leader}, status: 307, location: "http://127.0.0.1:9/v1/configuration"},
		{name: "no leader", standing: replicator.Standing{Name: "c1"}, status: 503},
		{name: "unconfirmed", standing: replicator.Standing{Name: "c1", Leading: true, Leader: messenger.Member{Name: "c1"}}, status: 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replica := newReplica()
			replica.standing = test.standing
			handler := administrator.New(replica, administrator.Options{}).Handler()
			for _, method := range []string{"GET", "PUT"} {
				answer := call(handler, method+" /v1/configuration", "", configurationOf("7", "1s"))
				qt.Check(t, answer.Code, qt.Equals, test.status, qt.Commentf("%s: %s", method, answer.Body))
				qt.Check(t, answer.Header().Get("Location"), qt.Equals, test.location)
			}
		})
	}
}
