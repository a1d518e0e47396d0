package requester

import (
	"math"
	"strconv"
)

// ParseLimit parses the limit in the header of a response, a decimal number of requests
// per second. It returns nil if text is empty or no such number.
func ParseLimit(text string) *float64 {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return nil
	}
	return &limit
}
