// Package decide measures the CPU and memory cost of scheduling decisions at the planned
// long-term size and the start latency of urgent work, in virtual time at the real tick rate.
package decide

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/scheduler"
	"github.com/chicorystand/chicorystand/control/scheduler/naive"
	"github.com/chicorystand/chicorystand/control/scheduler/tables"
	"github.com/chicorystand/chicorystand/verify/bench"
)

// Size is the size of the cluster and the load of one run.
type Size struct {
	VMs, Accelerators, Services, Batch, Customers int
	StartsPerSecond                               float64
	// Entries is the number of commit loops that share the store.
	Entries int
}

// LongTerm is the planned long-term size of the whole cluster.
var LongTerm = Size{VMs: 600, Accelerators: 640, Services: 1500, Batch: 3700, Customers: 230, StartsPerSecond: 130, Entries: 14}

// Scaled returns the size for another number of VMs at the same density.
func (s Size) Scaled(vms int) Size {
	f := float64(vms) / float64(s.VMs)
	scale := func(n int) int { return max(int(float64(n)*f+0.5), 1) }
	return Size{VMs: vms, Accelerators: scale(s.Accelerators), Services: scale(s.Services), Batch: scale(s.Batch),
		Customers: s.Customers, StartsPerSecond: s.StartsPerSecond * f, Entries: scale(s.Entries)}
}

// perEntryVMs is the number of VMs that one of 14 entries owns.
const perEntryVMs = 43

// Bounds of the checks.
const (
	maxCorePercent = 1.2
	maxHeapMB      = 128
	maxUrgent      = 1100 * time.Millisecond
)

// Durations of a run in virtual time. The scheduler learns reservations during the warm-up.
const (
	warmUp   = 40 * time.Second
	measured = 120 * time.Second
	largeRun = 40 * time.Second
	// The naive scheduler, which scans all tasks and VMs, is slow at the largest size.
	naiveRun      = 10 * time.Second
	largeNaiveRun = 3 * time.Second
)

// ticker is a scheduler that is measured.
type ticker interface {
	Tick(t *tables.Tables, now time.Duration) []scheduler.Decision
}

// Figures are the results of one run.
type Figures struct {
	Starts int
	// CPU is the CPU time of the process during the measured virtual time, including the load
	// generator and the garbage collector.
	CPU time.Duration
	// TickCPU is the time spent in Tick.
	TickCPU time.Duration
	Virtual time.Duration
	// PeakHeap is the growth of the heap over that before the run at its peak, in bytes, including
	// uncollected garbage.
	PeakHeap uint64
	// MeanRunning is the mean number of tasks on VMs.
	MeanRunning float64
	Urgent      *hdrhistogram.Histogram
	Writes      int
}

// CorePercent returns the CPU time as a percentage of one core.
func (f Figures) CorePercent() float64 { return 100 * f.CPU.Seconds() / f.Virtual.Seconds() }

// PerStart returns the time in Tick per start.
func (f Figures) PerStart() time.Duration { return f.TickCPU / time.Duration(max(f.Starts, 1)) }

