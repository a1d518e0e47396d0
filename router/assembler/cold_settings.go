package assembler

import (
	"math"
)

// ColdSettings is the bound that operators check for a cold backend server: rate x
// Overage + Slack requests in any second, where rate is the one of the configuration.
type ColdSettings struct {
	// Overage is how much of the rate the router beside the server starts in any second,
	// as a factor; 0 means defaultOverage.
	Overage float64 `yaml:"overage"`
	// Slack is the number of requests that is left for what that router does not know:
	// the reports of the server arrive late. The router starts none of them.
	Slack float64 `yaml:"slack"`
}

// defaultOverage is the Overage without a setting.
const defaultOverage = 1.5

// maxColdStarts bounds the number of starts per second, so that it is a valid int for
// any rate. A larger one would be no limit.
const maxColdStarts = 1_000_000

// check returns the first invalid field and the reason.
func (s ColdSettings) check() (field, reason string) {
	// The negated comparisons also reject NaN.
	switch {
	case s.Overage != 0 && !(s.Overage >= 1 && s.Overage <= math.MaxFloat32):
		return "cold.overage", "must be at least 1"
	case !(s.Slack >= 0 && s.Slack <= math.MaxFloat32):
		return "cold.slack", "must not be below 0"
	}
	return "", ""
}

// starts returns how many requests may start in any second at a server of a service with
// a rate; 0 means no limit.
func (s ColdSettings) starts(rate float64) int {
	if rate <= 0 {
		return 0
	}
	overage := s.Overage
	if overage == 0 {
		overage = defaultOverage
	}
	return int(min(max(math.Floor(rate*overage), 1), maxColdStarts))
}
