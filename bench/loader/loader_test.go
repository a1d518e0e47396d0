package loader_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/loader"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// router simulates a router. Its response depends on the route: "refused" is refused,
// "foreign" gets the response to another request, and "doubled" is run, but the first
// such request gets a closed connection in place of a response.
type router struct {
	runCounter *responder.RunCounter
	dropped    atomic.Bool
}

func (r *router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == responder.PathRuns {
		_ = json.NewEncoder(w).Encode(r.runCounter.Totals(true))
		return
	}
	parts := strings.SplitN(strings.TrimPrefix(request.URL.Path, "/v1/findings/"), "/", 2)
	idempotencyKey := request.Header.Get(messenger.HeaderIdempotencyKey)
	switch parts[1] {
	case "refused":
		w.Header().Set(messenger.HeaderOutcome, "refused")
		w.Header().Set(messenger.HeaderReason, "queue")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "foreign":
		idempotencyKey = "another"
	case "doubled":
		r.runCounter.Add(responder.RunKey{Key: parts[0], Number: idempotencyKey})
		if r.dropped.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(messenger.HeaderOutcome, "done")
	w.Header().Set(messenger.HeaderServer, "d1")
	_ = json.NewEncoder(w).Encode(responder.Result{Key: parts[0], Number: idempotencyKey})
}

func settings(base string, kinds ...loader.Kind) loader.Settings {
	return loader.Settings{
		Routers: []string{base}, Servers: []string{base}, Service: "findings", Rate: 5000, Count: 60,
		Duration: time.Minute, Keys: 10, Skew: 1.1, KeyPrefix: "door-", Kinds: kinds, Flight: 60,
		Timeout: time.Second, Resends: 2, Seed: 1,
	}
}

func TestEveryArrivalHasOneOutcome(t *testing.T) {
	server := httptest.NewServer(&router{runCounter: responder.NewRunCounter()})
	defer server.Close()
	report, err := loader.Run(t.Context(), settings(server.URL,
		loader.Kind{Name: "read", Method: "GET", Route: "findings", Weight: 1},
		loader.Kind{Name: "busy", Method: "GET", Route: "refused", Weight: 1},
		loader.Kind{Name: "mixed-up", Method: "GET", Route: "foreign", Weight: 1},
	), networker.TCP{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Total, qt.Equals, 60)
	sum := 0
	for _, row := range report.Outcomes {
		sum += row.Count
		qt.Check(t, row.Outcome, qt.Equals, map[string]messenger.Outcome{
			"read": "done", "busy": "refused", "mixed-up": loader.OutcomeForeign,
		}[row.Kind])
	}
	qt.Assert(t, sum, qt.Equals, 60)
	qt.Assert(t, report.Unavailable.Worst > 0, qt.IsTrue) // foreign responses count as outages
}

func TestReportListsRepeatedRuns(t *testing.T) {
	server := httptest.NewServer(&router{runCounter: responder.NewRunCounter()})
	defer server.Close()
	report, err := loader.Run(t.Context(), settings(server.URL,
		loader.Kind{Name: "issue", Method: "POST", Route: "doubled", Weight: 1, HasIdempotencyKey: true},
	), networker.TCP{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Count(messenger.OutcomeDone), qt.Equals, 60)
	qt.Assert(t, report.Resent, qt.Equals, 1)
	qt.Assert(t, report.Repeated, qt.HasLen, 1)
	qt.Assert(t, report.Repeated[0].Runs, qt.Equals, 2)
}

func TestRunRejectsInvalidSettings(t *testing.T) {
	kind := loader.Kind{Name: "read", Method: "GET", Weight: 1}
	tests := []struct {
		name   string
		change func(*loader.Settings)
	}{
		{"router", func(s *loader.Settings) { s.Routers = nil }},
		{"rate", func(s *loader.Settings) { s.Rate = 1e9 }},
		{"count", func(s *loader.Settings) { s.Count = 0 }},
		{"duration", func(s *loader.Settings) { s.Duration = 2 * time.Hour }},
		{"skew", func(s *loader.Settings) { s.Skew = 1 }},
	}
	for _, test := range tests {
		invalid := settings("http://127.0.0.1:1", kind)
		test.change(&invalid)
		_, err := loader.Run(t.Context(), invalid, networker.TCP{})
		qt.Check(t, err, qt.ErrorMatches, ".*"+test.name+".*")
	}
}
