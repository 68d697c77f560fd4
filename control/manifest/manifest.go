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
	// Service names the executors that run the queue's tasks.
	Service       string
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch is the allowed multiple of the longest chain of work.
	Stretch float64
	// NeedsAdvice tells that only executors named by the advice service may run a step.
	NeedsAdvice bool
	Advice      Advice
}

// Advice describes the cost of a call for advice.
type Advice struct {
	Decision, PerExecutor, Validity time.Duration
}

// Service is a pool of executors.
type Service struct {
	Name string
	// EnforcesCapacity tells that executors refuse what does not fit.
	EnforcesCapacity bool
	// Standby pools are switched off.
	Standby bool
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Manifest is one version of the configuration. It is not changed after it was built.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	byHost   map[string][]int
	byName   map[string]int
}

// Index prepares Find and Route. It is called once, before the manifest is shared.
func (m *Manifest) Index() {
	m.byHost, m.byName = make(map[string][]int), make(map[string]int)
	for i := range m.Routes {
		host := strings.ToLower(m.Routes[i].Host)
		m.byHost[host] = append(m.byHost[host], i)
		m.byName[m.Routes[i].Name] = i
	}
}

// Find returns the route of the host with the longest prefix of path, or nil.
func (m *Manifest) Find(host, path string) *Route {
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

// Route returns the route with the name, or nil.
func (m *Manifest) Route(name string) *Route {
	i, ok := m.byName[name]
	if !ok {
		return nil
	}
	return &m.Routes[i]
}
