package contention

import (
	"slices"
	"time"
)

const (
	// targetShare is the share of its target that a task's latency is controlled to. A throttled
	// run takes longer and so interferes for longer; a lower share protects less than it costs.
	targetShare = 0.95
	// defaultPauseAfter is the PauseAfter of a new model.
	defaultPauseAfter = 3200 * time.Millisecond
	// reportWindow is the time that a reported latency covers. The latency may have exceeded the target
	// that long before a report that is still within it.
	reportWindow = 500 * time.Millisecond
	// ownLoadShare is the share of a latency from which the task's own load counts as its cause.
	ownLoadShare = 0.85
)

// SpeedLevels are the allowed speed limits in percent of full speed, in ascending order.
var SpeedLevels = []int{0, 8, 15, 30, 50, 75, 100}

// SpeedLimits returns for each best-effort image the speed in percent at which the
// latency-critical tasks meet their targets. full holds the shares at full speed and current the
// present limits.
func (m *Model) SpeedLimits(tasks []TaskLatency, full []ImageUsage, current map[string]int, now time.Duration) map[string]int {
	speed := make(map[string]float64, len(full))
	for _, f := range full {
		speed[f.Image] = 1
	}
	for _, s := range tasks {
		if s.Base > 0 {
			m.limitSpeeds(s, full, speed)
		}
	}
	if at := m.PauseAt(tasks); at != 0 && now >= at {
		for _, f := range full {
			speed[f.Image] = 0
		}
	}
	out := make(map[string]int, len(speed))
	for image, p := range speed {
		now, ok := current[image]
		if !ok {
			now = SpeedLevels[len(SpeedLevels)-1]
		}
		out[image] = speedLevel(p, now)
	}
	return out
}

// AnyOverTarget reports whether the latency of any task is above its target.
func AnyOverTarget(tasks []TaskLatency) bool {
	for _, s := range tasks {
		if s.Latency > s.Target {
			return true
		}
	}
	return false
}

// ExcessUtilization returns how far the highest utilization among the tasks, as their latencies show it, is above that at
// their targets. It is 0 while all are below.
func (m *Model) ExcessUtilization(tasks []TaskLatency) float64 {
	excess := 0.0
	for i := range tasks {
		s := &tasks[i]
		if s.Latency <= s.Target || s.Target <= 0 {
			continue
		}
		idle := m.idleLatency(s.Image, s.Target)
		excess = max(excess, idle/(targetShare*float64(s.Target))-idle/float64(s.Latency))
	}
	return excess
}

// PauseAt returns the time from which all best-effort work beside the tasks has to be paused, whatever
// the model predicts, and 0 while no latency is above its target because of that work.
func (m *Model) PauseAt(tasks []TaskLatency) time.Duration {
	earliest := time.Duration(0)
	for i := range tasks {
		s := &tasks[i]
		since := m.groups[s.Group][s.Task].overTargetSince
		if since == 0 || s.ownLoadExceedsTarget() {
			continue
		}
		if at := since + m.PauseAfter; earliest == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}

// ownLoadExceedsTarget reports whether the task would be above its target without any best-effort work
// beside it, so that throttling would not help.
func (s *TaskLatency) ownLoadExceedsTarget() bool {
	return s.BaseKnown && s.Base >= ownLoadShare*float64(s.Latency) && s.Base >= float64(s.Target)
}

// limitSpeeds lowers the speeds until one task meets its target, those of the most interfering
// images first.
func (m *Model) limitSpeeds(s TaskLatency, full []ImageUsage, speed map[string]float64) {
	if s.ownLoadExceedsTarget() {
		return
	}
	base, target := s.Base, float64(s.Target)
	idle := m.idleLatency(s.Image, s.Target)
	budget := max(0, idle/base-idle/(targetShare*target))
	order := slices.Clone(full)
	slices.SortFunc(order, func(a, b ImageUsage) int {
		pa, pb := m.Interference(Pair{s.Image, a.Image}), m.Interference(Pair{s.Image, b.Image})
		switch {
		case pa < pb:
			return -1
		case pa > pb:
			return 1
		}
		return 0
	})
	for _, f := range order {
		added := m.Interference(Pair{s.Image, f.Image}) * f.Share
		allowed := 1.0
		if added > 0 {
			allowed = min(1, max(0, budget)/added)
		}
		speed[f.Image] = min(speed[f.Image], allowed)
		budget -= added * speed[f.Image]
	}
}

// speedLevel rounds a speed down to a level. A speed rises by two levels at most.
func speedLevel(speed float64, current int) int {
	want, position := 0, 0
	for i, l := range SpeedLevels {
		if float64(l) <= speed*100+0.5 {
			want = l
		}
		if l <= current {
			position = i
		}
	}
	return min(want, SpeedLevels[min(position+2, len(SpeedLevels)-1)])
}
