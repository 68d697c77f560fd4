package entry

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

// Guards against a queued request that is sent after the configuration lease of its entry has run out.
func TestQueuedRequestNeedsAValidConfigurationLease(t *testing.T) {
	e := New(Config{ID: "e", Zone: "z", Table: standin.NewTable(1e6, 1e6), Clock: clock.Boottime{}, Log: zerolog.Nop()})
	e.table.Apply(wire.Members{Digest: wire.ShardDigest{Shard: "z-0", Epoch: 1, Version: 1},
		Upstreams: []wire.Upstream{{VM: "vm", Zone: "z", Service: "s", Slots: 1, DataAddr: "a"}}})
	s, err := e.service("s")
	assert.NilError(t, err)
	newCall := func() *call { return &call{service: s, deadline: time.Now().Add(10 * time.Second)} }
	first, err := e.acquire(t.Context(), newCall())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := e.acquire(ctx, newCall())
		result <- err
	}()
	for s.queue.Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The entry has never registered, so that it may admit no request.
	e.table.Done(&first, 1)
	s.queue.Wake(1)
	assert.Equal(t, errkind.Of(<-result), errkind.NotReady)
}
