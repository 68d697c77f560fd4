package metrics_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/control/confsync"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// Guards against an age that is never set because the configuration's row key
// changed, and against a store that is reported as reachable while it is down.
func TestStoreHealthAndAges(t *testing.T) {
	m := metrics.NewEntry()
	raw := standin.NewTable(400, 2000)
	table := m.Table(raw)
	assert.Assert(t, !m.Store.Reachable() && m.ConfigReadAge() < 0)
	_, err := table.Get(context.Background(), confsync.KeyGenerations)
	assert.NilError(t, err)
	assert.Assert(t, m.Store.Reachable() && m.ConfigReadAge() >= 0 && m.ConfigReadAge() < time.Minute)
	raw.SetFaults(standin.Faults{Down: true})
	time.Sleep(time.Millisecond)
	_, err = table.Scan(context.Background(), "x", "", 1)
	assert.Assert(t, err != nil && !m.Store.Reachable())
}
