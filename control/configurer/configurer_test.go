package configurer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/configurer"
	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// fakeReplica applies what is proposed to a machine of its own.
type fakeReplica struct {
	machine  *supervisor.Supervisor
	standing replicator.Standing
	index    uint64
	failure  error
}

func (f *fakeReplica) Propose(_ context.Context, command []byte) (replicator.Proposal, error) {
	if f.failure != nil {
		return replicator.Proposal{}, f.failure
	}
	f.index++
	return replicator.Proposal{Index: f.index, Result: f.machine.Apply(f.index, command)}, nil
}

func (f *fakeReplica) Query(_ context.Context, query any) (any, error) {
	answer, _ := f.machine.Query(timer.Instant{Wall: time.Hour}, f.standing, query)
	return answer, nil
}

func (f *fakeReplica) Standing() replicator.Standing { return f.standing }

func newReplica(members int) *fakeReplica {
	leader := messenger.Member{Name: "c1", Operator: "http://c1"}
	f := &fakeReplica{
		machine:  supervisor.New(supervisor.Options{Cluster: "test"}),
		standing: replicator.Standing{Name: "c1", Leading: true, Confirmed: true, Leader: leader},
	}
	for range members {
		f.standing.Members = append(f.standing.Members, leader)
	}
	return f
}

func decode(version uint64) func([]byte) (*messenger.Configuration, error) {
	return func(source []byte) (*messenger.Configuration, error) {
		if len(source) == 0 {
			return nil, errors.New("it is empty")
		}
		return &messenger.Configuration{Version: version}, nil
	}
}

func TestPut(t *testing.T) {
	other := messenger.Member{Name: "c2", Operator: "http://c2"}
	tests := []struct {
		name    string
		members int
		change  func(f *fakeReplica)
		source  string
		version uint64
		want    string
		taken   bool
	}{
		{name: "safe", members: 5, source: "a", version: 3, taken: true},
		{name: "group that is short of one", members: 4, source: "a", version: 3, taken: true},
		{name: "group too small to outlive two disks", members: 3, source: "a", version: 3, want: ".*not available.*3 members.*"},
		{name: "unreadable", members: 5, version: 3, want: "body: it is empty"},
		{name: "invalid", members: 5, source: "a", version: 0, want: "version: must be at least 1"},
		{name: "not confirmed", members: 5, change: func(f *fakeReplica) { f.standing.Confirmed = false }, source: "a", version: 3, want: ".*not available.*"},
		{name: "another leads", members: 5, change: func(f *fakeReplica) { f.standing.Leading, f.standing.Leader = false, other }, source: "a", version: 3, want: "replica c2 leads"},
		{name: "nobody leads", members: 5, change: func(f *fakeReplica) { f.standing.Leading, f.standing.Leader = false, messenger.Member{} }, source: "a", version: 3, want: ".*no leader is known"},
		{name: "result is not known", members: 5, change: func(f *fakeReplica) { f.failure = replicator.ErrUnknownResult }, source: "a", version: 3, want: ".*not available.*"},
		{name: "lost the lead meanwhile", members: 5, change: func(f *fakeReplica) { f.failure = replicator.ErrNotLeader }, source: "a", version: 3, want: ".*no leader is known"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replica := newReplica(test.members)
			if test.change != nil {
				test.change(replica)
			}
			changes := configurer.New(replica, configurer.Options{Losses: 2, Log: logger.Discard()})
			_, err := changes.Put(t.Context(), []byte(test.source), decode(test.version))
			if !test.taken {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			source, err := changes.Current(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(source), qt.Equals, test.source)
		})
	}
}

func TestOnlyAConfirmedLeaderShowsTheConfiguration(t *testing.T) {
	replica := newReplica(5)
	changes := configurer.New(replica, configurer.Options{Losses: 2, Log: logger.Discard()})
	source, err := changes.Current(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, source, qt.IsNil)
	replica.standing.Confirmed = false
	_, err = changes.Current(t.Context())
	qt.Assert(t, errors.Is(err, configurer.ErrUnavailable), qt.IsTrue)
	replica.standing.Leading, replica.standing.Leader = false, messenger.Member{Name: "c2"}
	_, err = changes.Current(t.Context())
	var moved *configurer.MovedError
	qt.Assert(t, errors.As(err, &moved), qt.IsTrue)
	qt.Assert(t, moved.Leader.Name, qt.Equals, "c2")
}
