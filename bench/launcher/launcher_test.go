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

const latency = 500 * time.Microsecond

// run starts a playground over an in-memory network in a bubble, calls test and
// stops it in order.
func run(t *testing.T, test func(t *testing.T, cluster *launcher.Cluster)) {
	data := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		plan, err := launcher.Playground()
		qt.Assert(t, err, qt.IsNil)
		world := disrupter.New(latency)
		settings := launcher.Defaults(plan, data)
		settings.Host = func(node string) string { return node }
		settings.Network = func(node string) networker.Network { return world.Node(node) }
		cluster, err := launcher.New(settings)
		qt.Assert(t, err, qt.IsNil)

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		qt.Assert(t, cluster.Start(ctx), qt.IsNil)
		defer func() { qt.Check(t, cluster.Stop(ctx), qt.IsNil) }()
		test(t, cluster)
	})
}

// ask sends a request through router i until it is done, and returns the answer.
func ask(t *testing.T, cluster *launcher.Cluster, i int, method, path, number string) responder.Result {
	url := cluster.Routers[i].Process().CallerURL() + "/v1/findings/" + path
	last := ""
	for range 100 {
		request, err := http.NewRequestWithContext(t.Context(), method, url, nil)
		qt.Assert(t, err, qt.IsNil)
		if number != "" {
			request.Header.Set(messenger.HeaderIdempotency, number)
		}
		answer, err := cluster.Client().Do(request)
		qt.Assert(t, err, qt.IsNil)
		var result responder.Result
		err = json.NewDecoder(answer.Body).Decode(&result)
		_ = answer.Body.Close()
		if answer.Header.Get(messenger.HeaderOutcome) == string(messenger.OutcomeDone) {
			qt.Assert(t, err, qt.IsNil)
			return result
		}
		last = answer.Status + " " + answer.Header.Get(messenger.HeaderReason)
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s was not served: %s", path, last)
	return responder.Result{}
}

func TestOneServerAnswersForAKey(t *testing.T) {
	run(t, func(t *testing.T, cluster *launcher.Cluster) {
		for key := range 20 {
			path := fmt.Sprintf("door-%d/findings", key)
			first := ask(t, cluster, 0, http.MethodGet, path, "")
			for i := range cluster.Routers {
				qt.Assert(t, ask(t, cluster, i, http.MethodGet, path, ""), qt.Equals, first)
			}
		}
	})
}

func TestRacingOperatorsGetOneConflict(t *testing.T) {
	run(t, func(t *testing.T, cluster *launcher.Cluster) {
		const path = "/v1/profiles/lookup"
		operator := cluster.Requester()
		got, err := requester.Get[messenger.Profile](t.Context(), operator, path)
		qt.Assert(t, err, qt.IsNil)
		failures := make(chan error)
		for _, retries := range []int{4, 5} {
			go func() {
				profile := got.Value
				profile.Retries = retries
				_, err := operator.Change(t.Context(), requester.Change{
					Method: http.MethodPut, Path: path, Body: profile, Match: got.Tag,
				})
				failures <- err
			}()
		}
		first, second := <-failures, <-failures
		if first == nil {
			first, second = second, first
		}
		qt.Assert(t, second, qt.IsNil)
		var refusal *requester.Refusal
		qt.Assert(t, first, qt.ErrorAs, &refusal)
		qt.Assert(t, refusal.Problem.Status, qt.Equals, http.StatusPreconditionFailed)
		now, err := requester.Get[messenger.Profile](t.Context(), operator, path)
		qt.Assert(t, err, qt.IsNil)
		current := refusal.Problem.Current.(map[string]any)
		qt.Assert(t, current["retries"], qt.Equals, float64(now.Value.Retries))
	})
}

func TestRestartOfControlReplicasLosesNothing(t *testing.T) {
	run(t, func(t *testing.T, cluster *launcher.Cluster) {
		for i, node := range cluster.Controls {
			profile := messenger.Profile{
				Name: fmt.Sprintf("profile-%d", i), Class: messenger.ClassInteractive,
				Deadline: time.Second, Share: 1, Weight: 1,
			}
			change := requester.Change{Method: http.MethodPut, Path: "/v1/profiles/" + profile.Name, Body: profile}
			_, err := cluster.Requester().Change(t.Context(), change)
			qt.Assert(t, err, qt.IsNil)
			before := ask(t, cluster, 0, http.MethodGet, "door-1/findings", "")
			qt.Assert(t, node.Restart(t.Context()), qt.IsNil)
			// No key may change its owner for a restart of a control replica.
			qt.Assert(t, ask(t, cluster, 0, http.MethodGet, "door-1/findings", ""), qt.Equals, before)
		}
		got, err := requester.Get[[]messenger.Listed[messenger.Profile]](t.Context(), cluster.Requester(), "/v1/profiles")
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

func TestLossOfAServerAndItsRouter(t *testing.T) {
	run(t, func(t *testing.T, cluster *launcher.Cluster) {
		owner := ask(t, cluster, 0, http.MethodGet, "door-1/findings", "")
		lost := 0
		for i, server := range cluster.Servers {
			if server.Name() == owner.Server {
				lost = i
			}
		}
		started := time.Now()
		cluster.Servers[lost].Kill()
		cluster.Routers[lost].Kill()
		other := ask(t, cluster, (lost+1)%len(cluster.Routers), http.MethodGet, "door-1/findings", "")
		qt.Assert(t, other.Server, qt.Not(qt.Equals), owner.Server)
		qt.Assert(t, other.Fence > owner.Fence, qt.IsTrue)
		qt.Assert(t, time.Since(started) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
	})
}
