package deployed

import (
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/ingress/gateway"
	"github.com/chicorystand/chicorystand/ingress/overload"
	"github.com/chicorystand/chicorystand/state/member"
)

// admission returns what refuses submissions on arrival, nil where that is switched off.
func (p *process) admission(self member.Member, m *metrics.Deployment) gateway.Admission {
	if !p.options.Overload.Enabled {
		return nil
	}
	return &overload.Gate{Controller: overload.NewController(p.link.Backlog, self.Incarnation), Store: p.store, Clock: p.clock, Log: p.log,
		Observe: m.ObserveDeclined}
}
