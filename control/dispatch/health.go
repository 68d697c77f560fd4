package dispatch

import "time"

// health tracks the share of failed runs of an executor.
type health struct {
	// failed is a weighted share of failed runs, 0 to 1.
	failed float64
	at     time.Duration
}

const (
	// healthWeight is the weight of the newest end in the share of failed runs.
	healthWeight = 0.25
	// healthHalfLife is the half-life of the share of failed runs, so that an executor that gets
	// no tasks is tried again.
	healthHalfLife = 3 * time.Second
)

// observe records one end.
func (h *health) observe(failed bool, now time.Duration) {
	x := 0.0
	if failed {
		x = 1
	}
	h.failed = h.share(now)*(1-healthWeight) + x*healthWeight
	h.at = now
}

// share returns the share of failed runs, decayed by its age.
func (h *health) share(now time.Duration) float64 {
	age := now - h.at
	if h.failed == 0 || age > 10*healthHalfLife {
		return 0
	}
	f := h.failed
	for age >= healthHalfLife {
		f /= 2
		age -= healthHalfLife
	}
	return f * (1 - float64(age)/float64(healthHalfLife)/2)
}
