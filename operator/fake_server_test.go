package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"marigoldhill/kernel/messenger"
)

// fakeServer is an operator interface with fixed responses.
type fakeServer struct {
	mu sync.Mutex
	// idempotencyKeys holds the Idempotency-Key of each request for a change, in order.
	idempotencyKeys []string
	// lostResponses is the number of changes that are still to be applied with their
	// response lost: the connection is closed instead.
	lostResponses  int
	appliedChanges int
	// progressReads counts the requests for the progress of a change.
	progressReads int
}

// start starts the server and returns its base URL.
func (f *fakeServer) start(t *testing.T) string {
	mux := http.NewServeMux()
	respond := func(path string, value any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", `"17"`)
			_ = json.NewEncoder(w).Encode(value)
		})
	}
	respond("/v1/status", sampleStatus())
	respond("/v1/profiles", []messenger.VersionedValue[messenger.Profile]{{Revision: 17, Value: sampleProfile()}})
	respond("/v1/profiles/lookup", sampleProfile())
	respond("/v1/services", []messenger.VersionedValue[messenger.Service]{{Revision: 17, Value: sampleService()}})
	respond("/v1/services/findings", sampleService())
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		explanation := sampleExplanation()
		if r.URL.Query().Get("service") == "desk" {
			explanation = sampleRangeExplanation()
		}
		_ = json.NewEncoder(w).Encode(explanation)
	})
	respond("/v1/events", sampleExplanation().History)
	respond("/v1/members", sampleStatus().Members)
	respond("/v1/quarantines", []messenger.QuarantineRow{{
		Fingerprint: "00ff00ff00ff00ff", Service: "findings", Key: "door-17", Route: "crash", Since: 1000,
	}})
	mux.HandleFunc("GET /v1/progress", f.progress)
	mux.HandleFunc("PUT /v1/profiles/lookup", f.change)
	mux.HandleFunc("PUT /v1/drains/d1", f.change)
	mux.HandleFunc("PUT /v1/configuration", f.change)
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, r *http.Request) {
		http.ServeFile(w, r, "testdata/routes.yaml")
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		problem(w, messenger.Problem{Title: "not found", Status: http.StatusNotFound})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// change accepts changes that are unconditional or based on revision 17. Consecutive
// requests with the same Idempotency-Key count as one change.
func (f *fakeServer) change(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	idempotencyKey := r.Header.Get(messenger.HeaderIdempotencyKey)
	if match := r.Header.Get("If-Match"); match != "" && match != `"17"` {
		problem(w, messenger.Problem{
			Title: "changed meanwhile", Status: http.StatusPreconditionFailed, Revision: 17,
			Current: map[string]any{"name": "lookup", "retries": 3},
		})
		return
	}
	if len(f.idempotencyKeys) == 0 || f.idempotencyKeys[len(f.idempotencyKeys)-1] != idempotencyKey {
		f.appliedChanges++
	}
	f.idempotencyKeys = append(f.idempotencyKeys, idempotencyKey)
	if f.lostResponses > 0 {
		f.lostResponses--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(messenger.Accepted{Revision: 18})
}

func (f *fakeServer) progress(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressReads++
	_ = json.NewEncoder(w).Encode(messenger.Progress{Revision: 18, Applied: min(f.progressReads, 2), Sessions: 2})
}

func problem(w http.ResponseWriter, problem messenger.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

func sampleProfile() messenger.Profile {
	return messenger.Profile{
		Name: "lookup", Class: messenger.ClassInteractive, Idempotent: true,
		Deadline: 2 * time.Second, Retries: 2, Queue: 100, Share: 1, Weight: 10,
	}
}

func sampleService() messenger.Service {
	return messenger.Service{
		Name: "findings", Shards: 4096, Unavailable: 60, Imbalance: 30, Churn: 10, Recorders: 2,
		Scarce: "refuse", Retention: 10 * time.Minute,
		Routes: []messenger.Route{{Profile: "lookup"}, {Prefix: "certificates", Method: "POST", Profile: "issue"}},
	}
}

func sampleStatus() messenger.Status {
	return messenger.Status{
		Cluster: "derwent", Replica: "c1", Leader: "c1", Term: 3, Revision: 17, Quarantines: 1,
		Members: []messenger.MemberStatus{
			{Name: "c1", Address: "10.0.0.1:7000", Operator: "http://10.0.0.1:7102", Leader: true, Match: 40},
			{Name: "c2", Address: "10.0.0.2:7000", Operator: "http://10.0.0.2:7102", Match: 39, Silence: 12 * time.Millisecond},
		},
		Sessions: []messenger.SessionStatus{
			{Router: "r2", Domain: "hobart", Server: "d2", Service: "findings", State: messenger.ServerReady, Shards: 2048, Rate: 20.25, Revision: 17},
			{Router: "r3", Domain: "hobart", Server: "d3", Service: "desk", State: messenger.ServerReady, Ranges: 12, Failing: 0.25, Revision: 17},
			{Router: "r1", Domain: "launceston", Server: "d1", Service: "findings", State: messenger.ServerReady, Leaving: true, Shards: 2048, Moving: 7, Revision: 16},
		},
		Services: []messenger.ServiceStatus{{
			Name: "findings", Shards: 4096, Moving: 7, Servers: 2, Imbalance: 1.5, Churn: 0.25,
			UnavailableWorst: 1712 * time.Millisecond, UnavailableTotal: 3 * time.Second,
		}},
	}
}

func sampleExplanation() messenger.Explanation {
	return messenger.Explanation{
		Service: "findings", Key: "door-17", Shard: 1234, Phase: "owned", Router: "r1", Server: "d1",
		Domain: "launceston", Fence: 38, Since: 86_400_000, Why: "least loaded domain", Recorders: []string{"r2", "r3"},
		History: []messenger.ClusterEvent{{Revision: 38, Time: 86_400_000, Number: 240, Subject: "findings/1234", Text: "granted to r1"}},
	}
}

func sampleRangeExplanation() messenger.Explanation {
	return messenger.Explanation{
		Service: "desk", Key: "4711", Phase: "moving", Router: "r3", Server: "d3", Domain: "hobart",
		Fence: 38, Since: 86_400_000, Why: "4096 keys in 1 ranges: load",
		Range: &messenger.RangeExplanation{
			From: 4096, To: 8191, Next: "r4", Rate: 31.5, KeyRate: 2, Pace: 120 * time.Millisecond, Failing: 0.25,
		},
		History: []messenger.ClusterEvent{{Revision: 38, Time: 86_400_000, Number: 243, Subject: "desk", Text: "4096 keys in 1 ranges: load"}},
	}
}
