package loader

import (
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// Unavailability is how long keys could not be served, as callers saw it: from
// when a request was due that ended without its answer, to when one was next due
// that was answered. Requests refused for want of room do not count, since the
// key had a server then.
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
	g.sightings[result.key] = append(g.sightings[result.key], sighting{due: result.due, served: served})
}

// isForWantOfRoom reports whether a request was turned away although its key had
// a server.
func isForWantOfRoom(result result) bool {
	switch result.reason {
	case messenger.ReasonQueue, messenger.ReasonShare, messenger.ReasonFair, messenger.ReasonShed,
		messenger.ReasonBudget, messenger.ReasonDeadline, messenger.ReasonQuarantine:
		return true
	}
	return result.outcome == OutcomeUnsent
}

// report sums up the longest gap of each key.
func (g *gaps) report() Unavailability {
	var found Unavailability
	var longest []time.Duration
	for _, sightings := range g.sightings {
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

// gapsOf returns the longest gap of one key and the sum of all. A gap that never
// ends counts up to the last sighting.
func gapsOf(sightings []sighting) (worst, total time.Duration) {
	slices.SortFunc(sightings, func(a, b sighting) int { return int(a.due - b.due) })
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
