package balancer

import "time"

const (
	// PromotePart is the part of a server's work above which a key is hot.
	PromotePart = 0.2
	// DemotePart is the part below which a promoted key is cool.
	DemotePart = 0.08
	// PromoteTime is how long a key must be hot before it is promoted.
	PromoteTime = 5 * time.Second
	// DemoteTime is how long a key must be cool before it goes back.
	DemoteTime = time.Minute
	// MinHotLoad is the utilization of a server below which no key is hot.
	MinHotLoad = 0.1
)

// Heat is the recent history of one key. The zero value is a key that was not
// seen.
type Heat struct {
	// Hot and Cool are for how long it has been hot or cool without a break.
	Hot  time.Duration
	Cool time.Duration
}

// Next is the heat after a span in which the key made a part of the work of a
// server with some utilization.
func (h Heat) Next(part, utilization float64, span time.Duration) Heat {
	switch {
	case part >= PromotePart && utilization >= MinHotLoad:
		return Heat{Hot: h.Hot + span}
	case part < DemotePart || utilization < MinHotLoad:
		return Heat{Cool: h.Cool + span}
	}
	return Heat{}
}

// ShouldPromote reports whether the key is to get a shard of its own.
func (h Heat) ShouldPromote() bool {
	return h.Hot >= PromoteTime
}

// ShouldDemote reports whether the key is to go back to its hash shard.
func (h Heat) ShouldDemote() bool {
	return h.Cool >= DemoteTime
}
