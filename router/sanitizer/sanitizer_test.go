package sanitizer_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

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

// Guards against a request whose Connection field lists as many names as it has fields, and
// keeps the processor for minutes.
func TestManyNamesInConnectionTakeLinearTime(t *testing.T) {
	const fields, limit = 100_000, 5 * time.Second
	header := make(http.Header)
	var listed strings.Builder
	for n := range fields {
		header["X"+strconv.Itoa(n)] = []string{""}
		listed.WriteString("a" + strconv.Itoa(n) + ",")
	}
	listed.WriteString("x7")
	header["Connection"] = []string{listed.String()}
	started := time.Now()
	qt.Check(t, sanitizer.EndToEndFields(header, nil), qt.HasLen, fields-1)
	qt.Check(t, time.Since(started) < limit, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}
