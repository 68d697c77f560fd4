// Package worker defines the interface to the platform's workers, which run tasks on a VM.
package worker

import (
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Start describes an attempt to be started.
type Start struct {
	ID       string
	Customer string
	JobClass string
	Class    task.Class
	Attempt  uint32
	Reserved task.Resources
	// Declared is the size declared by the customer; Reserved follows the learnt use.
	Declared task.Resources
	// Duration is the total work at full speed, 0 for tasks that run until stopped.
	Duration time.Duration
	// Progress and Checkpoint are the point from which the attempt resumes.
	Progress   time.Duration
	Checkpoint string
}

// Running is the state of an attempt on the worker.
type Running struct {
	Start
	Suspended bool
	Progress  time.Duration
}

// Checkpoint is the stored state of an attempt.
type Checkpoint struct {
	Ref      string
	Progress time.Duration
}

// Usage is the measured use of an attempt.
type Usage struct {
	ID  string
	Use task.Resources
}

// Finished reports that an attempt ended by itself.
type Finished struct {
	ID      string
	Attempt uint32
	// Err is nil on success.
	Err error
}

// Worker runs tasks on one VM under a lease. When the lease expires, the worker suspends
// all attempts, even while the agent is paused, and resumes them in place when it is
// renewed. This includes latency-critical tasks, since the owner starts them elsewhere
// after the VM's grant has expired.
type Worker interface {
	// Capacity returns the physical size of the VM.
	Capacity() task.Resources
	// Start starts an attempt. It has no effect when the attempt runs already.
	Start(s Start) error
	// Renew extends the lease of every attempt to until on the VM's clock.
	Renew(until time.Duration)
	// Throttle limits an attempt to a fraction of full speed, 0 < fraction <= 1.
	Throttle(id string, fraction float64)
	// Checkpoint stores the state of an attempt under a key that contains the attempt number.
	// It fails with errkind.NotFound when the attempt does not run and with
	// errkind.StoreUnavailable when the state could not be stored.
	Checkpoint(id string, attempt uint32) (Checkpoint, error)
	// Stop ends an attempt. Stopping an absent attempt has no effect; an attempt
	// that ended by itself keeps its result.
	Stop(id string, attempt uint32)
	// List returns the attempts on the VM.
	List() []Running
	// Usage returns the measured use of the attempts and the age of the measurement.
	Usage() ([]Usage, time.Duration)
	// Finished delivers attempts that ended by themselves.
	Finished() <-chan Finished
	// Results returns the attempts that ended by themselves and are not yet
	// acknowledged. They persist across restarts of the agent, so that a restarted
	// agent reports them.
	Results() []Finished
	// Acknowledge drops the result of an attempt that the owner has recorded.
	Acknowledge(id string, attempt uint32)
}

// ErrCapacity is returned by Worker.Start when the attempt does not fit.
var ErrCapacity = errkind.New(errkind.CapacityExceeded, "the worker has too little free capacity for the attempt")
