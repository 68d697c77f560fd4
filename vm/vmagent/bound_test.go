package vmagent

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Guards against heartbeats under ever new names, each of which would take a goroutine and a connection for good.
func TestExecutorsAreBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := clock.Boottime{}
	a := New(ctx, Config{Name: "agent", Client: &fakeExecutor{}, Clock: c, Log: zerolog.Nop(), Link: member.NewOwnerLink(c, zerolog.Nop()),
		Observe: func(string, executor.Answer) {}})
	beat := func(i int) bool {
		return a.Heartbeat(executor.Info{Incarnation: submission.Incarnation{ID: fmt.Sprint("i-", i), StartedAt: 1}, Address: fmt.Sprint("10.0.0.1:", i), Sequence: 1})
	}
	accepted := 0
	for i := range 2 * maxExecutors {
		if beat(i) {
			accepted++
		}
	}
	assert.Equal(t, accepted, maxExecutors)
	assert.Assert(t, beat(0), "a known executor is refused")
}
