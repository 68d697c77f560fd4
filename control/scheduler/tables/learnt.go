package tables

import (
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// SlowdownKey identifies the effect of a job class on a service in a load bucket.
type SlowdownKey struct {
	Service  string
	JobClass string
	Load     uint8
}

// Slowdown is the learnt effect of a job class on a service.
type Slowdown struct {
	// PerCPU is the relative increase of the service's p99 per processor that the class uses.
	PerCPU float64
	// Weight is the number of observations, weighted by the processors in use.
	Weight float64
}

// DefaultInterference is assumed for a class that has not been observed on a VM with the service.
// It is above that of a class with little interference, so that an unknown class is spread
// over VMs until it is known.
const DefaultInterference = 0.01

// Interference returns the learnt slowdown per processor, from the nearest known load bucket.
func (t *Tables) Interference(service, class string, load uint8) float64 {
	if service == "" {
		return 0
	}
	if s, ok := t.Slowdowns[SlowdownKey{service, class, load}]; ok {
		return s.PerCPU
	}
	for d := uint8(1); d < LoadBuckets; d++ {
		if load >= d {
			if s, ok := t.Slowdowns[SlowdownKey{service, class, load - d}]; ok {
				return s.PerCPU
			}
		}
		if s, ok := t.Slowdowns[SlowdownKey{service, class, load + d}]; ok {
			return s.PerCPU
		}
	}
	return DefaultInterference
}

// InterferenceCache caches the interference of one job class during a search.
type InterferenceCache struct {
	t       *Tables
	class   string
	service string
	known   [LoadBuckets]bool
	value   [LoadBuckets]float64
}

// InterferenceOf returns an empty cache for the job class.
func (t *Tables) InterferenceOf(class string) *InterferenceCache {
	return &InterferenceCache{t: t, class: class}
}

// On returns the slowdown of a service per processor in a load bucket.
func (h *InterferenceCache) On(service string, load uint8) float64 {
	if service == "" {
		return 0
	}
	if service != h.service {
		h.service, h.known = service, [LoadBuckets]bool{}
	}
	if !h.known[load] {
		h.known[load], h.value[load] = true, h.t.Interference(service, h.class, load)
	}
	return h.value[load]
}

// BaselineClass is the job class of the entry that holds a service's baseline: its tail without
// batch tasks, as a fraction of its target. The load of the entry is a baseline bucket.
const BaselineClass = ""

// BaselineBuckets is the number of load buckets of the baseline, which rises more steeply with
// load than the interference of a job class.
const BaselineBuckets = 20

// BaselineKey returns the key of the service's baseline in a bucket.
func BaselineKey(service string, bucket int) SlowdownKey {
	return SlowdownKey{service, BaselineClass, uint8(min(max(bucket, 0), BaselineBuckets-1))}
}

// BaselineBucket returns the baseline bucket of a load between 0 and 1.
func BaselineBucket(load float64) int { return int(min(max(load, 0), 0.999) * BaselineBuckets) }

// Baseline returns the service's learnt tail without batch tasks, from the nearest known
// bucket, and false when no bucket is known.
func (t *Tables) Baseline(service string, bucket int) (float64, bool) {
	for d := range BaselineBuckets {
		for _, near := range [...]int{bucket - d, bucket + d} {
			if near < 0 || near >= BaselineBuckets {
				continue
			}
			if s, ok := t.Slowdowns[BaselineKey(service, near)]; ok {
				return s.PerCPU, true
			}
		}
	}
	return 0, false
}

// PressureLimits caches the pressure up to which batch tasks are placed on a service's VMs.
type PressureLimits struct {
	t *Tables
	// maxTail is the highest expected tail that a placement may cause, as a fraction of the target;
	// unreported is the limit for a service without a known baseline.
	maxTail, unreported float64
	service             string
	known               [BaselineBuckets]bool
	limit               [BaselineBuckets]float64
}

// Bounds of a pressure limit. The lower one admits some batch work on every VM; the upper one
// keeps processors for a service that is far below its target.
const (
	minPressureLimit = 0.03
	maxPressureLimit = 0.5
)

// PressureLimits returns an empty cache. unknown is the limit of a service without a known baseline.
func (t *Tables) PressureLimits(maxTail, unknown float64) *PressureLimits {
	return &PressureLimits{t: t, maxTail: maxTail, unreported: unknown}
}

// On returns the limit for a VM with the service and load.
func (l *PressureLimits) On(service string, load float64) float64 {
	return l.bucket(service, BaselineBucket(load))
}

// Max returns the highest limit within a load bucket.
func (l *PressureLimits) Max(service string, load uint8) float64 {
	const each = BaselineBuckets / LoadBuckets
	highest := 0.0
	for b := int(load) * each; b < int(load+1)*each; b++ {
		highest = max(highest, l.bucket(service, b))
	}
	return highest
}

func (l *PressureLimits) bucket(service string, b int) float64 {
	if service != l.service {
		l.service, l.known = service, [BaselineBuckets]bool{}
	}
	if !l.known[b] {
		l.known[b], l.limit[b] = true, l.unreported
		if base, ok := l.t.Baseline(service, b); ok && base > 0 {
			l.limit[b] = min(max(l.maxTail/base-1, minPressureLimit), maxPressureLimit)
		}
	}
	return l.limit[b]
}

// UsageBuckets is the number of buckets of a usage histogram. Each spans 1/8 octave (9%).
const UsageBuckets = 128

// UsageHistogram counts samples of resource use by bucket, with exponential decay.
type UsageHistogram [UsageBuckets]float32

// UsageProfile holds the learnt resource use and run time of a job class of a customer.
type UsageProfile struct {
	// CPU and Memory count measured amounts; CPURatio and MemoryRatio count measured over declared use.
	CPU, Memory, CPURatio, MemoryRatio UsageHistogram
	// Weight is the weight of the next sample. It grows with each sample, which has the same effect as
	// decaying the older samples.
	Weight  float32
	Samples uint32
	// Estimate holds the quantiles of the histograms as of sample EstimatedAt.
	Estimate    UsageEstimate
	EstimatedAt uint32
	// Tasks holds the tasks that contributed samples, up to the number that an estimate needs.
	Tasks map[string]struct{}
	// RunRatio is the moving average of measured over declared run time; 0 when unknown.
	RunRatio float64
	// RunTime is the moving average of the measured run time; 0 when unknown.
	RunTime time.Duration
	// FailedOn holds the VMs on which the class failed since its last success.
	FailedOn map[string]struct{}
}

// UsageEstimate is the use that a reservation must cover, as an amount and as a multiple of the declared size.
type UsageEstimate struct {
	Amount                task.Resources
	CPURatio, MemoryRatio float64
}

// Profile returns the profile of the job, and adds it when it is new.
func (t *Tables) Profile(job JobKey) *UsageProfile {
	s, ok := t.Profiles[job]
	if !ok {
		s = &UsageProfile{}
		t.Profiles[job] = s
	}
	return s
}

// TaskUsage is the measured use of one task.
type TaskUsage struct {
	Task string
	Used task.Resources
	// Fraction is the speed that the guard allowed, as a fraction of full speed; 0 when unknown.
	Fraction float64
}

// Report holds the measurements that a VM took Lag before At.
type Report struct {
	VM  string
	At  time.Duration
	Lag time.Duration
	// Tail is the service's p99 divided by its target, 0 when unknown.
	Tail float64
	// Load is the share of the upstream's slots in use.
	Load  float64
	Usage []TaskUsage
}

// AttemptEnd reports that an attempt ended by itself on a VM.
type AttemptEnd struct {
	Task string
	VM   string
	Job  JobKey
	OK   bool
	// Elapsed is the run time of the attempt; 0 when unknown.
	Elapsed time.Duration
	// DeclaredRemaining is the declared run time that remained when the attempt started.
	DeclaredRemaining time.Duration
}

// Ingest queues a report for the next pass and applies load and tail immediately.
func (t *Tables) Ingest(r Report) {
	if v, ok := t.VMs[r.VM]; ok {
		v.observeLoad(r.Load, r.At-r.Lag)
		v.Tail = r.Tail
		t.Reindex(v)
	}
	t.reports = append(t.reports, r)
}

// IngestAttemptEnd queues the end of the task's current attempt for the next pass. It must be
// called before the VM is cleared from the record.
func (t *Tables) IngestAttemptEnd(tk *Task, now time.Duration, ok bool) {
	e := AttemptEnd{Task: tk.Record.Spec.ID, VM: tk.Record.VM, Job: tk.Job(), OK: ok}
	if tk.Started > 0 {
		e.Elapsed = now - tk.Started
	}
	if d := tk.Record.Spec.Duration; d > 0 {
		e.DeclaredRemaining = max(d-tk.Record.Progress, 0)
	}
	t.attemptEnds = append(t.attemptEnds, e)
}

// TakeReports returns and clears the queued reports and attempt ends.
func (t *Tables) TakeReports() ([]Report, []AttemptEnd) {
	r, e := t.reports, t.attemptEnds
	t.reports, t.attemptEnds = nil, nil
	return r, e
}
