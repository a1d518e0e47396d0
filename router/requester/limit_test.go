package requester_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/requester"
)

// Guards against numbers in the header of a response that are none, or too large for other
// routers.
func TestNumbersInHeaders(t *testing.T) {
	tests := []struct {
		text          string
		limit, millis bool
	}{
		{text: "0", limit: true, millis: true},
		{text: "2.5", limit: true, millis: true},
		{text: "1e9", limit: true, millis: true},
		{text: "1e11"}, {text: "1e300"}, {text: "1e999"}, {text: "Inf"}, {text: "NaN"}, {text: "-1"}, {text: ""}, {text: "many"},
	}
	for _, test := range tests {
		qt.Check(t, requester.ParseLimit(test.text) != nil, qt.Equals, test.limit, qt.Commentf("limit %q", test.text))
		qt.Check(t, requester.ParseMillis(test.text) != nil, qt.Equals, test.millis, qt.Commentf("milliseconds %q", test.text))
	}
}
