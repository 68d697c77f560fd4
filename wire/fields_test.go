package wire

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Guards against builds that can't talk to the one before during an upgrade: a decoder refuses a struct
// with another number of fields.
func TestMessagesKeepTheirFields(t *testing.T) {
	for _, c := range []struct {
		value  any
		fields int
	}{
		{Lead{}, 3}, {Report{}, 7}, {StartOrder{}, 6}, {StopOrder{}, 2}, {Orders{}, 8}, {ThrottleOrder{}, 3}, {OrderResult{}, 5},
		{OrderResults{}, 4}, {StateQuery{}, 1}, {StateReply{}, 2}, {QueueCounts{}, 2}, {CreateRow{}, 2}, {Backlog{}, 3}, {QueueBacklog{}, 7},
		{executor.Info{}, 11}, {executor.Run{}, 5}, {executor.End{}, 5}, {submission.Incarnation{}, 2}, {task.Resources{}, 3},
	} {
		typ := reflect.TypeOf(c.value)
		assert.Equal(t, typ.NumField(), c.fields, typ.String())
	}
}
