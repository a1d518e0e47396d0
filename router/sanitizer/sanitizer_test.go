package sanitizer_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/sanitizer"
)

func TestConnectionSpecificFieldsAreRemoved(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop", "x-other"}, "X-Hop": {"1"}, "X-Other": {"2"},
		"Keep-Alive": {"timeout=5"}, "Content-Length": {"3"}, "X-Secret": {"4"}, "X-End": {"5", "6"},
	}
	fields := sanitizer.EndToEndFields(header, func(name string) bool { return name == "X-Secret" })
	qt.Assert(t, fields, qt.DeepEquals, []messenger.Header{{Name: "X-End", Values: []string{"5", "6"}}})
	qt.Assert(t, sanitizer.EndToEndFields(header, nil), qt.HasLen, 2)
	sanitizer.Strip(header)
	qt.Assert(t, header, qt.DeepEquals, http.Header{"X-Secret": {"4"}, "X-End": {"5", "6"}})
}
