package retrier

const (
	// MaxTokens is the capacity of a budget, in retries.
	MaxTokens = 100
	// TokenRatio is the number of tokens that each new request adds.
	TokenRatio = 0.1
)

// Budget is the retry token bucket of one service. It is refilled by requests, not by
// time.
type Budget struct {
	// Tokens is the number of retries left.
	Tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{Tokens: MaxTokens}
}

// Refill adds TokenRatio for a new request.
func (b *Budget) Refill() {
	b.Tokens = min(b.Tokens+TokenRatio, MaxTokens)
}

// Take takes the token for one retry. It returns false if there is none.
func (b *Budget) Take() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
