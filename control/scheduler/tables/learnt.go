package tables

import (
	"time"

	"github.com/chicorystand/chicorystand/control/task"
)

// Pair identifies the effect of a job class on a service under a load.
type Pair struct {
	Service  string
	JobClass string
	Load     uint8
}

// Slowdown is a learnt effect.
type Slowdown struct {
	// Harm is the relative increase of the service's p99 for each processor that the class uses.
	Harm float64
	// Weight is the evidence, in processors seen.
	Weight float64
}

// DefaultHarm is assumed for a class that has not been seen beside the service. It is
// above that of a quiet class, so that an unknown class is spread until it is known.
const DefaultHarm = 0.01

// Harm returns the learnt effect, of another load bucket when this one is unknown.
func (t *Tables) Harm(service, class string, load uint8) float64 {
	if service == "" {
		return 0
	}
	if s, ok := t.Pairs[Pair{service, class, load}]; ok {
		return s.Harm
	}
	for d := uint8(1); d < LoadBuckets; d++ {
		if load >= d {
			if s, ok := t.Pairs[Pair{service, class, load - d}]; ok {
				return s.Harm
			}
		}
		if s, ok := t.Pairs[Pair{service, class, load + d}]; ok {
			return s.Harm
		}
	}
	return DefaultHarm
}

// Harms caches the effects of one job class during one search.
type Harms struct {
	t       *Tables
	class   string
	service string
	known   [LoadBuckets]bool
	harm    [LoadBuckets]float64
}

// HarmsOf returns an empty cache for the class.
func (t *Tables) HarmsOf(class string) *Harms { return &Harms{t: t, class: class} }

// On returns the effect on a service under a load.
func (h *Harms) On(service string, load uint8) float64 {
	if service == "" {
		return 0
	}
	if service != h.service {
		h.service, h.known = service, [LoadBuckets]bool{}
	}
	if !h.known[load] {
		h.known[load], h.harm[load] = true, h.t.Harm(service, h.class, load)
	}
	return h.harm[load]
}

// BaseClass is the job class of the pair that holds a service's tail without batch tasks,
// as a fraction of its target. Its load is a class of BaseBuckets.
const BaseClass = ""

// BaseBuckets is the number of load classes of the tail without batch tasks, which rises
// with load more steeply than the effect of a class does.
const BaseBuckets = 20

// BasePair returns the pair of the service's tail without batch tasks.
func BasePair(service string, bucket int) Pair {
	return Pair{service, BaseClass, uint8(min(max(bucket, 0), BaseBuckets-1))}
}

// BaseBucket returns the class of a load between 0 and 1.
func BaseBucket(load float64) int { return int(min(max(load, 0), 0.999) * BaseBuckets) }

// Base returns the service's learnt tail without batch tasks, of the nearest class of load
// that is known, and false when none is.
func (t *Tables) Base(service string, bucket int) (float64, bool) {
	for d := range BaseBuckets {
		for _, near := range [...]int{bucket - d, bucket + d} {
			if near < 0 || near >= BaseBuckets {
				continue
			}
			if s, ok := t.Pairs[BasePair(service, near)]; ok {
				return s.Harm, true
			}
		}
	}
	return 0, false
}

// Limits caches the pressure up to which batch tasks are placed beside a service.
type Limits struct {
	t *Tables
	// maxTail is the tail, as a fraction of the target, that placements may be expected to cause.
	maxTail, unknown float64
	service          string
	known            [BaseBuckets]bool
	limit            [BaseBuckets]float64
}

// Bounds of a limit: some batch work is placed beside any service, and a service far below
// its target keeps its processors.
const (
	minLimit = 0.03
	maxLimit = 0.5
)

// LimitsOf returns an empty cache. unknown is the limit of a service without reports.
func (t *Tables) LimitsOf(maxTail, unknown float64) *Limits {
	return &Limits{t: t, maxTail: maxTail, unknown: unknown}
}

// On returns the limit for a VM with the load.
func (l *Limits) On(service string, load float64) float64 {
	return l.bucket(service, BaseBucket(load))
}

