package demo_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/verify/demo"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

// Guards against failures on the request path from a client through entry and agent to the
// upstream, and against tasks that are lost when an agent and an entry stop.
func TestDemoKeepsInvariants(t *testing.T) {
	for _, name := range []string{"belfry-lane", "laternenwerk"} {
		t.Run(name, func(t *testing.T) {
			d, err := devenv.Load(name)
			assert.NilError(t, err)
			rep, err := demo.Run(t.Context(), demo.Config{Deployment: d, Duration: 6 * time.Second, RequestsPerSecond: 100, BatchTasks: 20, Seed: 1})
			assert.NilError(t, err)
			for _, v := range rep.Violations {
				assert.Equal(t, v.Violations, 0, "%s: %s", v.Invariant, v.First)
			}
			assert.Equal(t, rep.Tasks.Succeeded, 20)
			assert.Assert(t, rep.OK())
		})
	}
}
