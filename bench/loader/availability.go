package loader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// measuredKeys is the number of keys whose unavailability is measured. These are the
// busiest ones, because the resolution of an outage is the time between two
// requests for the key.
const measuredKeys = 20

// Unavailability is how long the busiest keys could not be served, as observed by
// callers. An outage lasts from the due time of a request that was not served to the
// due time of the next one that was. Requests that were refused for lack of capacity
// or exceeded their timeout are ignored, because the key had a server at that time.
type Unavailability struct {
	// Keys is the number of keys that had an outage.
	Keys  int           `json:"keys"`
	Worst time.Duration `json:"worst"`
	P99   time.Duration `json:"p99"`
	Total time.Duration `json:"total"`
}

// observation is one request for a key: when it was due, whether it was served
// and by which server.
type observation struct {
	due    time.Duration
	served bool
	server string
}

// availability collects the observations of each key. It is not safe for
// concurrent use.
type availability struct {
	observations map[string][]observation
}

func newAvailability() *availability {
	return &availability{observations: make(map[string][]observation)}
}

func (av *availability) add(result result) {
	if failedWithServer(result) {
		return
	}
	served := result.outcome == messenger.OutcomeDone
	av.observations[result.key] = append(av.observations[result.key], observation{due: result.due, served: served, server: result.server})
}

// failedWithServer reports whether a request failed although its key had a server:
// for lack of capacity, by its deadline or timeout, or by a quarantine.
func failedWithServer(result result) bool {
	switch result.reason {
	case messenger.ReasonQueue, messenger.ReasonShare, messenger.ReasonFair, messenger.ReasonShed,
		messenger.ReasonBudget, messenger.ReasonDeadline, messenger.ReasonExpired, messenger.ReasonQuarantine:
		return true
	}
	return result.outcome == OutcomeUnsent
}

// sort orders the observations of each key by due time.
func (av *availability) sort() {
	for _, observations := range av.observations {
		slices.SortFunc(observations, func(a, b observation) int { return cmp.Compare(a.due, b.due) })
	}
}

// busiest returns the observations of the keys with the most requests.
func (av *availability) busiest() [][]observation {
	all := slices.Collect(maps.Values(av.observations))
	slices.SortFunc(all, func(a, b []observation) int { return cmp.Compare(len(b), len(a)) })
	return all[:min(measuredKeys, len(all))]
}

// report summarizes the outages of the busiest keys.
func (av *availability) report() Unavailability {
	var summary Unavailability
	var longest []time.Duration
	for _, observations := range av.busiest() {
		worst, total := measureOutages(observations)
		longest = append(longest, worst)
		summary.Total += total
		if worst > 0 {
			summary.Keys++
		}
	}
	if len(longest) == 0 {
		return summary
	}
	slices.Sort(longest)
	summary.Worst = longest[len(longest)-1]
	summary.P99 = longest[(len(longest)-1)*99/100]
	return summary
}

// churn returns the server changes per key and hour, as observed by callers.
func (av *availability) churn(elapsed time.Duration) float64 {
	changes := 0
	for _, observations := range av.observations {
		changes += countServerChanges(observations)
	}
	hours := float64(len(av.observations)) * elapsed.Hours()
	if hours == 0 {
		return 0
	}
	return float64(changes) / hours
}

// countServerChanges counts how often a key was served by a different server than
// before.
func countServerChanges(observations []observation) int {
	changes, last := 0, ""
	for _, o := range observations {
		if !o.served {
			continue
		}
		if last != "" && o.server != last {
			changes++
		}
		last = o.server
	}
	return changes
}

// measureOutages returns the longest outage of a key and the sum of all. An outage
// without an end counts up to the last observation.
func measureOutages(observations []observation) (worst, total time.Duration) {
	start, ongoing := time.Duration(0), false
	for i, o := range observations {
		if !o.served && !ongoing {
			start, ongoing = o.due, true
		}
		ended := o.served || i == len(observations)-1
		if ongoing && ended {
			worst = max(worst, o.due-start)
			total += o.due - start
			ongoing = false
		}
	}
	return worst, total
}
