package agent

import "github.com/chicorystand/chicorystand/wire"

// status returns the state of the agent that operators see.
func (a *Agent) status() *wire.AgentStatusReply {
	return &wire.AgentStatusReply{VM: a.cfg.VM, Draining: a.gate.Draining(), Slots: a.cfg.Slots, InUse: a.cfg.Slots - a.gate.FreeSlots(),
		Tasks: len(a.cfg.Worker.List()), ConfigGen: a.gate.MinGeneration()}
}
