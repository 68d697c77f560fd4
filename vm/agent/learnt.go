package agent

import (
	"sync"

	"github.com/chicorystand/chicorystand/wire"
)

// interferenceTable holds the learned interference of job classes with the service, as sent by the owner.
type interferenceTable struct {
	mu      sync.Mutex
	byClass map[string]float64
}

// set stores the interference of a class in parts per million. 0 means that it is not known yet.
func (h *interferenceTable) set(class string, ppm uint32) {
	if ppm == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byClass == nil {
		h.byClass = make(map[string]float64)
	}
	h.byClass[class] = float64(ppm) / wire.PartsPerMillion
}

func (h *interferenceTable) get(class string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byClass[class]
}

// speedLimits holds the speed limits below 1 that were sent to the worker, for usage reports.
type speedLimits struct {
	mu sync.Mutex
	m  map[string]float64
}

func (s *speedLimits) put(m map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m = m
}

func (s *speedLimits) get() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m
}
