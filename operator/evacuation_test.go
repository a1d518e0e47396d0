package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os/user"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// The commands must name the user, so that other operators see who gave an order, and
// wait until the order is in force.
func TestEvacuationCommands(t *testing.T) {
	var mu sync.Mutex
	var calls, operators []string
	mux := http.NewServeMux()
	change := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, r.Method+" "+r.URL.Path)
		operators = append(operators, r.Header.Get(messenger.HeaderOperator))
		_ = json.NewEncoder(w).Encode(messenger.Accepted{Revision: 48})
	}
	mux.HandleFunc("PUT /v1/evacuations/{domain}", change)
	mux.HandleFunc("DELETE /v1/evacuations/{domain}", change)
	mux.HandleFunc("GET /v1/progress", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(messenger.Progress{Revision: 48, Applied: 3, Sessions: 3})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	tests := []struct {
		arguments []string
		call      string
		output    string
	}{
		{[]string{"evacuate", "hobart"}, "PUT /v1/evacuations/hobart", "evacuation of hobart: accepted as revision 48\nin force on all 3 routers\n"},
		{[]string{"unevacuate", "hobart"}, "DELETE /v1/evacuations/hobart", "end of the evacuation of hobart: accepted as revision 48\nin force on all 3 routers\n"},
	}
	current, err := user.Current()
	qt.Assert(t, err, qt.IsNil)
	for n, test := range tests {
		code, text := execute(t, server.URL, test.arguments...)
		qt.Assert(t, code, qt.Equals, exitOK)
		qt.Check(t, text, qt.Equals, "--- side ---\n"+test.output)
		qt.Check(t, calls[n], qt.Equals, test.call)
		qt.Check(t, operators[n], qt.Equals, current.Username)
	}
}

func TestEvacuationInStatusAndExplanation(t *testing.T) {
	status := sampleStatus()
	status.Evacuations = []messenger.EvacuationStatus{{Domain: "hobart", By: "ann", Since: 86_400_000, Servers: 2, Ranges: 12, Shards: 2048, Behind: 1}}
	want := "EVACUATED  BY   SINCE                    SERVERS  RANGES  SHARDS  BEHIND\n" +
		"hobart     ann  1970-01-02 00:00:00.000  2        12      2048    1\n"
	qt.Check(t, formatStatus(status), qt.Contains, want)
	explanation := sampleRangeExplanation()
	explanation.Evacuation = &messenger.EvacuationRow{Domain: "hobart", By: "ann", Since: 86_400_000}
	qt.Check(t, formatExplanation(explanation), qt.Contains, "hobart, evacuated by ann since 1970-01-02 00:00:00.000")
	explanation = sampleExplanation()
	explanation.Evacuation = &messenger.EvacuationRow{Domain: "launceston", By: "ben", Since: 86_400_000}
	qt.Check(t, formatExplanation(explanation), qt.Contains, "launceston, evacuated by ben since")
}
