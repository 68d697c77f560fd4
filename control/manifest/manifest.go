// Package manifest defines the configuration that the operator of a deployment
// publishes: routes, which are queues, and services, which are pools of executors.
package manifest

import (
	"strings"
	"time"
)

// Route is a queue for submissions.
type Route struct {
	Name, Host, Prefix string
	// Service is the pool of executors that runs the queue's tasks.
	Service       string
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority 0 is the highest.
	Priority    int
	MaxAttempts int
	// Stretch is the allowed response time as a multiple of the critical path.
	Stretch float64
	// RequiresAdvice is set when only executors permitted by the advice service may run a step.
	RequiresAdvice bool
	Advice         AdviceCost
}

// AdviceCost describes the latency of a call to the advice service and the validity of its
// response.
type AdviceCost struct {
	Decision, PerExecutor, Validity time.Duration
}

// Service is a pool of executors.
type Service struct {
	Name string
	// EnforcesCapacity is set when executors reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby pools are switched off.
	Standby bool
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Manifest is one version of the configuration. It is immutable once built.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	byHost   map[string][]int
	byName   map[string]int
}

// BuildIndex prepares MatchRoute and RouteByName. It is called once, before the manifest is
// shared.
func (m *Manifest) BuildIndex() {
	m.byHost, m.byName = make(map[string][]int), make(map[string]int)
	for i := range m.Routes {
		host := strings.ToLower(m.Routes[i].Host)
		m.byHost[host] = append(m.byHost[host], i)
		m.byName[m.Routes[i].Name] = i
	}
}

// MatchRoute returns the route of the host with the longest prefix of path, or nil.
func (m *Manifest) MatchRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Route
	for _, i := range m.byHost[strings.ToLower(host)] {
		r := &m.Routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// RouteByName returns the route with the name, or nil.
func (m *Manifest) RouteByName(name string) *Route {
	i, ok := m.byName[name]
	if !ok {
		return nil
	}
	return &m.Routes[i]
}
