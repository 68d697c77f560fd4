package delays

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `
output that precedes the log
  0.0000 front-1 {"event":600,"name":"job_taken","id":"a","queue":"q","restored":false}
  1.0000 front-1 {"event":603,"name":"task_placed","task":"a.0.0.0","run":1}
  1.0000 front-1 {"event":603,"name":"task_placed","task":"a.0.0.1","run":1}
  1.5000 front-1 {"event":604,"name":"run_started","task":"a.0.0.0","run":1}
  1.5000 front-1 {"event":604,"name":"run_started","task":"a.0.0.1","run":1}
  2.0000 front-1 {"event":606,"name":"run_ended","task":"a.0.0.0","cause":"done"}
  3.5000 front-1 {"event":655,"name":"task_paced","task":"a.0.0.1","percent":25}
  5.5000 front-1 {"event":606,"name":"run_ended","task":"a.0.0.1","cause":"stopped"}
  6.0000 front-1 {"event":603,"name":"task_placed","task":"a.0.0.1","run":2}
  6.0000 front-1 {"event":604,"name":"run_started","task":"a.0.0.1","run":2}
  7.0000 front-1 {"event":606,"name":"run_ended","task":"a.0.0.1","cause":"done"}
  7.2500 front-1 {"event":603,"name":"task_placed","task":"a.0.1.0","run":1}
  7.2500 front-1 {"event":604,"name":"run_started","task":"a.0.1.0","run":1}
  8.0000 front-1 {"event":606,"name":"run_ended","task":"a.0.1.0","cause":"done"}
  8.0000 front-1 {"event":602,"name":"job_ended","id":"a","state":"completed"}
  9.0000 front-1 {"event":600,"name":"job_taken","id":"b","queue":"q","restored":false}
  9.0000 front-1 {"event":600,"name":"job_taken","id":"c","queue":"q","restored":true}
  9.5000 front-1 {"event":602,"name":"job_ended","id":"c","state":"completed"}
  9.9000 front-1 {"event":60
`

// Independent steps run concurrently. Guards against a negative waiting time of the second step.
func TestConcurrentStepsDoNotWaitForEachOther(t *testing.T) {
	queues, err := Read(strings.NewReader(`
  0.0000 front-1 {"event":600,"id":"a","queue":"q"}
  0.0000 front-1 {"event":603,"task":"a.0.0.0"}
  0.0000 front-1 {"event":603,"task":"a.0.1.0"}
  0.0000 front-1 {"event":604,"task":"a.0.0.0"}
  0.0000 front-1 {"event":604,"task":"a.0.1.0"}
  2.0000 front-1 {"event":606,"task":"a.0.1.0","cause":"done"}
  3.0000 front-1 {"event":606,"task":"a.0.0.0","cause":"done"}
  3.0000 front-1 {"event":602,"id":"a"}
`))
	assert.NilError(t, err)
	assert.Equal(t, queues[0].Waiting, 0.0)
	assert.Equal(t, queues[0].Working, 5.0)
}

// Guards against time that is counted twice or left out, which would point to the wrong cause of a
// delay: the phases must add up to the time from acceptance to the end.
func TestPartsAddUpToSubmissionTime(t *testing.T) {
	queues, err := Read(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	assert.Equal(t, len(queues), 1)
	q := queues[0]
	assert.Equal(t, q.Submissions, 1)
	assert.Equal(t, q.Waiting, 1.25)
	assert.Equal(t, q.Starting, 0.5)
	assert.Equal(t, q.Working, 2.0+0.5+1.0+0.75)
	assert.Equal(t, q.Throttled, 1.5)
	assert.Equal(t, q.Rescheduling, 0.5)
	assert.DeepEqual(t, q.UnfinishedRuns, map[string]int{"stopped": 1})
	assert.Equal(t, q.Waiting+q.Starting+q.Working+q.Throttled+q.Rescheduling, 8.0)
}
