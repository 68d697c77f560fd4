package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new owner that counts a submission as begun whose recorded start was never executed.
func TestRecordedStartDoesNotCountAsBegun(t *testing.T) {
	f := newFixture(t)
	f.executor("e1", nil)
	s := testSubmission(testStep(1))
	s.Queue = "q"
	f.add(s)
	f.pass()
	assert.Equal(t, len(f.starts()), 1)

	f.owner = f.newOwner(testEpoch + 1)
	f.add(s)
	assert.Equal(t, f.owner.Pending()["q"], 1)
	f.now += time.Second
	f.executor("e1", nil)
	assert.Equal(t, f.owner.Pending()["q"], 1)
}
