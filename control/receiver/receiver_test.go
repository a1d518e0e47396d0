package receiver_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/receiver"
	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// fakeReplica returns the same response to all queries.
type fakeReplica struct {
	response  any
	failure   error
	committed [][]byte
}

func (f *fakeReplica) Query(context.Context, any) (any, error) { return f.response, nil }

func (f *fakeReplica) Propose(_ context.Context, command []byte) (replicator.Proposal, error) {
	if f.failure != nil {
		return replicator.Proposal{}, f.failure
	}
	f.committed = append(f.committed, command)
	return replicator.Proposal{}, nil
}

// serveOnLoopback starts a receiver for replica on a loopback address. It returns a
// pool for connecting to it and the address.
func serveOnLoopback(t testing.TB, replica *fakeReplica) (*linker.Pool, string) {
	hello := func(role messenger.Role) messenger.Hello {
		return messenger.Hello{Cluster: "test", Version: messenger.Version, Role: role, Name: "x"}
	}
	handler := receiver.New(replica, receiver.Options{})
	server, err := linker.Listen(networker.TCP{}, "127.0.0.1:0", linker.Options{Hello: hello(messenger.RoleControl), Handler: handler.Handle})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: hello(messenger.RoleRouter)})
	t.Cleanup(pool.Close)
	return pool, server.Address()
}

// TestHeartbeatResponseIsUnchanged checks that a response with a cached encoding of its
// delta decodes to the response of the state machine.
func TestHeartbeatResponseIsUnchanged(t *testing.T) {
	delta := &messenger.TableDelta{Full: true, To: 7, Shards: []messenger.ShardRow{{Service: "findings", Shard: 3, Owner: 5, Fence: 7}}}
	tests := []*messenger.HeartbeatResponse{
		{Status: messenger.HeartbeatRenewed, Session: 5, Sequence: 9, Delta: delta, More: true},
		{Status: messenger.HeartbeatRenewed, Session: 6, Sequence: 2, Delta: delta},
		{Status: messenger.HeartbeatRenewed, Session: 6, Sequence: 3, Members: []string{"127.0.0.1:7", "127.0.0.1:8"}},
		{Status: messenger.HeartbeatRedirect, Leader: "127.0.0.1:9"},
	}
	replica := &fakeReplica{}
	pool, address := serveOnLoopback(t, replica)
	for _, want := range tests {
		replica.response = want
		got, err := linker.Call[messenger.Heartbeat, messenger.HeartbeatResponse](
			t.Context(), pool, address, messenger.KindHeartbeat, &messenger.Heartbeat{Router: "r1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	}
}

func TestReportIsAcceptedOnceCommitted(t *testing.T) {
	tests := []struct {
		name        string
		replica     *fakeReplica
		want        *messenger.ReportResponse
		wantCommits int
	}{
		{name: "leader", replica: &fakeReplica{response: &supervisor.ReportProposal{Command: []byte("x")}}, want: &messenger.ReportResponse{Accepted: true}, wantCommits: 1},
		{name: "follower", replica: &fakeReplica{response: &supervisor.NotLeader{Leader: messenger.Member{Address: "c2"}}}, want: &messenger.ReportResponse{Leader: "c2"}},
		{name: "closed session", replica: &fakeReplica{response: &messenger.ReportResponse{}}, want: &messenger.ReportResponse{}},
		{name: "not committed", replica: &fakeReplica{response: &supervisor.ReportProposal{}, failure: errors.New("lost")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, address := serveOnLoopback(t, test.replica)
			got, err := linker.Call[messenger.Report, messenger.ReportResponse](
				t.Context(), pool, address, messenger.KindReport, &messenger.Report{Session: 1})
			qt.Assert(t, err == nil, qt.Equals, test.want != nil)
			qt.Assert(t, got, qt.DeepEquals, test.want)
			qt.Assert(t, test.replica.committed, qt.HasLen, test.wantCommits)
		})
	}
}
