package agent

import (
	"sync"

	"github.com/chicorystand/chicorystand/wire"
)

// harms holds the learnt effects of job classes on the service, as the owner sent them.
type harms struct {
	mu      sync.Mutex
	byClass map[string]float64
}

// set stores the effect of a class in millionths. 0 means that nothing is learnt yet.
func (h *harms) set(class string, ppm uint32) {
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

func (h *harms) get(class string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byClass[class]
}

// speeds holds the speeds below 1 that the worker was told, for usage reports.
type speeds struct {
	mu sync.Mutex
	m  map[string]float64
}

func (s *speeds) put(m map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m = m
}

func (s *speeds) get() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m
}
