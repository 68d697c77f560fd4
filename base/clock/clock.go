// Package clock provides a monotonic clock that includes time spent suspended.
//
// Leases and grants are timed with it, so that a holder that was suspended with its
// VM finds its leases expired when it resumes. The Go runtime's monotonic clock
// stops during suspend on Linux and must not be used for leases.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed point.
type Clock interface {
	Now() time.Duration
}

// Boottime reads the system clock CLOCK_BOOTTIME.
type Boottime struct{}

// Now returns the time since boot, including suspend.
func (Boottime) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME unavailable: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a manually advanced clock for tests. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the current fake time.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// Runtime is a clock based on Go's monotonic clock. Inside a testing/synctest
// bubble it follows virtual time. It does not include time spent suspended.
type Runtime struct{ start time.Time }

// NewRuntime returns a Runtime clock that starts at a positive offset, so that
// zero can mean "never" in callers.
func NewRuntime() *Runtime { return &Runtime{start: time.Now().Add(-time.Hour)} }

// Now returns the time since the clock's start.
func (r *Runtime) Now() time.Duration { return time.Since(r.start) }
