// Package worker defines the interface to the platform's workers.
package worker

import (
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Start describes one attempt for the worker.
type Start struct {
	ID       string
	Customer string
	JobClass string
	Class    task.Class
	Attempt  uint32
	Reserved task.Resources
	// Declared is the size that the customer declared; Reserved follows the learnt use.
	Declared task.Resources
	// Duration is the total work at full speed, 0 for tasks that run until stopped.
	Duration time.Duration
	// Progress and Checkpoint are where the attempt resumes.
	Progress   time.Duration
	Checkpoint string
}

// Running is one attempt on the worker.
type Running struct {
	Start
	Suspended bool
	Progress  time.Duration
}

// Checkpoint is a stored state of an attempt.
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

// Worker runs tasks on one VM under leases. Attempts of every class are suspended
// by the worker when the lease lapses, even while the agent is paused, and
// continue in place when it is renewed. Latency-critical tasks are included,
// since the owner starts them elsewhere after the VM's grant has ended.
type Worker interface {
	// Capacity is the real size of the VM.
	Capacity() task.Resources
	// Start begins an attempt. Starting a running attempt again has no effect.
	Start(s Start) error
	// Renew extends the lease of every attempt to until on the VM's clock.
	Renew(until time.Duration)
	// Throttle limits an attempt to a fraction of its speed, 0 < fraction <= 1.
	Throttle(id string, fraction float64)
	// Checkpoint stores the state of an attempt under a key that names the attempt.
	// It fails with errkind.NotFound when the attempt does not run and with
	// errkind.StoreUnavailable when the state could not be stored.
	Checkpoint(id string, attempt uint32) (Checkpoint, error)
	// Stop ends an attempt. Stopping an absent attempt has no effect; an attempt
	// that ended by itself keeps its result.
	Stop(id string, attempt uint32)
	// List returns the attempts on the VM.
	List() []Running
	// Usage returns measured use and how old it is.
	Usage() ([]Usage, time.Duration)
	// Finished delivers attempts that ended by themselves.
	Finished() <-chan Finished
	// Results returns the attempts that ended by themselves and are not yet
	// acknowledged. They outlast the agent process, so that a restarted agent
	// reports them.
	Results() []Finished
	// Acknowledge drops the result of an attempt that the owner has recorded.
	Acknowledge(id string, attempt uint32)
}

// ErrCapacity is returned by Worker.Start when the attempt does not fit.
var ErrCapacity = errkind.New(errkind.CapacityExceeded, "the attempt does not fit on the worker")
