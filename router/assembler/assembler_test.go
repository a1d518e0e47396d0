package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
	"marigoldhill/router/assembler"
)

// fakeControl grants one shard to the router once its server is ready, and moves it
// when the router is leaving.
type fakeControl struct {
	mu         sync.Mutex
	revision   uint64
	row        messenger.ShardRow
	heartbeats []messenger.Heartbeat
}

func (c *fakeControl) respond(heartbeat *messenger.Heartbeat) (*messenger.HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeats = append(c.heartbeats, *heartbeat)
	before := c.row
	switch {
	case len(heartbeat.Released) > 0:
		c.row = messenger.ShardRow{Service: "findings"}
	case heartbeat.Leaving && c.row.Phase == messenger.PhaseOwned:
		c.row.Phase = messenger.PhaseMoving
	case heartbeat.State == messenger.ServerReady && !heartbeat.Leaving && c.row.Owner == 0:
		c.row = messenger.ShardRow{Service: "findings", Phase: messenger.PhaseOwned, Owner: 1, Fence: 7}
	}
	if before.Phase != c.row.Phase || c.revision == 0 {
		c.revision++
	}
	return &messenger.HeartbeatResponse{
		Status: messenger.HeartbeatRenewed, Session: 1, Sequence: heartbeat.Sequence,
		Delta: &messenger.TableDelta{
			Full: true, To: c.revision,
			Sessions: []messenger.SessionRow{{Session: 1, Router: "r1", Address: "r1:2"}},
			Shards:   []messenger.ShardRow{c.row},
			Services: []messenger.Service{{Name: "findings", Shards: 1, Routes: []messenger.Route{{Profile: "read"}}}},
			Profiles: []messenger.Profile{{
				Name: "read", Class: messenger.ClassInteractive, Idempotent: true, Deadline: 10 * time.Second, Queue: 10, Share: 1, Weight: 1,
			}},
		},
	}, nil
}

// startServer starts an HTTP server at an address of the in-memory network.
func startServer(t *testing.T, simulatedNetwork *disrupter.SimulatedNetwork, address string, handler http.HandlerFunc) {
	socket, err := simulatedNetwork.Node("r1").Listen(address)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
}

// startProcess starts a router with a control group and the server of its service, and
// waits until it owns its shard. It returns a client of the router too.
func startProcess(t *testing.T, network *disrupter.SimulatedNetwork, group *fakeControl) (*assembler.Process, *http.Client) {
	hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleControl, Name: "c1"}
	control, err := linker.Listen(network.Node("c1"), "c1:1", linker.Options{
		Hello: hello,
		Handler: func(_ context.Context, _ *linker.Link, stream *linker.Stream) {
			_ = linker.Respond(stream, group.respond)
		},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = control.Close() })
	settings := assembler.Settings{
		Version: parser.Version, Cluster: "test", Name: "r1", Domain: "d1", Region: "tas",
		Listen: "r1:1", Peer: "r1:2", Backend: "r1:3", Operator: "r1:4", Control: []string{"c1:1"},
	}
	field, reason := settings.Check()
	qt.Assert(t, field+reason, qt.Equals, "")
	process, err := assembler.New(settings, assembler.Options{Network: network.Node("r1"), Log: logger.Discard(), Metrics: metrics.NewSet()})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, process.Start(t.Context()), qt.IsNil)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Node("r1").Dial(ctx, address)
	}}
	client := &http.Client{Transport: transport}
	row, _ := json.Marshal(messenger.ServerRow{Name: "d1", Service: "findings", URL: "http://r1:9", Slots: 2, Fences: true})
	response, err := client.Post(process.BackendURL()+messenger.PathAnnounce, "application/json", bytes.NewReader(row))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	_ = response.Body.Close()
	time.Sleep(time.Second)
	return process, client
}

