package granter_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
	"marigoldhill/router/keeper"
)

const (
	serverAddress = "vm1:9000"
	firstBorn     = int64(1000)
	secondBorn    = int64(2000)
)

// rangeServer is a backend server that refuses calls which name another server. Calls
// without a name go to any server.
type rangeServer struct {
	name string

	mu       sync.Mutex
	grants   []messenger.RangeCall
	releases []messenger.RangeCall
}

func (s *rangeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name := r.Header.Get(messenger.HeaderServer); name != "" && name != s.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call messenger.RangeCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == messenger.PathRevokes {
		s.releases = append(s.releases, call)
		return
	}
	s.grants = append(s.grants, call)
}

// granted returns how many grants the server has accepted.
func (s *rangeServer) granted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.grants)
}

// start serves on serverAddress until stop is called, which closes all connections.
func (s *rangeServer) start(t *testing.T, network *disrupter.SimulatedNetwork) (stop func()) {
	socket, err := network.Node("vm1").Listen(serverAddress)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(socket) }()
	return func() { _ = server.Close() }
}

// fixture is a holder with the range client of a router, whose lease is always valid.
type fixture struct {
	*holder.Holder
	network *disrupter.SimulatedNetwork
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{network: disrupter.New(0)}
	f.Holder = holder.New(holder.Options{
		Caller:        granter.NewRangeClient(f.network.Node("vm1"), granter.NativeRangeProtocol(), func() {}),
		Lease:         func() *keeper.Lease { return keeper.NewTestLease(7, timer.Now()) },
		LeaseDuration: messenger.LeaseDuration,
		OnChange:      func() {},
		Log:           logger.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

func serverRow(name string, born int64) *messenger.ServerRow {
	return &messenger.ServerRow{Name: name, Service: "findings", URL: serverAddress, Slots: 6, Born: born}
}

// grantedRows are the rows of a range that is granted to the first server.
func grantedRows() []messenger.RangeRow {
	return []messenger.RangeRow{{Service: "findings", From: 0, To: 99, Fence: 5, Life: firstBorn, Phase: messenger.PhaseOwned}}
}

// TestRestartedServerTakesNoGrantOfItsPredecessor restarts the server at its address
// under another name. Until the router learns of it, it renews the grant of the
// predecessor.
func TestRestartedServerTakesNoGrantOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, second := &rangeServer{name: "d1"}, &rangeServer{name: "d2"}
		stop := first.start(t, f.network)
		f.SetRows(grantedRows(), serverRow("d1", firstBorn), messenger.ServerReady)
		time.Sleep(2 * time.Second)
		qt.Assert(t, first.granted() >= 2, qt.IsTrue)
		stop()
		stop = second.start(t, f.network)
		defer stop()
		time.Sleep(2 * time.Second)
		qt.Check(t, second.granted(), qt.Equals, 0)
		f.SetRows(grantedRows(), serverRow("d2", secondBorn), messenger.ServerReady)
		time.Sleep(time.Second)
		qt.Check(t, second.granted(), qt.Equals, 0)
		qt.Check(t, f.Freed(), qt.DeepEquals, []messenger.RangeRef{{Service: "findings", From: 0, To: 99, Fence: 5}})
	})
}

// TestOpenConnectionsAreCounted checks that the client knows whether a connection to the
// server is open: the server keeps one after a call, and closes it when it ends.
func TestOpenConnectionsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := disrupter.New(0)
		client := granter.NewRangeClient(network.Node("vm1"), granter.NativeRangeProtocol(), func() {})
		qt.Check(t, client.IsConnected(), qt.IsFalse)
		server := &rangeServer{name: "d1"}
		stop := server.start(t, network)
		result, err := client.Grant(t.Context(), serverAddress, &holder.Call{Server: "d1", To: 99, Fence: 5})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, result, qt.Equals, holder.Accepted)
		synctest.Wait()
		qt.Check(t, client.IsConnected(), qt.IsTrue)
		stop()
		synctest.Wait()
		qt.Check(t, client.IsConnected(), qt.IsFalse)
	})
}

// TestRefusedCallIsReported calls a server whose port refuses connections.
func TestRefusedCallIsReported(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, socket.Close(), qt.IsNil)
	refused := 0
	client := granter.NewRangeClient(networker.TCP{}, granter.NativeRangeProtocol(), func() { refused++ })
	for range 2 {
		result, err := client.Grant(t.Context(), socket.Addr().String(), &holder.Call{Server: "d1", To: 99, Fence: 5})
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, result, qt.Equals, holder.NotSent)
	}
	qt.Check(t, refused, qt.Equals, 2)
}