// Run measures all sizes.
func Run(ctx context.Context, seed uint64) (*bench.Result, error) {
	cfg := scheduler.Config{TailWeight: 0.5, Seed: seed}
	res := &bench.Result{Bench: "decide", Seed: seed}
	table := bench.Table{Title: "decisions at 100 ms ticks in virtual time; one of 14 entries owns about 43 VMs",
		Header: []string{"scheduler", "VMs", "tasks", "starts/s", "% of a core", "peak heap MB", "us in Tick per start", "urgent p99 ms", "store writes/s"}}
	figures := make(map[int]Figures)
	for _, vms := range []int{perEntryVMs, 150, LongTerm.VMs, 2400} {
		d := measured
		if vms > LongTerm.VMs {
			d = largeRun
		}
		f, err := Measure(ctx, LongTerm.Scaled(vms), scheduler.New(cfg), seed, d)
		if err != nil {
			return nil, err
		}
		figures[vms] = f
		addRow(&table, "indexed", vms, f)
	}
	plainFigures := make(map[int]Figures)
	for _, vms := range []int{150, LongTerm.VMs, 2400} {
		d := naiveRun
		if vms > LongTerm.VMs {
			d = largeNaiveRun
		}
		f, err := Measure(ctx, LongTerm.Scaled(vms), naive.Scan{Config: cfg}, seed, d)
		if err != nil {
			return nil, err
		}
		plainFigures[vms] = f
		addRow(&table, "plain loops", vms, f)
	}
	res.Tables = append(res.Tables, table)
	wholeCluster := figures[LongTerm.VMs]
	res.Checks = append(res.Checks,
		bench.AtMost("decisions for the whole cluster", wholeCluster.CorePercent(), maxCorePercent, "% of a core"),
		bench.AtMost("decisions of one entry", figures[perEntryVMs].CorePercent(), maxCorePercent, "% of a core"),
		bench.AtMost("heap for the whole cluster", float64(wholeCluster.PeakHeap)/1e6, maxHeapMB, "MB"),
		bench.AtMost("urgent start p99", float64(wholeCluster.Urgent.ValueAtQuantile(99))/1e3, float64(maxUrgent.Milliseconds()), "ms"),
		bench.AtMost("growth of cost per start over growth of VMs, 150 to 600", growth(figures, 150, 600), 1, "x"),
		bench.AtMost("growth of cost per start over growth of VMs, 600 to 2400", growth(figures, 600, 2400), 1, "x"),
	)
	res.Tables = append(res.Tables, bench.Table{Title: "growth of cost per start for each growth of VMs",
		Header: []string{"scheduler", "150 to 600", "600 to 2400"}, Rows: [][]string{
			{"indexed", fmt.Sprintf("%.2f", growth(figures, 150, 600)), fmt.Sprintf("%.2f", growth(figures, 600, 2400))},
			{"plain loops", fmt.Sprintf("%.2f", growth(plainFigures, 150, 600)), fmt.Sprintf("%.2f", growth(plainFigures, 600, 2400))}}})
	return res, nil
}

func growth(f map[int]Figures, from, to int) float64 {
	return float64(f[to].PerStart()) / float64(f[from].PerStart()) / (float64(to) / float64(from))
}

func addRow(t *bench.Table, name string, vms int, f Figures) {
	sec := f.Virtual.Seconds()
	t.Add(name, vms, f.MeanRunning, float64(f.Starts)/sec, f.CorePercent(), float64(f.PeakHeap)/1e6,
		float64(f.PerStart().Nanoseconds())/1e3, float64(f.Urgent.ValueAtQuantile(99))/1e3, float64(f.Writes)/sec)
}

// Measure runs one scheduler on a generated load for the virtual time d.
func Measure(ctx context.Context, size Size, s ticker, seed uint64, d time.Duration) (Figures, error) {
	runtime.GC()
	base := heapBytes()
	l := newLoad(size, seed)
	warm := warmUp
	if d < measured {
		warm = d
	}
	f := Figures{Urgent: hdrhistogram.New(1, 60_000_000, 3), Virtual: d}
	for end := l.now + warm; l.now < end; {
		l.step(s)
	}
	l.reset(f.Urgent)
	cpu := processTime()
	peak, running, steps := uint64(0), 0, 0
	for end := l.now + d; l.now < end; steps++ {
		if ctx.Err() != nil {
			return f, errkind.Wrap(errkind.Cancelled, ctx.Err(), "benchmark")
		}
		l.step(s)
		running += len(l.t.Tasks) - len(l.t.Pending)
		if steps%50 == 0 {
			peak = max(peak, heapBytes())
		}
	}
	f.CPU = processTime() - cpu
	f.Starts, f.TickCPU, f.Writes = l.starts, l.inTick, l.store.writes
	f.MeanRunning = float64(running) / float64(steps)
	if peak > base {
		f.PeakHeap = peak - base
	}
	return f, nil
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func processTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
