package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/launcher"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/operator/requester"
)

const networkDelay = 500 * time.Microsecond

// runPlayground starts a playground over an in-memory network in a synctest bubble,
// calls test and shuts the playground down gracefully.
func runPlayground(t *testing.T, test func(t *testing.T, cluster *launcher.Cluster)) {
	runPlaygroundWith(t, func(*launcher.Settings) {}, test)
}

// runPlaygroundWith is runPlayground with settings that adjust has changed.
func runPlaygroundWith(t *testing.T, adjust func(settings *launcher.Settings), test func(t *testing.T, cluster *launcher.Cluster)) {
	data := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		plan, err := launcher.Playground()
		qt.Assert(t, err, qt.IsNil)
		simulatedNetwork := disrupter.New(networkDelay)
		settings := launcher.DefaultSettings(plan, data)
		settings.Host = func(node string) string { return node }
		settings.Network = func(node string) networker.Network { return simulatedNetwork.Node(node) }
		adjust(&settings)
		cluster, err := launcher.New(settings)
		qt.Assert(t, err, qt.IsNil)

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		qt.Assert(t, cluster.Start(ctx), qt.IsNil)
		defer func() { qt.Check(t, cluster.Stop(ctx), qt.IsNil) }()
		test(t, cluster)
	})
}

// sendUntilDone sends a request through router i until its outcome is done, and returns
// the result.
func sendUntilDone(t *testing.T, cluster *launcher.Cluster, i int, method, path, idempotencyKey string) responder.Result {
	url := cluster.Routers[i].Process().CallerURL() + "/v1/findings/" + path
	lastFailure := ""
	for range 100 {
		request, err := http.NewRequestWithContext(t.Context(), method, url, nil)
		qt.Assert(t, err, qt.IsNil)
		if idempotencyKey != "" {
			request.Header.Set(messenger.HeaderIdempotencyKey, idempotencyKey)
		}
		response, err := cluster.Client().Do(request)
		qt.Assert(t, err, qt.IsNil)
		var result responder.Result
		err = json.NewDecoder(response.Body).Decode(&result)
		_ = response.Body.Close()
		if response.Header.Get(messenger.HeaderOutcome) == string(messenger.OutcomeDone) {
			qt.Assert(t, err, qt.IsNil)
			return result
		}
		lastFailure = response.Status + " " + response.Header.Get(messenger.HeaderReason)
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s was not served: %s", path, lastFailure)
	return responder.Result{}
}

func TestEachKeyIsServedByOneServer(t *testing.T) {
	runPlayground(t, func(t *testing.T, cluster *launcher.Cluster) {
		for key := range 20 {
			path := fmt.Sprintf("door-%d/findings", key)
			first := sendUntilDone(t, cluster, 0, http.MethodGet, path, "")
			for i := range cluster.Routers {
				qt.Assert(t, sendUntilDone(t, cluster, i, http.MethodGet, path, ""), qt.Equals, first)
			}
		}
	})
}

// Of two concurrent changes with the same If-Match, one must be refused with 412, and
// its response must contain the value that the other stored.
func TestConcurrentChangesConflict(t *testing.T) {
	runPlayground(t, func(t *testing.T, cluster *launcher.Cluster) {
		const path = "/v1/profiles/lookup"
		operator := cluster.Requester()
		got, err := requester.Get[messenger.Profile](t.Context(), operator, path)
		qt.Assert(t, err, qt.IsNil)
		errs := make(chan error)
		for _, retries := range []int{4, 5} {
			go func() {
				profile := got.Value
				profile.Retries = retries
				_, err := operator.Change(t.Context(), requester.Change{
					Method: http.MethodPut, Path: path, Body: profile, IfMatch: got.ETag,
				})
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first, second = second, first
		}
		qt.Assert(t, second, qt.IsNil)
		var refusal *requester.Refusal
		qt.Assert(t, first, qt.ErrorAs, &refusal)
		qt.Assert(t, refusal.Problem.Status, qt.Equals, http.StatusPreconditionFailed)
		stored, err := requester.Get[messenger.Profile](t.Context(), operator, path)
		qt.Assert(t, err, qt.IsNil)
		current := refusal.Problem.Current.(map[string]any)
		qt.Assert(t, current["retries"], qt.Equals, float64(stored.Value.Retries))
	})
}

func TestRestartOfControlReplicasKeepsState(t *testing.T) {
	runPlayground(t, func(t *testing.T, cluster *launcher.Cluster) {
		for i, node := range cluster.Controls {
			profile := messenger.Profile{
				Name: fmt.Sprintf("profile-%d", i), Class: messenger.ClassInteractive,
				Deadline: time.Second, Share: 1, Weight: 1,
			}
			change := requester.Change{Method: http.MethodPut, Path: "/v1/profiles/" + profile.Name, Body: profile}
			_, err := cluster.Requester().Change(t.Context(), change)
			qt.Assert(t, err, qt.IsNil)
			before := sendUntilDone(t, cluster, 0, http.MethodGet, "door-1/findings", "")
			qt.Assert(t, node.Restart(t.Context()), qt.IsNil)
			// A restart of a control replica must not change the owner of a key.
			qt.Assert(t, sendUntilDone(t, cluster, 0, http.MethodGet, "door-1/findings", ""), qt.Equals, before)
		}
		got, err := requester.Get[[]messenger.VersionedValue[messenger.Profile]](t.Context(), cluster.Requester(), "/v1/profiles")
		qt.Assert(t, err, qt.IsNil)
		names := make(map[string]bool)
		for _, row := range got.Value {
			names[row.Value.Name] = true
		}
		for i := range cluster.Controls {
			qt.Assert(t, names[fmt.Sprintf("profile-%d", i)], qt.IsTrue)
		}
	})
}

// The keys of a lost VM must be served by another server, with a higher fence, within
// 3 s.
func TestFailoverOfServerAndRouter(t *testing.T) {
	runPlayground(t, func(t *testing.T, cluster *launcher.Cluster) {
		owner := sendUntilDone(t, cluster, 0, http.MethodGet, "door-1/findings", "")
		failedIndex := 0
		for i, server := range cluster.Servers {
			if server.Name() == owner.Server {
				failedIndex = i
			}
		}
		started := time.Now()
		cluster.Servers[failedIndex].Kill()
		cluster.Routers[failedIndex].Kill()
		newOwner := sendUntilDone(t, cluster, (failedIndex+1)%len(cluster.Routers), http.MethodGet, "door-1/findings", "")
		qt.Assert(t, newOwner.Server, qt.Not(qt.Equals), owner.Server)
		qt.Assert(t, newOwner.Fence > owner.Fence, qt.IsTrue)
		qt.Assert(t, time.Since(started) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
	})
}
