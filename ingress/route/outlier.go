package route

import (
	"sync"
	"time"
)

// OutlierConfig configures an Outliers detector.
type OutlierConfig struct {
	// Consecutive is the number of consecutive failures that eject an upstream.
	Consecutive int
	// Base and Max bound the ejection time, which doubles with each consecutive ejection.
	Base time.Duration
	Max  time.Duration
	// MinInUse is the minimum share of upstreams that are kept in use.
	MinInUse float64
}

// DefaultOutliers ejects for 1 s to 30 s after 5 consecutive failures and keeps half
// of the upstreams in use.
func DefaultOutliers() OutlierConfig {
	return OutlierConfig{Consecutive: 5, Base: time.Second, Max: 30 * time.Second, MinInUse: 0.5}
}

// Outliers temporarily ejects upstreams that fail repeatedly. After an ejection a
// single failure ejects the upstream again, and a single success resets its state. It is safe for concurrent use.
type Outliers struct {
	cfg OutlierConfig
	mu  sync.Mutex
	all map[Key]*outlier
}

type outlier struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// NewOutliers returns a detector without ejected upstreams.
func NewOutliers(cfg OutlierConfig) *Outliers {
	return &Outliers{cfg: cfg, all: make(map[Key]*outlier)}
}

// RecordSuccess records a successful response of an upstream.
func (o *Outliers) RecordSuccess(k Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, k)
}

// RecordFailure records a failure of an upstream of a service with total upstreams, and
// reports whether the failure ejects it.
func (o *Outliers) RecordFailure(k Key, total int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	s, ok := o.all[k]
	if !ok {
		s = &outlier{}
		o.all[k] = s
	}
	s.failures++
	if now.Before(s.ejectedUntil) || (s.ejections == 0 && s.failures < o.cfg.Consecutive) {
		return false
	}
	if float64(total-o.ejected(now)-1) < o.cfg.MinInUse*float64(total) {
		return false
	}
	s.ejectedUntil = now.Add(min(o.cfg.Max, o.cfg.Base<<min(s.ejections, 10)))
	s.ejections++
	return true
}

// ejected counts the ejected upstreams and drops those whose ejection ended long ago.
func (o *Outliers) ejected(now time.Time) int {
	n := 0
	for k, s := range o.all {
		switch {
		case now.Before(s.ejectedUntil):
			n++
		case s.ejections > 0 && now.Sub(s.ejectedUntil) > o.cfg.Max:
			delete(o.all, k)
		}
	}
	return n
}

// Ejected reports whether an upstream is currently ejected.
func (o *Outliers) Ejected(k Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.all[k]
	return ok && time.Now().Before(s.ejectedUntil)
}
