// Package quarantine keeps VMs on which everything fails from taking the queue.
package quarantine

import (
	"time"

	"github.com/chicorystand/chicorystand/control/scheduler/tables"
)

// Rules.
const (
	// Threshold is the number of failures of different tasks, without a success between
	// them, after which a VM is quarantined.
	Threshold = 3
	// slowDown is the wait after the second failure, so that a VM that fails at once does
	// not take many tasks before it is quarantined.
	slowDown = 5 * time.Second
	// FirstProbe and MaxProbe bound the wait before a quarantined VM gets one task.
	FirstProbe = 30 * time.Second
	MaxProbe   = 30 * time.Minute
	// provenAfter is the run time after which an attempt counts as a success.
	provenAfter = 30 * time.Second
	// classVMs is the number of VMs on which a job class must have failed, without a
	// success, to be blamed instead of the VMs.
	classVMs = 3
)

// Learn takes the end of an attempt into account and reports whether the VM was quarantined by it.
func Learn(t *tables.Tables, e tables.Ended, now time.Duration) bool {
	s := t.Size(e.Job)
	v, known := t.VMs[e.VM]
	if e.OK {
		s.FailedOn = nil
		if known {
			v.Health = tables.Health{}
		}
		return false
	}
	if s.FailedOn == nil {
		s.FailedOn = make(map[string]struct{}, classVMs)
	}
	if len(s.FailedOn) < classVMs {
		s.FailedOn[e.VM] = struct{}{}
	}
	if !known {
		return false
	}
	h := &v.Health
	probed := h.Probe == e.Task && e.Task != ""
	if probed {
		h.Probe = ""
	}
	if !probed && (h.LastTask == e.Task || len(s.FailedOn) >= classVMs) {
		return false
	}
	h.Streak++
	h.LastTask = e.Task
	h.NotBefore = now + delay(h.Streak)
	return h.Streak >= Threshold
}

func delay(streak int) time.Duration {
	switch {
	case streak < Threshold-1:
		return 0
	case streak < Threshold:
		return slowDown
	}
	return min(FirstProbe<<min(streak-Threshold, 10), MaxProbe)
}

// Started makes the task the probe of a VM in quarantine and reports whether it is one.
func Started(v *tables.VM, id string) bool {
	if v.Health.Streak < Threshold {
		return false
	}
	v.Health.Probe = id
	return true
}

// Run clears VMs whose probe has run for long enough and forgets probes that ended
// without a report.
func Run(t *tables.Tables, probing map[string]struct{}, now time.Duration) {
	for id := range probing {
		v, ok := t.VMs[id]
		if !ok || v.Health.Probe == "" {
			delete(probing, id)
			continue
		}
		tk, ok := t.Tasks[v.Health.Probe]
		switch {
		case !ok || tk.Record.VM != id || !tables.Holds(tk.Record.State):
			v.Health.Probe = ""
			v.Health.NotBefore = now + delay(v.Health.Streak)
			delete(probing, id)
		case tk.Started > 0 && now-tk.Started >= provenAfter:
			v.Health = tables.Health{}
			delete(probing, id)
		}
	}
}
