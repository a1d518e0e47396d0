package balancer

import "time"

const (
	// PromoteFraction is the fraction of a server's load from which a key is hot.
	PromoteFraction = 0.2
	// DemoteFraction is the fraction below which a promoted key is cool.
	DemoteFraction = 0.08
	// PromoteTime is how long a key must be hot before it is promoted.
	PromoteTime = 5 * time.Second
	// DemoteTime is how long a key must be cool before it is demoted.
	DemoteTime = time.Minute
	// MinHotUtilization is the utilization of a server below which none of its keys
	// is hot.
	MinHotUtilization = 0.1
)

// HotKeyState is the recent history of one key. A key without any reports has
// the zero value.
type HotKeyState struct {
	// HotTime and CoolTime are how long the key has been hot or cool without
	// interruption.
	HotTime  time.Duration
	CoolTime time.Duration
}

// Advance returns the state after an interval in which the key took a fraction of
// the load of a server with the given utilization.
func (h HotKeyState) Advance(fraction, utilization float64, interval time.Duration) HotKeyState {
	switch {
	case fraction >= PromoteFraction && utilization >= MinHotUtilization:
		return HotKeyState{HotTime: h.HotTime + interval}
	case fraction < DemoteFraction || utilization < MinHotUtilization:
		return HotKeyState{CoolTime: h.CoolTime + interval}
	}
	return HotKeyState{}
}

// ShouldPromote reports whether the key should get a shard of its own.
func (h HotKeyState) ShouldPromote() bool {
	return h.HotTime >= PromoteTime
}

// ShouldDemote reports whether the key should return to its hash shard.
func (h HotKeyState) ShouldDemote() bool {
	return h.CoolTime >= DemoteTime
}
