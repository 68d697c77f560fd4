// Package blame attributes the crash of an executor to some of the runs that it held. It finds tasks that crash
// each executor that starts them. Every crash ends the other runs there too, so that few crashes have to suffice.
// It has no side effects.
package blame

import "time"

const (
	// MaxCrashes is the number of crashes attributed to a task after which it is given up. The second and
	// the third follow starts that no other start followed at once, so that chance is unlikely.
	MaxCrashes = 3
	// FreshAge is the age up to which a run is the first suspect of a crash.
	FreshAge = 200 * time.Millisecond
	// ageTolerance is the difference up to which two crashes count as being at the same age of a run.
	ageTolerance = 500 * time.Millisecond
)

// Run is a run on an executor that has crashed.
type Run struct {
	// Age is the time from the start of the run to the last sign of life of the executor, 0 for one whose
	// start is not confirmed. The executor may have crashed long before that is known.
	Age time.Duration
	// AgeKnown is false for a run that a previous owner started.
	AgeKnown bool
	// Crashes is the number of crashes attributed to the task before.
	Crashes int
	// CrashAge is the age of the task's run at the last crash of its executor, attributed to it or not, 0 for none.
	CrashAge time.Duration
}

// Attribute returns the positions of the runs to which a crash is attributed, in ascending order.
//
// A suspected run that has just begun is blamed alone, since the scheduler lets nothing else start beside it.
// Otherwise those that have just begun are blamed, and those at the age of their last crash. Without any of these
// nobody is: a task that crashes its executors later in its run is found by the age of the next crash.
func Attribute(runs []Run) []int {
	if found := positions(runs, (*Run).freshSuspect); len(found) > 0 {
		return found
	}
	return positions(runs, (*Run).likely)
}

func positions(runs []Run, matches func(*Run) bool) []int {
	var found []int
	for i := range runs {
		if matches(&runs[i]) {
			found = append(found, i)
		}
	}
	return found
}

func (r *Run) fresh() bool { return r.AgeKnown && r.Age <= FreshAge }

func (r *Run) freshSuspect() bool { return r.Crashes > 0 && r.fresh() }

// likely reports whether a run has just begun, or has the age at which the task was in a crash before.
func (r *Run) likely() bool {
	sameAge := r.CrashAge > 0 && r.AgeKnown && (r.Age-r.CrashAge).Abs() <= ageTolerance
	return r.fresh() || sameAge
}
