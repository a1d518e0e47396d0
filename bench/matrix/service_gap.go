package matrix

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// serviceGap is the time between two successive responses for one key with the
// outcome done.
type serviceGap struct {
	key  string
	from time.Duration
	to   time.Duration
}

// serviceGaps returns all gaps of all keys.
func (h *History) serviceGaps() []serviceGap {
	keyOf := make(map[string]string)
	for _, send := range h.Sends {
		keyOf[send.Number] = send.Key
	}
	served := make(map[string][]time.Duration)
	for _, response := range h.Responses {
		if response.Outcome == messenger.OutcomeDone {
			key := keyOf[response.Number]
			served[key] = append(served[key], response.At)
		}
	}
	var found []serviceGap
	for _, key := range slices.Sorted(maps.Keys(served)) {
		times := slices.Sorted(slices.Values(served[key]))
		for i := 1; i < len(times); i++ {
			found = append(found, serviceGap{key: key, from: times[i-1], to: times[i]})
		}
	}
	return found
}

// Unavailable returns the longest gap of any key, less the interval of the probes.
func (h *History) Unavailable() time.Duration {
	serviceGaps := h.serviceGaps()
	if len(serviceGaps) == 0 {
		return 0
	}
	longest := slices.MaxFunc(serviceGaps, func(a, b serviceGap) int { return cmp.Compare(a.to-a.from, b.to-b.from) })
	return max(0, longest.to-longest.from-probeInterval)
}
