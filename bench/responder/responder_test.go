package responder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/responder"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// startServer runs a server with the given settings until the test ends.
func startServer(t *testing.T, settings responder.Settings) *responder.Server {
	settings.Name, settings.Service, settings.Listen = "d1", "findings", "127.0.0.1:0"
	settings.Work = 0
	server := responder.New(settings, networker.TCP{}, responder.NewRunCounter())
	qt.Assert(t, server.Start(t.Context()), qt.IsNil)
	t.Cleanup(server.Kill)
	return server
}

// send sends a request with the given headers, each as "Name: value".
func send(t *testing.T, method, url, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

// A request with an outdated fence or a passed deadline must be refused and not counted
// as a run. A resend must be counted as a second run of the same request.
func TestResponses(t *testing.T) {
	server := startServer(t, responder.DefaultSettings())
	pastDeadline := fmt.Sprintf("%s: %d", messenger.HeaderDeadline, time.Now().Add(-time.Second).UnixMilli())
	tests := []struct {
		name, path string
		headers    []string
		status     int
		refused    messenger.Refusal
		want       responder.Result
	}{{
		name: "first", path: "/door-17/findings/3", headers: []string{"Idempotency-Key: a"}, status: 200,
		want: responder.Result{Server: "d1", Key: "door-17", Route: "findings/3", Number: "a", Runs: 1, BodyBytes: 2},
	}, {
		name: "resend", path: "/door-17/findings/3", headers: []string{"Idempotency-Key: a"}, status: 200,
		want: responder.Result{Server: "d1", Key: "door-17", Route: "findings/3", Number: "a", Runs: 2, BodyBytes: 2},
	}, {
		name: "escaped key", path: "/a%2Fb", status: 200,
		want: responder.Result{Server: "d1", Key: "a/b", Runs: 1, BodyBytes: 2},
	}, {
		name: "fence", path: "/k", headers: []string{"Marigold-Fence: 9", "Marigold-Shard: 4"}, status: 200,
		want: responder.Result{Server: "d1", Key: "k", Runs: 1, Fence: 9, BodyBytes: 2},
	}, {
		name: "old fence", path: "/k", headers: []string{"Marigold-Fence: 8", "Marigold-Shard: 4"},
		status: 412, refused: messenger.RefusalFence,
	}, {
		name: "late", path: "/k", headers: []string{pastDeadline}, status: 503, refused: messenger.RefusalDeadline,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, err := send(t, "POST", server.URL()+test.path, "{}", test.headers...)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, test.status)
			qt.Assert(t, messenger.Refusal(response.Header.Get(messenger.HeaderRefused)), qt.Equals, test.refused)
			if test.refused != "" {
				return
			}
			var got responder.Result
			qt.Assert(t, json.NewDecoder(response.Body).Decode(&got), qt.IsNil)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
	totals := server.RunCounter().Totals(false)
	qt.Assert(t, totals.Total, qt.Equals, 4)
	qt.Assert(t, totals.Runs, qt.DeepEquals, []responder.RunCount{
		{RunKey: responder.RunKey{Key: "door-17", Number: "a"}, Runs: 2},
	})
}

func TestGrantSetsFence(t *testing.T) {
	server := startServer(t, responder.DefaultSettings())
	grant := `{"shards":[{"service":"findings","shard":4,"fence":20}]}`
	_, err := send(t, "POST", server.URL()+messenger.PathGrants, grant, "Content-Type: application/json")
	qt.Assert(t, err, qt.IsNil)
	response, err := send(t, "GET", server.URL()+"/k", "", "Marigold-Fence: 19", "Marigold-Shard: 4")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusPreconditionFailed)
}

func TestShedding(t *testing.T) {
	settings := responder.DefaultSettings()
	settings.Slots, settings.Queue = 1, 1
	server := startServer(t, settings)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 2 { // one runs, one is queued
		request, err := http.NewRequestWithContext(ctx, "GET", server.URL()+"/k?work=1m", nil)
		qt.Assert(t, err, qt.IsNil)
		go func() {
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	load := messenger.ServerLoad{}
	for load.Running+load.Queued < 2 {
		response, err := send(t, "GET", server.URL()+messenger.PathLoad, "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, json.NewDecoder(response.Body).Decode(&load), qt.IsNil)
	}
	response, err := send(t, "GET", server.URL()+"/k", "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Header.Get(messenger.HeaderRefused), qt.Equals, string(messenger.RefusalShed))
}

func TestRestartAfterCrash(t *testing.T) {
	settings := responder.DefaultSettings()
	settings.Revive = time.Millisecond
	server := startServer(t, settings)
	_, err := send(t, "POST", server.URL()+"/k/"+responder.RouteCrash, "", "Idempotency-Key: a")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, server.Crashes(), qt.Equals, 1)
	for err != nil {
		_, err = send(t, "GET", server.URL()+"/k", "")
	}
	qt.Assert(t, server.RunCounter().Totals(true).Total, qt.Equals, 2)
}

func TestFreezeBlocksResponses(t *testing.T) {
	server := startServer(t, responder.DefaultSettings())
	server.Freeze()
	statuses := make(chan int)
	go func() {
		response, err := http.Get(server.URL() + "/k")
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	// The run totals can be read during a freeze.
	_, err := send(t, "GET", server.URL()+responder.PathRuns, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.RunCounter().Totals(true).Total, qt.Equals, 0)
	server.Thaw()
	qt.Assert(t, <-statuses, qt.Equals, http.StatusOK)
}

func TestAnnouncesAndLeaves(t *testing.T) {
	var shards atomic.Int64
	shards.Store(2)
	announcements := make(chan messenger.ServerRow, 16)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var row messenger.ServerRow
		_ = json.NewDecoder(r.Body).Decode(&row)
		if r.Method == http.MethodDelete {
			shards.Add(-1)
		} else {
			announcements <- row
		}
		_ = json.NewEncoder(w).Encode(messenger.AnnounceResponse{Router: "r1", Shards: int(shards.Load())})
	}))
	defer router.Close()
	settings := responder.DefaultSettings()
	settings.Router = router.URL
	server := startServer(t, settings)
	row := <-announcements
	qt.Assert(t, row, qt.Equals, messenger.ServerRow{
		Name: "d1", Service: "findings", URL: server.URL(), Slots: 6, Fences: true,
	})
	qt.Assert(t, server.Stop(t.Context()), qt.IsNil)
	qt.Assert(t, shards.Load(), qt.Equals, int64(0))
}
