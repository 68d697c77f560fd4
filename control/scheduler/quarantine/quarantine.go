// Package quarantine keeps VMs on which everything fails from taking the queue.
package quarantine

import (
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// Rules.
const (
	// FailureThreshold is the number of failures of different tasks, without a success between
	// them, after which a VM is quarantined.
	FailureThreshold = 3
	// preQuarantineDelay is the wait after the second failure, so that a VM that fails at once does
	// not take many tasks before it is quarantined.
	preQuarantineDelay = 5 * time.Second
	// MinProbeDelay and MaxProbe bound the wait before a quarantined VM gets one task.
	MinProbeDelay = 30 * time.Second
	MaxProbeDelay = 30 * time.Minute
	// successAfter is the run time after which an attempt counts as a success.
	successAfter = 30 * time.Second
	// classFailureVMs is the number of VMs on which a job class must have failed, without a
	// success, to be blamed instead of the VMs.
	classFailureVMs = 3
)

// RecordEnd takes the end of an attempt into account and reports whether the VM was quarantined by it.
func RecordEnd(t *tables.Tables, e tables.AttemptEnd, now time.Duration) bool {
	s := t.Profile(e.Job)
	v, known := t.VMs[e.VM]
	if e.OK {
		s.FailedOn = nil
		if known {
			v.Health = tables.Health{}
		}
		return false
	}
	if s.FailedOn == nil {
		s.FailedOn = make(map[string]struct{}, classFailureVMs)
	}
	if len(s.FailedOn) < classFailureVMs {
		s.FailedOn[e.VM] = struct{}{}
	}
	if !known {
		return false
	}
	h := &v.Health
	probed := h.ProbeTask == e.Task && e.Task != ""
	if probed {
		h.ProbeTask = ""
	}
	if !probed && (h.LastFailedTask == e.Task || len(s.FailedOn) >= classFailureVMs) {
		return false
	}
	h.ConsecutiveFailures++
	h.LastFailedTask = e.Task
	h.NotBefore = now + startDelay(h.ConsecutiveFailures)
	return h.ConsecutiveFailures >= FailureThreshold
}

func startDelay(streak int) time.Duration {
	switch {
	case streak < FailureThreshold-1:
		return 0
	case streak < FailureThreshold:
		return preQuarantineDelay
	}
	return min(MinProbeDelay<<min(streak-FailureThreshold, 10), MaxProbeDelay)
}

// StartProbe makes the task the probe of a VM in quarantine and reports whether it is one.
func StartProbe(v *tables.VM, id string) bool {
	if v.Health.ConsecutiveFailures < FailureThreshold {
		return false
	}
	v.Health.ProbeTask = id
	return true
}

// CheckProbes clears VMs whose probe has run for long enough and forgets probes that ended
// without a report.
func CheckProbes(t *tables.Tables, probing map[string]struct{}, now time.Duration) {
	for id := range probing {
		v, ok := t.VMs[id]
		if !ok || v.Health.ProbeTask == "" {
			delete(probing, id)
			continue
		}
		tk, ok := t.Tasks[v.Health.ProbeTask]
		switch {
		case !ok || tk.Record.VM != id || !tables.OccupiesVM(tk.Record.State):
			v.Health.ProbeTask = ""
			v.Health.NotBefore = now + startDelay(v.Health.ConsecutiveFailures)
			delete(probing, id)
		case tk.Started > 0 && now-tk.Started >= successAfter:
			v.Health = tables.Health{}
			delete(probing, id)
		}
	}
}
