package shard

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Guards against a data race on the result when the caller of Ask gives up before f has returned: f
// still runs on the owner's event loop. The race detector reports a result variable that the caller
// shares with the loop.
func TestAbandonedAskDoesNotShareResult(t *testing.T) {
	o := &Owner{inbox: make(chan func(), 1)}
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan struct{})
	go func() {
		f := <-o.inbox
		cancel()
		<-cancelled
		f()
		o.inbox <- func() {}
	}()
	result, err := Ask(ctx, o, func() (int, error) { return 7, errors.New("refused") })
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	close(cancelled)
	assert.Equal(t, result, 0)
	<-o.inbox
}

// Guards against a result or error that Ask changes or drops.
func TestAskReturnsResult(t *testing.T) {
	o := &Owner{inbox: make(chan func(), 1)}
	go func() { (<-o.inbox)() }()
	result, err := Ask(t.Context(), o, func() (int, error) { return 7, nil })
	assert.NilError(t, err)
	assert.Equal(t, result, 7)
}
