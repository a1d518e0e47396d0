package loader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// watchedKeys is how many keys unavailable time is measured on: the busiest, since
// a gap can be told no more finely than requests follow each other.
const watchedKeys = 20

// Unavailability is how long the busiest keys could not be served, as callers saw
// it: from when a request was due that ended without its answer, to when one was
// next due that was answered. Requests refused for want of room, and those that took longer
// than their timeout, do not count, since the key had a server then.
type Unavailability struct {
	// Keys is how many keys had a gap.
	Keys  int           `json:"keys"`
	Worst time.Duration `json:"worst"`
	P99   time.Duration `json:"p99"`
	Total time.Duration `json:"total"`
}

// sighting is one request of a key: when it was due and whether it was served.
type sighting struct {
	due    time.Duration
	served bool
	server string
}

// gaps collects sightings of each key. It is used by one goroutine.
type gaps struct {
	sightings map[string][]sighting
}

func newGaps() *gaps {
	return &gaps{sightings: make(map[string][]sighting)}
}

func (g *gaps) add(result result) {
	if isForWantOfRoom(result) {
		return
	}
	served := result.outcome == messenger.OutcomeDone
	g.sightings[result.key] = append(g.sightings[result.key], sighting{due: result.due, served: served, server: result.server})
}

// isForWantOfRoom reports whether a request was turned away although its key had
// a server.
func isForWantOfRoom(result result) bool {
	switch result.reason {
	case messenger.ReasonQueue, messenger.ReasonShare, messenger.ReasonFair, messenger.ReasonShed,
		messenger.ReasonBudget, messenger.ReasonDeadline, messenger.ReasonExpired, messenger.ReasonQuarantine:
		return true
	}
	return result.outcome == OutcomeUnsent
}

// sort puts the sightings of each key in the order in which they were due.
func (g *gaps) sort() {
	for _, sightings := range g.sightings {
		slices.SortFunc(sightings, func(a, b sighting) int { return cmp.Compare(a.due, b.due) })
	}
}

// busiest returns the sightings of the busiest keys.
func (g *gaps) busiest() [][]sighting {
	all := slices.Collect(maps.Values(g.sightings))
	slices.SortFunc(all, func(a, b []sighting) int { return cmp.Compare(len(b), len(a)) })
	return all[:min(watchedKeys, len(all))]
}

// report sums up the longest gap of each key.
func (g *gaps) report() Unavailability {
	var found Unavailability
	var longest []time.Duration
	for _, sightings := range g.busiest() {
		worst, total := gapsOf(sightings)
		longest = append(longest, worst)
		found.Total += total
		if worst > 0 {
			found.Keys++
		}
	}
	if len(longest) == 0 {
		return found
	}
	slices.Sort(longest)
	found.Worst = longest[len(longest)-1]
	found.P99 = longest[(len(longest)-1)*99/100]
	return found
}

// churn is the changes of server, as callers saw them, for each key and hour.
func (g *gaps) churn(elapsed time.Duration) float64 {
	changes := 0
	for _, sightings := range g.sightings {
		changes += changesOf(sightings)
	}
	hours := float64(len(g.sightings)) * elapsed.Hours()
	if hours == 0 {
		return 0
	}
	return float64(changes) / hours
}

// changesOf counts how often one key was served by another server than before.
func changesOf(sightings []sighting) int {
	changes, last := 0, ""
	for _, seen := range sightings {
		if !seen.served {
			continue
		}
		if last != "" && seen.server != last {
			changes++
		}
		last = seen.server
	}
	return changes
}

// gapsOf returns the longest gap of one key and the sum of all. A gap that never
// ends counts up to the last sighting.
func gapsOf(sightings []sighting) (worst, total time.Duration) {
	start, open := time.Duration(0), false
	for i, seen := range sightings {
		if !seen.served && !open {
			start, open = seen.due, true
		}
		isEnd := seen.served || i == len(sightings)-1
		if open && isEnd {
			worst = max(worst, seen.due-start)
			total += seen.due - start
			open = false
		}
	}
	return worst, total
}