// Highest returns the highest limit within a load bucket.
func (l *Limits) Highest(service string, load uint8) float64 {
	const each = BaseBuckets / LoadBuckets
	highest := 0.0
	for b := int(load) * each; b < int(load+1)*each; b++ {
		highest = max(highest, l.bucket(service, b))
	}
	return highest
}

func (l *Limits) bucket(service string, b int) float64 {
	if service != l.service {
		l.service, l.known = service, [BaseBuckets]bool{}
	}
	if !l.known[b] {
		l.known[b], l.limit[b] = true, l.unknown
		if base, ok := l.t.Base(service, b); ok && base > 0 {
			l.limit[b] = min(max(l.maxTail/base-1, minLimit), maxLimit)
		}
	}
	return l.limit[b]
}

// SizeBuckets is the number of classes of a learnt size. Each is 1/8 octave (9%).
const SizeBuckets = 128

// Uses counts decayed samples by class of use.
type Uses [SizeBuckets]float32

// Size is what was learnt about a job class of a customer.
type Size struct {
	// CPU and Memory count amounts; CPURatio and MemoryRatio count real over declared use.
	CPU, Memory, CPURatio, MemoryRatio Uses
	// Weight is the weight of the next sample; it grows instead of older samples shrinking.
	Weight float32
	// Samples is the number of samples.
	Samples uint32
	// Learnt holds the quantiles of the counts as of sample LearntAt.
	Learnt   LearntSize
	LearntAt uint32
	// Tasks counts the tasks that contributed, up to the number that is needed.
	Tasks map[string]struct{}
	// RunRatio is the mean of real over declared run time; 0 when unknown.
	RunRatio float64
	// RunTime is the mean real run time at full speed; 0 when unknown.
	RunTime time.Duration
	// FailedOn holds the VMs on which the class failed since its last success.
	FailedOn map[string]struct{}
}

// LearntSize is what a reservation must cover, as an amount and as a multiple of the declared size.
type LearntSize struct {
	Amount                task.Resources
	CPURatio, MemoryRatio float64
}

// Size returns the entity of the job and adds it when it is new.
func (t *Tables) Size(job JobKey) *Size {
	s, ok := t.Sizes[job]
	if !ok {
		s = &Size{}
		t.Sizes[job] = s
	}
	return s
}

// Use is the measured use of one task.
type Use struct {
	Task string
	Use  task.Resources
	// Fraction is the speed that the guard allowed, 0 when unknown.
	Fraction float64
}

// Report is what a VM measured Lag before At.
type Report struct {
	VM  string
	At  time.Duration
	Lag time.Duration
	// Tail is the service's p99 divided by its target, 0 when unknown.
	Tail float64
	// Load is the used share of the upstream's slots.
	Load float64
	Uses []Use
}

// Ended tells that an attempt ended by itself on a VM.
type Ended struct {
	Task string
	VM   string
	Job  JobKey
	OK   bool
	// Run is how long the attempt ran; 0 when unknown.
	Run time.Duration
	// Declared is the declared run time that was left at its start.
	Declared time.Duration
}

// Ingest queues a report for the next tick and applies load and tail at once.
func (t *Tables) Ingest(r Report) {
	if v, ok := t.VMs[r.VM]; ok {
		v.observeLoad(r.Load, r.At-r.Lag)
		v.Tail = r.Tail
		t.Touch(v)
	}
	t.reports = append(t.reports, r)
}

// IngestEnd queues the end of the task's current attempt for the next tick. It must be
// called before the record leaves the VM.
func (t *Tables) IngestEnd(tk *Task, now time.Duration, ok bool) {
	e := Ended{Task: tk.Record.Spec.ID, VM: tk.Record.VM, Job: tk.Job(), OK: ok}
	if tk.Started > 0 {
		e.Run = now - tk.Started
	}
	if d := tk.Record.Spec.Duration; d > 0 {
		e.Declared = max(d-tk.Record.Progress, 0)
	}
	t.ended = append(t.ended, e)
}

// TakeReports returns the queued inputs and empties the queues.
func (t *Tables) TakeReports() ([]Report, []Ended) {
	r, e := t.reports, t.ended
	t.reports, t.ended = nil, nil
	return r, e
}
