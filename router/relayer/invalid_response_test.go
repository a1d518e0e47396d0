package relayer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/requester"
)

// Guards against an invalid response that a router of an earlier version passes on.
func TestInvalidResponseOfAnotherRouterIsNoAnswer(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header http.Header
		want   messenger.Outcome
	}{
		{name: "status 0", header: http.Header{}, want: messenger.OutcomeUnknown},
		{name: "status 103", status: 103, header: http.Header{}, want: messenger.OutcomeUnknown},
		{name: "status 600", status: 600, header: http.Header{}, want: messenger.OutcomeUnknown},
		{name: "blank in a name", status: 200, header: http.Header{"My Server": {"a"}}, want: messenger.OutcomeUnknown},
		{name: "control byte in a name", status: 200, header: http.Header{"Server\x01": {"a"}}, want: messenger.OutcomeUnknown},
		{name: "line break in a value", status: 200, header: http.Header{"Server": {"a\r\nb"}}, want: messenger.OutcomeUnknown},
		{name: "valid", status: 503, header: http.Header{"Server": {"a"}}, want: messenger.OutcomeDone},
	}
	for _, test := range tests {
		f := newRemoteFixture(t, true, 0)
		f.backend.answer = func() requester.Result {
			result := doneResult(test.status, strings.NewReader("ok"), 2)
			result.Header = test.header
			return result
		}
		answer := f.serve(t, strings.NewReader("body"), 4, time.Second)
		qt.Check(t, answer.Outcome, qt.Equals, test.want, qt.Commentf(test.name))
	}
}
