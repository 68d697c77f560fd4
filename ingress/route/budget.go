package route

import (
	"sync"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// PerSecond is the number of retries added per second independent of traffic.
	PerSecond float64
	// Max is the capacity of the budget in retries.
	Max float64
}

// DefaultBudget allows 10% more attempts than requests, and 2 retries/s for
// services with little traffic.
func DefaultBudget() BudgetConfig { return BudgetConfig{Ratio: 0.1, PerSecond: 2, Max: 50} }

// Budget is a token bucket that limits the retries and hedges of a service to a share
// of its requests, so that retries cannot amplify an overload. It is safe for concurrent use.
type Budget struct {
	cfg        BudgetConfig
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Max, refilledAt: time.Now()}
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() { b.add(b.cfg.Ratio) }

// Refund returns a retry that was taken but not used.
func (b *Budget) Refund() { b.add(1) }

func (b *Budget) add(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Max, b.tokens+n)
}

// Take takes one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.cfg.Max, b.tokens+b.cfg.PerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