// Guards against answers that were handed to a link and are lost when their router stops.
func TestStopWaitsForAnswersOnTheirWayToOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 200_000
		network := disrupter.New(time.Millisecond)
		startServer(t, network, "r1:9", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/door/large" {
				_, _ = w.Write(make([]byte, size))
				return
			}
			_, _ = io.WriteString(w, `{"state":"ready"}`)
		})
		process, _ := startProcess(t, network, &fakeControl{row: messenger.ShardRow{Service: "findings"}})
		network.SetRate("r1", 100_000)
		hello := messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r2"}
		pool := linker.NewPool(network.Node("r2"), linker.Options{Hello: hello})
		defer pool.Close()
		stream, err := pool.Open(t.Context(), process.PeerAddress(), messenger.KindForward)
		qt.Assert(t, err, qt.IsNil)
		request := &messenger.Request{Number: "n1", Service: "findings", Key: "door", Route: "large", Method: http.MethodGet, Length: 0, Timeout: 5 * time.Second}
		qt.Assert(t, stream.Send(request), qt.IsNil)
		qt.Assert(t, stream.CloseWrite(), qt.IsNil)
		received := make(chan int64, 1)
		go func() {
			var response messenger.Response
			_ = stream.Receive(&response)
			read, err := io.Copy(io.Discard, stream)
			if err != nil {
				read = -1
			}
			received <- read
		}()
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, process.Stop(t.Context()), qt.IsNil)
		qt.Assert(t, <-received, qt.Equals, int64(size))
	})
}

// TestDrainWithRequestInFlight stops a router while a request is in flight. The caller
// must receive the complete response, the shard must be released only after it, and the
// session must be closed.
func TestDrainWithRequestInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := disrupter.New(time.Millisecond)
		group := &fakeControl{row: messenger.ShardRow{Service: "findings"}}
		var mu sync.Mutex
		var calls []string
		startServer(t, simulatedNetwork, "r1:9", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/door/slow" {
				time.Sleep(3 * time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			if r.URL.Path != messenger.PathHealth {
				calls = append(calls, r.URL.Path)
			}
			_, _ = io.WriteString(w, `{"state":"ready"}`)
		})

		process, client := startProcess(t, simulatedNetwork, group)

		responses := make(chan string, 1)
		go func() {
			response, err := client.Get(process.CallerURL() + "/v1/findings/door/slow")
			if err != nil {
				responses <- err.Error()
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				responses <- err.Error()
				return
			}
			responses <- response.Header.Get(messenger.HeaderOutcome) + " " + string(body)
		}()
		time.Sleep(time.Second)
		stopStarted := time.Now()
		qt.Assert(t, process.Stop(t.Context()), qt.IsNil)
		qt.Assert(t, <-responses, qt.Equals, `done {"state":"ready"}`)
		qt.Assert(t, time.Since(stopStarted) < 3*time.Second, qt.IsTrue, qt.Commentf("stopping took %v", time.Since(stopStarted)))

		group.mu.Lock()
		defer group.mu.Unlock()
		last := group.heartbeats[len(group.heartbeats)-1]
		qt.Assert(t, last.Close, qt.IsTrue)
		qt.Assert(t, group.row.Owner, qt.Equals, uint64(0))
		mu.Lock()
		defer mu.Unlock()
		qt.Assert(t, calls, qt.DeepEquals, []string{messenger.PathGrants, "/door/slow", messenger.PathRevokes})
	})
}

func TestSettings(t *testing.T) {
	valid := assembler.Settings{
		Version: parser.Version, Cluster: "test", Name: "r1", Domain: "d1", Region: "tas",
		Listen: "127.0.0.1:1", Peer: "127.0.0.1:2", Backend: "127.0.0.1:3", Operator: "127.0.0.1:4",
		Control: []string{"127.0.0.1:5"},
	}
	tests := []struct {
		field  string
		change func(s *assembler.Settings)
	}{
		{"", func(*assembler.Settings) {}},
		{"version", func(s *assembler.Settings) { s.Version = 99 }},
		{"name", func(s *assembler.Settings) { s.Name = "Router 1" }},
		{"domain", func(s *assembler.Settings) { s.Domain = "" }},
		{"listen", func(s *assembler.Settings) { s.Listen = "8000" }},
		{"peer", func(s *assembler.Settings) { s.Peer = "0.0.0.0:2" }},
		{"control", func(s *assembler.Settings) { s.Control = nil }},
		{"control[0]", func(s *assembler.Settings) { s.Control = []string{"c1"} }},
		{"grace", func(s *assembler.Settings) { s.Grace = 2 * time.Hour }},
		{"log", func(s *assembler.Settings) { s.Log = "xml" }},
	}
	for _, test := range tests {
		settings := valid
		test.change(&settings)
		field, _ := settings.Check()
		qt.Check(t, field, qt.Equals, test.field)
	}
}
