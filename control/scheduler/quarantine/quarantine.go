// Package quarantine stops placing tasks on VMs on which tasks keep failing. Such a VM always
// has free capacity and would otherwise receive most of the queue.
package quarantine

import (
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// Thresholds and delays.
const (
	// FailureThreshold is the number of consecutive failures of different tasks after which a VM
	// is quarantined.
	FailureThreshold = 3
	// preQuarantineDelay is the delay before the next start after the second failure, so that a VM
	// on which tasks fail immediately does not receive many before it is quarantined.
	preQuarantineDelay = 5 * time.Second
	// MinProbeDelay and MaxProbeDelay bound the delay before a quarantined VM gets a probe task.
	MinProbeDelay = 30 * time.Second
	MaxProbeDelay = 30 * time.Minute
	// successAfter is the run time after which a probe counts as a success.
	successAfter = 30 * time.Second
	// classFailureVMs is the number of VMs on which a job class fails, without a success in
	// between, before its failures are no longer attributed to the VMs.
	classFailureVMs = 3
)

// RecordEnd records the end of an attempt and reports whether it quarantined the VM.
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

// StartProbe makes the task the probe of the VM when the VM is quarantined, and reports whether it is.
func StartProbe(v *tables.VM, id string) bool {
	if v.Health.ConsecutiveFailures < FailureThreshold {
		return false
	}
	v.Health.ProbeTask = id
	return true
}

// CheckProbes ends the quarantine of VMs whose probe has run for successAfter, and drops probes
// that left the VM without a report of their end.
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
