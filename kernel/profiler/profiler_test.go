package profiler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/profiler"
)

func TestDefaultsAreValid(t *testing.T) {
	for _, profile := range profiler.DefaultProfiles() {
		_, reason := profiler.CheckProfile(&profile)
		qt.Check(t, reason, qt.Equals, "")
	}
	service := profiler.DefaultService("findings")
	_, reason := profiler.CheckService(&service)
	qt.Check(t, reason, qt.Equals, "")
	profile, err := profiler.ParseProfile("f", []byte("name: archive\nclass: background\nshare: 0.3\ndeadline: 2h\nqueue: 0\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, profile.Deadline, qt.Equals, 2*time.Hour)
	qt.Check(t, profile.Queue, qt.Equals, 0)
	qt.Check(t, profile.Retries, qt.Equals, profiler.DefaultRetries)
}

func TestInvalidProfilesAreRejected(t *testing.T) {
	const valid = "name: archive\nclass: background\n"
	tests := []struct{ data, want string }{
		{data: "class: background\n", want: "name"},
		{data: "name: Archive\nclass: background\n", want: "f:1: name"},
		{data: "name: archive\nclass: slow\n", want: "f:2: class"},
		{data: valid + "deadline: 0s\n", want: "f:3: deadline"},
		{data: valid + "deadline: 25h\n", want: "f:3: deadline"},
		{data: valid + "retries: -1\n", want: "f:3: retries"},
		{data: valid + "queue: 10001\n", want: "f:3: queue"},
		{data: valid + "share: 0\n", want: "f:3: share"},
		{data: valid + "share: 1.5\n", want: "f:3: share"},
		{data: valid + "share: .nan\n", want: "f:3: share"},
		{data: "name: a\nclass: interactive\nshare: 0.5\n", want: "f:3: share"},
		{data: valid + "weight: 0\n", want: "f:3: weight"},
		{data: valid + "weight: heavy\n", want: "f:3"},
		{data: valid + "speed: 1\n", want: "speed"},
	}
	for _, test := range tests {
		_, err := profiler.ParseProfile("f", []byte(test.data))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+test.want+".*", qt.Commentf("%s", test.data))
	}
}

func TestInvalidServicesAreRejected(t *testing.T) {
	const valid = "name: findings\nroutes: [{profile: work}]\n"
	tests := []struct{ data, want string }{
		{data: "name: findings\n", want: "routes"},
		{data: "name: findings\nroutes: [{method: GET, profile: work}]\n", want: "routes"},
		{data: "name: findings\nroutes: [{profile: work}, {profile: other}]\n", want: `routes\[1\]`},
		{data: "name: findings\nroutes: [{profile: work}, {prefix: /a, profile: other}]\n", want: `routes\[1\].prefix`},
		{data: "name: findings\nroutes: [{profile: work}, {method: FETCH, profile: other}]\n", want: `routes\[1\].method`},
		{data: valid + "shards: 0\n", want: "f:3: shards"},
		{data: valid + "shards: 65537\n", want: "f:3: shards"},
		{data: valid + "churn: 101\n", want: "f:3: churn"},
		{data: valid + "recorders: 5\n", want: "f:3: recorders"},
		{data: valid + "scarce: maybe\n", want: "f:3: scarce"},
		{data: valid + "retention: 1ms\n", want: "f:3: retention"},
	}
	for _, test := range tests {
		_, err := profiler.ParseService("f", []byte(test.data))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+test.want+".*", qt.Commentf("%s", test.data))
	}
}
