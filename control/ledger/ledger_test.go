package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
)

// Guards against a delayed or repeated start of an attempt that has ended, and
// against records of ended attempts that accumulate without bound.
func TestEndedAttemptIsRefusedAndForgotten(t *testing.T) {
	size := task.Resources{CPU: 1000}
	l := New(task.Resources{CPU: 1500}, task.Resources{})
	assert.NilError(t, l.Admit(1, Reservation{ID: "t", Attempt: 2, Reserved: size}))
	assert.NilError(t, l.Admit(1, Reservation{ID: "t", Attempt: 2, Reserved: size}), "a repeated start is not an error")
	assert.Equal(t, errkind.Of(l.Admit(1, Reservation{ID: "u", Attempt: 1, Reserved: size})), errkind.CapacityExceeded)
	l.End("t", 1, 0)
	assert.Equal(t, l.Reserved(), size, "the end of an older attempt releases nothing")
	l.End("t", 2, 0)
	assert.Equal(t, l.Reserved(), task.Resources{})
	assert.Equal(t, errkind.Of(l.Admit(1, Reservation{ID: "t", Attempt: 2, Reserved: size})), errkind.StaleAttempt)
	assert.Equal(t, errkind.Of(l.Admit(0, Reservation{ID: "t", Attempt: 3, Reserved: size})), errkind.StaleEpoch)
	assert.NilError(t, l.Admit(2, Reservation{ID: "t", Attempt: 3, Reserved: size}))
	l.End("u", 1, EndedRetention)
	assert.Equal(t, len(l.ended), 1, "only the record of u is kept")
}
