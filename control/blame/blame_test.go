package blame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against giving up tasks that only ran beside one that crashes its executors, and against missing that one.
func TestAttribution(t *testing.T) {
	const second = time.Second
	run := func(age time.Duration, crashes int, crashAge time.Duration) Run {
		return Run{Age: age, AgeKnown: true, Crashes: crashes, CrashAge: crashAge}
	}
	unknown := func(crashes int) Run { return Run{Crashes: crashes} }
	for _, c := range []struct {
		name string
		runs []Run
		want []int
	}{
		{"no runs", nil, nil},
		{"suspect that has just begun, beside others that have", []Run{run(0, 0, 0), run(second/10, 1, second/10), run(3*second, 0, 0)}, []int{1}},
		{"only the runs that have just begun", []Run{run(second/10, 0, 0), run(second/5, 0, 0), run(2*second, 0, 0), run(2*second, 1, second/10)}, []int{0, 1}},
		{"suspect at the age of its last crash", []Run{run(2*second, 1, 2*second+second/4), run(2*second, 1, 4*second), run(2*second, 0, 0)}, []int{0}},
		{"at the age of a crash that was attributed to others", []Run{run(2*second, 0, 2*second), run(second/10, 0, 0), run(3*second, 0, 0)}, []int{0, 1}},
		{"long-running work beside a task that has just begun", []Run{run(30*second, 0, 0), run(0, 0, 0)}, []int{1}},
		{"nothing stands out", []Run{run(2*second, 0, 0), run(3*second, 1, second/10), run(12*second, 0, 0)}, nil},
		{"runs of a previous owner", []Run{unknown(0), unknown(1), run(20*second, 0, 0)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, Attribute(c.runs), c.want)
		})
	}
}
