package matrix

import (
	"context"
	"net/http"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/requester"
)

// Activity is what the cluster does when a fault is injected.
type Activity struct {
	Name   string
	Points []InjectionPoint
	// Prepare runs before the load starts, Begin right after the injector is
	// armed.
	Prepare func(ctx context.Context, harness *Harness) error
	Begin   func(ctx context.Context, harness *Harness) error
}

// Activities lists all activities of the matrix.
func Activities() []Activity {
	return []Activity{
		{
			Name: "request",
			Points: []InjectionPoint{
				pointRequestStart, pointRequestEnd, pointResponseStart, pointResponseEnd, pointRecordRequest, pointRecordResponse,
				pointHeartbeat, pointHeartbeatResponse,
			},
		},
		{
			Name:   "takeover",
			Points: []InjectionPoint{pointLeaderToReplica, pointReplicaToLeader, pointHeartbeatResponse, pointRecoverRequest, pointRecoverResponse, pointRecordRequest},
			Begin:  killOwner,
		},
		{
			Name:   "drain",
			Points: []InjectionPoint{pointLeaderToReplica, pointHeartbeat, pointHeartbeatResponse, pointRecoverRequest, pointRecoverResponse},
			Begin:  drainOwner,
		},
		{
			Name:   "shutdown",
			Points: []InjectionPoint{pointLeaderToReplica, pointHeartbeat, pointHeartbeatResponse, pointRecoverRequest},
			Begin:  stopOwner,
		},
		{
			Name:    "join",
			Points:  []InjectionPoint{pointLeaderToReplica, pointHeartbeat, pointHeartbeatResponse, pointRecoverRequest},
			Prepare: func(_ context.Context, h *Harness) error { h.Kill(joiningRouter, 0); return nil },
			Begin:   func(ctx context.Context, h *Harness) error { return h.Restart(ctx, joiningRouter) },
		},
		{
			Name:   "configuration",
			Points: []InjectionPoint{pointLeaderToReplica, pointReplicaToLeader, pointHeartbeatResponse},
			Begin:  changeProfile,
		},
		{
			Name:   "election",
			Points: []InjectionPoint{pointBetweenReplicas, pointHeartbeat, pointHeartbeatResponse},
			Begin:  killCurrentLeader,
		},
		{
			Name:    "catch-up",
			Points:  []InjectionPoint{pointLeaderToReplica, pointReplicaToLeader},
			Prepare: makeReplicaLag,
			Begin:   restartReplicas,
		},
	}
}

const (
	// joiningRouter is the router that joins under load.
	joiningRouter = "r5"
	// missedChanges is how many changes a replica misses before it restarts.
	missedChanges = 40
	// targetKey is the key whose owner is killed, drained or stopped.
	targetKey = "door-0"
	// changedProfile is the name of the profile that is changed.
	changedProfile = "archive"
)

func killOwner(ctx context.Context, h *Harness) error {
	owner, err := h.Owner(ctx, targetKey)
	if err != nil {
		return err
	}
	h.Kill(owner, 0)
	return nil
}

func drainOwner(ctx context.Context, h *Harness) error {
	explanation, err := h.explain(ctx, targetKey)
	if err != nil {
		return err
	}
	go func() {
		change := requester.Change{Method: http.MethodPut, Path: "/v1/drains/" + explanation.Server}
		if _, err := h.Cluster.Requester().Change(ctx, change); err == nil {
			h.History.AddDrain(Drain{Server: explanation.Server, At: h.History.Now()})
		}
	}()
	return nil
}

// stopOwner shuts down the router of targetKey's owner gracefully and then stops the
// VM, as for maintenance.
func stopOwner(ctx context.Context, h *Harness) error {
	owner, err := h.Owner(ctx, targetKey)
	if err != nil {
		return err
	}
	go h.Shutdown(ctx, owner)
	return nil
}

func killCurrentLeader(ctx context.Context, h *Harness) error {
	h.Kill(h.Leader(ctx), 0)
	return nil
}

// changeProfile changes a profile and records when the change was acknowledged.
func changeProfile(ctx context.Context, h *Harness) error {
	go func() {
		// If the call fails, the change is not acknowledged, so nothing is
		// guaranteed about it.
		_ = h.PutProfile(ctx, 1)
	}()
	return nil
}

// PutProfile creates a profile or changes its queue length, and records the
// acknowledged revision.
func (h *Harness) PutProfile(ctx context.Context, queue int) error {
	profile := messenger.Profile{
		Name: changedProfile, Class: messenger.ClassBackground, Idempotent: true,
		Deadline: time.Minute, Queue: queue, Share: 0.5, Weight: 1,
	}
	path := "/v1/profiles/" + changedProfile
	change := requester.Change{Method: http.MethodPut, Path: path, Body: profile}
	if got, err := requester.Get[messenger.Profile](ctx, h.Cluster.Requester(), path); err == nil {
		change.IfMatch = got.ETag
	}
	accepted, err := h.Cluster.Requester().Change(ctx, change)
	if err != nil {
		return Error.New("changing the profile: %w", err)
	}
	h.History.AddChange(Change{Revision: accepted.Revision, At: h.History.Now()})
	return nil
}

// makeReplicaLag kills a follower and then makes missedChanges changes, which the
// follower misses.
func makeReplicaLag(ctx context.Context, h *Harness) error {
	h.Kill(h.follower(ctx), 0)
	for i := range missedChanges {
		if err := h.PutProfile(ctx, i+1); err != nil {
			return err
		}
	}
	return nil
}

// follower returns a control VM other than the leader.
func (h *Harness) follower(ctx context.Context) string {
	leader := h.Leader(ctx)
	for _, node := range h.Cluster.Controls {
		if node.Name() != leader {
			return node.Name()
		}
	}
	return ""
}

func restartReplicas(ctx context.Context, h *Harness) error {
	for _, node := range h.Cluster.Controls {
		if err := h.Restart(ctx, node.Name()); err != nil {
			return err
		}
	}
	return nil
}
