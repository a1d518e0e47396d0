package enroller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// fakeReplica is a leader whose members do not change.
type fakeReplica struct {
	raftStatus replicator.RaftStatus
}

func (r *fakeReplica) RaftStatus() replicator.RaftStatus { return r.raftStatus }

func (*fakeReplica) AddMember(context.Context, messenger.Member) (uint64, error) { return 0, nil }

func (*fakeReplica) RemoveMember(context.Context, string) (uint64, error) { return 0, nil }

// A wall clock of the leader that is set forward must not make a member that responds
// look unreachable, or it would be replaced by a replica that asks to join.
func TestWallClockStepMakesNoMemberUnreachable(t *testing.T) {
	tests := []struct {
		name     string
		silence  time.Duration
		wallStep time.Duration
		want     Step
	}{
		{"responding member", 50 * time.Millisecond, 10 * time.Second, Step{}},
		{"member that is silent for a second", time.Second, 10 * time.Second, Step{}},
		{"unreachable member", replaceAfter, 0, Step{Remove: "b"}},
		{"unreachable member, wall clock set back", replaceAfter, -10 * time.Second, Step{Remove: "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				elected := timer.Now()
				time.Sleep(time.Minute)
				contact := timer.Now()
				replica := &fakeReplica{raftStatus: replicator.RaftStatus{
					Name:     "a",
					Since:    elected,
					Members:  []messenger.Member{{Name: "a", Address: "1"}, {Name: "b", Address: "2"}, {Name: "c", Address: "3"}},
					Progress: map[string]replicator.Progress{"b": {LastContact: contact}},
				}}
				time.Sleep(test.silence)
				timer.StepWallClock(test.wallStep)
				defer timer.StepWallClock(-test.wallStep)
				enroller := New(Settings{ToleratedLosses: 1}, Options{Replica: replica})
				step := NextStep(enroller.group(), messenger.Member{Name: "d", Address: "4"})
				qt.Assert(t, step, qt.Equals, test.want)
			})
		})
	}
}
