package balancer

import (
	"cmp"
	"slices"
)

// RecorderCandidate is a router that could keep the records of another.
type RecorderCandidate struct {
	Session uint64
	Domain  string
	// RecordedSessions is the number of sessions that it keeps records for already.
	RecordedSessions int
}

// ChooseRecorders chooses up to count candidates. It prefers failure domains that
// are not used yet, and then candidates with the fewest recorded sessions.
func ChooseRecorders(candidates []RecorderCandidate, used []string, count int) []uint64 {
	var chosen []uint64
	remaining := slices.Clone(candidates)
	domains := slices.Clone(used)
	for len(chosen) < count && len(remaining) > 0 {
		best := 0
		for n := range remaining {
			if compareCandidates(&remaining[n], &remaining[best], domains) < 0 {
				best = n
			}
		}
		chosen = append(chosen, remaining[best].Session)
		domains = append(domains, remaining[best].Domain)
		remaining = slices.Delete(remaining, best, best+1)
	}
	return chosen
}

// compareCandidates is negative when a is the better recorder.
func compareCandidates(a, b *RecorderCandidate, used []string) int {
	if order := cmp.Compare(countDomain(used, a.Domain), countDomain(used, b.Domain)); order != 0 {
		return order
	}
	if order := cmp.Compare(a.RecordedSessions, b.RecordedSessions); order != 0 {
		return order
	}
	return cmp.Compare(a.Session, b.Session)
}

func countDomain(domains []string, domain string) int {
	count := 0
	for _, other := range domains {
		if other == domain {
			count++
		}
	}
	return count
}
