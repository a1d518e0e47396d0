package announcer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/announcer"
	"marigoldhill/router/monitor"
)

// Guards against an announcement that is taken for one of a warm server because it does not
// say for how long the server stays cold.
func TestAnnouncedTimeLeft(t *testing.T) {
	left := func(left time.Duration) *time.Duration { return &left }
	tests := []struct {
		name   string
		fields string
		status int
		want   *time.Duration
	}{
		{name: "time left", fields: `"cold":true,"coldleft":"2.5s"`, status: http.StatusOK, want: left(2500 * time.Millisecond)},
		{name: "none left", fields: `"cold":true,"coldleft":"0s"`, status: http.StatusOK, want: left(0)},
		{name: "not cold", fields: `"cold":false`, status: http.StatusOK, want: left(0)},
		{name: "starts cold, silent on the time", fields: `"cold":true`, status: http.StatusOK},
		{name: "no duration", fields: `"coldleft":"soon"`, status: http.StatusBadRequest},
		{name: "below 0", fields: `"coldleft":"-1s"`, status: http.StatusBadRequest},
		{name: "born far ahead", fields: `"born":9000000000000000000`, status: http.StatusBadRequest},
		{name: "sequence near the end", fields: `"sequence":18446744073709551615`, status: http.StatusBadRequest},
	}
	for _, test := range tests {
		var got []monitor.Announcement
		server := monitor.New(monitor.Options{
			Address: "127.0.0.1:9001", OnChange: func(*monitor.View) {}, Log: logger.Discard(),
			OnAnnounced: func(announcement monitor.Announcement) { got = append(got, announcement) },
		})
		handler := announcer.NewRoutedHandler("r1", server, func() int { return 0 })
		body := `{"name":"d1","service":"findings","url":"http://127.0.0.1:9001","slots":6,"born":5,"sequence":1,` + test.fields + `}`
		// The second one is late and must not count.
		for range 2 {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, messenger.PathAnnounce, strings.NewReader(body)))
			qt.Check(t, recorder.Code, qt.Equals, test.status, qt.Commentf(test.name))
		}
		if test.status != http.StatusOK {
			qt.Check(t, got, qt.HasLen, 0, qt.Commentf(test.name))
			continue
		}
		qt.Assert(t, got, qt.HasLen, 1, qt.Commentf(test.name))
		qt.Check(t, got[0].ColdLeft, qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}
