package announcer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/announcer"
)

func TestAnnounce(t *testing.T) {
	const valid = `{"name":"d1","service":"findings","url":"http://127.0.0.1:9001","slots":6}`
	tests := []struct {
		name   string
		body   string
		state  messenger.ServerState
		status int
	}{
		{"right", valid, messenger.ServerReady, http.StatusOK},
		{"not JSON", `name`, messenger.ServerReady, http.StatusBadRequest},
		{"no name", strings.Replace(valid, "d1", "", 1), messenger.ServerReady, http.StatusBadRequest},
		{"no slots", strings.Replace(valid, "6", "0", 1), messenger.ServerReady, http.StatusBadRequest},
		{"too many slots", strings.Replace(valid, "6", "1000000000", 1), messenger.ServerReady, http.StatusBadRequest},
		{"number too large", strings.Replace(valid, "6", "1e99", 1), messenger.ServerReady, http.StatusBadRequest},
		{"port out of range", strings.Replace(valid, "9001", "99999", 1), messenger.ServerReady, http.StatusBadRequest},
		{"port 0", strings.Replace(valid, "9001", "0", 1), messenger.ServerReady, http.StatusBadRequest},
		{"control character in the name", strings.Replace(valid, "d1", `d\u000a1`, 1), messenger.ServerReady, http.StatusBadRequest},
		{"long name", strings.Replace(valid, "d1", strings.Repeat("d", 300), 1), messenger.ServerReady, http.StatusBadRequest},
		{"deeply nested", strings.Replace(valid, "6", strings.Repeat("[", 3000), 1), messenger.ServerReady, http.StatusBadRequest},
		{"path in URL", strings.Replace(valid, "9001", "9001/x", 1), messenger.ServerReady, http.StatusBadRequest},
		{"body too large", strings.Replace(valid, "findings", strings.Repeat("f", 5000), 1), messenger.ServerReady, http.StatusBadRequest},
		{"another server while the first is ready", strings.Replace(valid, "d1", "d2", 1), messenger.ServerReady, http.StatusConflict},
		{"successor", strings.Replace(valid, "d1", "d2", 1), messenger.ServerDown, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var rows []messenger.ServerRow
			handler := announcer.New("r1", announcer.Callbacks{
				Announced: func(row messenger.ServerRow) { rows = append(rows, row) },
				Status:    func() announcer.Status { return announcer.Status{State: test.state, Shards: 3} },
			}).Handler()
			var recorder *httptest.ResponseRecorder
			for _, body := range []string{valid, test.body} {
				recorder = httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, messenger.PathAnnounce, strings.NewReader(body)))
			}
			qt.Assert(t, recorder.Code, qt.Equals, test.status)
			qt.Assert(t, len(rows) == 2, qt.Equals, test.status == http.StatusOK)
		})
	}
}
