package contention

import "time"

const (
	// maxReferenceAge bounds the age of the latencies of other tasks of a group that a new one is
	// compared with, since the load of the group varies.
	maxReferenceAge = 700 * time.Millisecond
	// saturation is the utilization from which a latency only shows that a queue grows.
	saturation = 0.875
)

// difference compares one task of a group with the mean of the others: its utilization, and the
// shares that best-effort images use beside it.
type difference struct {
	// shares is by image; a share is negative where the others have more.
	shares      map[string]float64
	utilization float64
	// lowerBound is set when the utilization may be higher than measured.
	lowerBound bool
	// weight falls with the noise of the mean, 0 to 1.
	weight float64
}

// difference compares a task with the others of its group. It returns false when there is nothing
// to compare with.
func (m *Model) difference(s *TaskLatency, now time.Duration) (difference, bool) {
	idle := m.idleLatency(s.Image, s.Target)
	group := m.groups[s.Group]
	own := group[s.Task]
	others, mean := 0.0, 0.0
	shares := make(map[string]float64)
	for _, v := range group {
		if v.executor == own.executor || now-v.at > maxReferenceAge {
			continue
		}
		u := utilization(idle, v.latency)
		if u >= saturation {
			continue
		}
		others++
		mean += u
		addShares(shares, v.usages, -1)
	}
	if others == 0 {
		return difference{}, false
	}
	for image := range shares {
		shares[image] /= others
	}
	addShares(shares, own.usages, 1)
	u := utilization(idle, own.latency)
	return difference{shares: shares, utilization: u - mean/others, lowerBound: u >= saturation, weight: others / (others + 1)}, true
}

func addShares(shares map[string]float64, usages []ImageUsage, factor float64) {
	for _, f := range usages {
		shares[f.Image] += factor * f.Share
	}
}

// utilization returns the utilization that corresponds to a latency.
func utilization(idle, latency float64) float64 {
	return max(0, 1-idle/max(latency, idle))
}
