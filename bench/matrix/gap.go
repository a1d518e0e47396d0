package matrix

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// gap is a time between two answers for one key.
type gap struct {
	key  string
	from time.Duration
	to   time.Duration
}

// gaps returns the times between each two answers for one key.
func (h *History) gaps() []gap {
	keyOf := make(map[string]string)
	for _, send := range h.Sends {
		keyOf[send.Number] = send.Key
	}
	served := make(map[string][]time.Duration)
	for _, receive := range h.Receives {
		if receive.Outcome == messenger.OutcomeDone {
			key := keyOf[receive.Number]
			served[key] = append(served[key], receive.At)
		}
	}
	var found []gap
	for _, key := range slices.Sorted(maps.Keys(served)) {
		times := slices.Sorted(slices.Values(served[key]))
		for i := 1; i < len(times); i++ {
			found = append(found, gap{key: key, from: times[i-1], to: times[i]})
		}
	}
	return found
}

// Unavailable returns the longest time between two answers for one key, less
// the interval of the probes.
func (h *History) Unavailable() time.Duration {
	gaps := h.gaps()
	if len(gaps) == 0 {
		return 0
	}
	longest := slices.MaxFunc(gaps, func(a, b gap) int { return cmp.Compare(a.to-a.from, b.to-b.from) })
	return max(0, longest.to-longest.from-probeInterval)
}
