package route

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
)

// burstWindow sets the burst size: the requests allowed in this time may arrive in one burst.
const burstWindow = 100 * time.Millisecond

// Limiter limits the rate and the concurrency of each customer's requests at one
// entry according to plan.Limit. It is safe for concurrent use; the zero value is ready to use.
type Limiter struct {
	mu        sync.Mutex
	customers map[string]*customer
	lastSweep time.Time
}

type customer struct {
	limit    plan.Limit
	rate     *rate.Limiter
	inFlight int
	lastUsed time.Time
}

// customerIdleTimeout is how long the state of an idle customer is kept. Its rate
// limiter has refilled long before, so dropping the state changes no decision.
const customerIdleTimeout = time.Minute

// Acquire admits one request of a customer under the current limit. The caller must
// call release at the end of the request. The error kind is errkind.RateLimited or
// errkind.ConcurrencyLimited.
func (l *Limiter) Acquire(name string, limit plan.Limit) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c := l.customer(name, now)
	c.apply(limit, now)
	c.lastUsed = now
	if limit.Concurrency > 0 && c.inFlight >= limit.Concurrency {
		return nil, errkind.New(errkind.ConcurrencyLimited, "customer %q has %d requests in progress", name, c.inFlight)
	}
	if c.rate != nil && !c.rate.AllowN(now, 1) {
		return nil, errkind.New(errkind.RateLimited, "customer %q exceeds %g requests/s", name, limit.RequestsPerSecond)
	}
	c.inFlight++
	return func() { l.release(c) }, nil
}

func (l *Limiter) release(c *customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.inFlight--
}

func (l *Limiter) customer(name string, now time.Time) *customer {
	if l.customers == nil {
		l.customers = make(map[string]*customer)
	}
	if now.Sub(l.lastSweep) > customerIdleTimeout {
		l.lastSweep = now
		for n, c := range l.customers {
			if c.inFlight == 0 && now.Sub(c.lastUsed) > customerIdleTimeout {
				delete(l.customers, n)
			}
		}
	}
	c, ok := l.customers[name]
	if !ok {
		c = &customer{}
		l.customers[name] = c
	}
	return c
}

// apply sets the customer's current limit. A new rate does not restore used tokens.
func (c *customer) apply(limit plan.Limit, now time.Time) {
	perSecond := limit.RequestsPerSecond
	burst := max(1, int(math.Ceil(perSecond*burstWindow.Seconds())))
	switch {
	case perSecond <= 0:
		c.rate = nil
	case c.rate == nil:
		c.rate = rate.NewLimiter(rate.Limit(perSecond), burst)
	case c.limit.RequestsPerSecond != perSecond:
		c.rate.SetLimitAt(now, rate.Limit(perSecond))
		c.rate.SetBurstAt(now, burst)
	}
	c.limit = limit
}
