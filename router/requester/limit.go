package requester

import (
	"math"
	"strconv"
)

// maxLimit is far above what a server can take. A larger number would be infinite in the
// messages to other routers.
const maxLimit = 1e9

// ParseLimit parses the limit in the header of a response, a decimal number of requests
// per second. It returns nil if text is empty or no such number.
func ParseLimit(text string) *float64 {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || limit < 0 || limit > maxLimit {
		return nil
	}
	return &limit
}
