package launcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/launcher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

// Guards against requests that a stopping router in sharded mode passes on and cannot finish.
func TestPlannedStopInShardedModeCutsNothingOff(t *testing.T) {
	const grace = 6 * time.Second
	tests := []struct {
		name  string
		stops []int
		gap   time.Duration
	}{
		{name: "one router", stops: []int{0}},
		{name: "two at once", stops: []int{0, 2}},
		{name: "one after another", stops: []int{1, 0}, gap: 1500 * time.Millisecond},
	}
	for _, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/seed=%d", test.name, seed), func(t *testing.T) {
				adjust := func(settings *launcher.Settings) {
					settings.Grace, settings.Server.Slots = grace, 50
				}
				runPlaygroundWith(t, adjust, func(t *testing.T, cluster *launcher.Cluster) {
					qt.Assert(t, cluster.AwaitAssigned(t.Context()), qt.IsNil)
					playShardedStop(t, cluster, rand.New(rand.NewPCG(seed, 41)), test.stops, test.gap, grace)
				})
			})
		}
	}
}

// playShardedStop sends requests around the stop of some routers, one each gap, and checks
// what became of each.
func playShardedStop(t *testing.T, cluster *launcher.Cluster, random *rand.Rand, stops []int, gap, grace time.Duration) {
	var tasks sync.WaitGroup
	start := time.Now().Add(2 * time.Second)
	var urls []string
	for _, node := range cluster.Routers {
		urls = append(urls, node.Process().CallerURL())
	}
	var mu sync.Mutex
	counts := make(map[string]int)
	for at := -1500 * time.Millisecond; at < grace; at += 20 * time.Millisecond {
		router, key, number := random.IntN(len(urls)), random.IntN(1000), fmt.Sprintf("n%d", at.Milliseconds())
		method, route, timeout := http.MethodGet, "findings", 2*time.Second
		if random.IntN(2) == 0 {
			method, route, timeout = http.MethodPost, "certificates", 10*time.Second
		}
		// A server whose requests reach their deadlines one after another counts as frozen.
		work := []time.Duration{50 * time.Millisecond, timeout / 4, timeout * 3 / 4}[random.IntN(3)]
		if at < time.Duration(len(stops)-1)*gap {
			// Longer ones that were passed on before a signal cannot end in the grace period.
			work = min(work, grace-2*time.Second)
		}
		tasks.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			url := fmt.Sprintf("%s/v1/findings/door-%d/%s?work=%s", urls[router], key, route, work)
			sentAt := time.Now()
			outcome := sendOnce(t, cluster, method, url, number)
			took := time.Since(sentAt)
			runs := 0
			for _, server := range cluster.Servers {
				for _, count := range server.RunCounter().Totals(true).Runs {
					if count.Number == number {
						runs += count.Runs
					}
				}
			}
			mu.Lock()
			defer mu.Unlock()
			counts[outcome]++
			switch {
			case outcome == "done":
			case (strings.HasPrefix(outcome, "refused") || outcome == "no connection") && runs == 0:
			case strings.HasPrefix(outcome, "unknown/") && took >= timeout-2*forwarder.OwnerDeadlineMargin: // its deadline
			default:
				t.Errorf("%s %s sent %s after the signal at %s: %s after %s, %d runs", method, number, at, url, outcome, took, runs)
			}
		})
	}
	time.Sleep(time.Until(start))
	for _, router := range stops {
		tasks.Go(func() { qt.Check(t, cluster.Routers[router].Stop(context.Background()), qt.IsNil) })
		time.Sleep(gap)
	}
	tasks.Wait()
	t.Logf("%v", counts)
}

// sendOnce sends a request and returns its outcome, with the reason unless it is done.
func sendOnce(t *testing.T, cluster *launcher.Cluster, method, url, number string) string {
	request, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		return err.Error()
	}
	request.Header.Set(messenger.HeaderIdempotencyKey, number)
	response, err := cluster.Client().Do(request)
	if err != nil && strings.Contains(err.Error(), "refused") {
		return "no connection"
	}
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	outcome := response.Header.Get(messenger.HeaderOutcome)
	if outcome != string(messenger.OutcomeDone) {
		outcome += "/" + response.Header.Get(messenger.HeaderReason)
	}
	return outcome
}
