package retrier

const (
	// BudgetTokens is how many retries a full budget has.
	BudgetTokens = 100
	// BudgetPart is the part of a retry that each new request earns.
	BudgetPart = 0.1
)

// Budget is the token bucket of one service. It has no clock: requests fill it.
type Budget struct {
	// Tokens is how many retries are left.
	Tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{Tokens: BudgetTokens}
}

// Earn adds the part of a new request.
func (b *Budget) Earn() {
	b.Tokens = min(b.Tokens+BudgetPart, BudgetTokens)
}

// Take takes the token of one retry; it reports false when there is none.
func (b *Budget) Take() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
