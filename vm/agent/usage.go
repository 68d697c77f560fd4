package agent

import (
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/worker"
	"github.com/chicorystand/chicorystand/wire"
)

// Limits on usage reports, which keep the control traffic of a daemon below 2 KB/s
// (design section 8).
const (
	// usageInterval is the minimum interval between two reports.
	usageInterval = 16 * time.Second
	// usageChangePercent is the change beyond which usage is reported again.
	usageChangePercent = 10
)

// usageFilter selects the usage that a heartbeat reports.
type usageFilter struct {
	mu       sync.Mutex
	sent     bool
	sentAt   time.Duration
	reported map[string]usageReport
}

// usageReport is the last report of an attempt.
type usageReport struct {
	use      task.Resources
	permille uint16
}

// reset makes the next report complete, for a new owner.
func (f *usageFilter) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent, f.reported = false, nil
}

// changed returns the attempts whose usage differs from the last report by more than
// usageChangePercent or whose speed changed. It returns nothing within usageInterval of the last report.
func (f *usageFilter) changed(measured []worker.Usage, speeds map[string]float64, now time.Duration) []wire.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent && now-f.sentAt < usageInterval {
		return nil
	}
	next := make(map[string]usageReport, len(measured))
	var out []wire.Usage
	for _, u := range measured {
		prev, known := f.reported[u.ID]
		permille := uint16(1000 * speedOrFull(speeds, u.ID))
		if known && permille == prev.permille && !changedSignificantly(prev.use.CPU, u.Use.CPU) && !changedSignificantly(prev.use.Memory, u.Use.Memory) {
			next[u.ID] = prev
			continue
		}
		next[u.ID] = usageReport{u.Use, permille}
		out = append(out, wire.Usage{ID: u.ID, CPU: uint32(u.Use.CPU), MemMiB: uint32(u.Use.Memory), SpeedLimitPermille: permille})
	}
	f.reported = next
	if len(out) > 0 {
		f.sent, f.sentAt = true, now
	}
	return out
}

func changedSignificantly(a, b int64) bool {
	diff := a - b
	if diff < 0 {
		diff = -diff
	}
	return diff*100 > a*usageChangePercent
}
