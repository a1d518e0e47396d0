package balancer

import (
	"cmp"
	"slices"
)

// Peer is a router that could keep the records of another.
type Peer struct {
	Session uint64
	Domain  string
	// Uses is how many sessions it keeps records for already.
	Uses int
}

// ChoosePeers chooses up to wanted candidates, preferring failure domains that
// are not used yet and then those with the fewest uses.
func ChoosePeers(candidates []Peer, used []string, wanted int) []uint64 {
	var chosen []uint64
	left := slices.Clone(candidates)
	domains := slices.Clone(used)
	for len(chosen) < wanted && len(left) > 0 {
		best := 0
		for n := range left {
			if comparePeers(&left[n], &left[best], domains) < 0 {
				best = n
			}
		}
		chosen = append(chosen, left[best].Session)
		domains = append(domains, left[best].Domain)
		left = slices.Delete(left, best, best+1)
	}
	return chosen
}

// comparePeers is negative when a is the better recorder.
func comparePeers(a, b *Peer, used []string) int {
	if order := cmp.Compare(countDomain(used, a.Domain), countDomain(used, b.Domain)); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Uses, b.Uses); order != 0 {
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
