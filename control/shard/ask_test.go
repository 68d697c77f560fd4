package shard

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// The owner may still be at work on a call whose caller has given up. What it returns
// then must not be read: with the race detector, a caller that shares its variables
// with the owner's loop fails here.
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

// An answer in time is passed on as it is.
func TestAskReturnsTheAnswer(t *testing.T) {
	o := &Owner{inbox: make(chan func(), 1)}
	go func() { (<-o.inbox)() }()
	result, err := Ask(t.Context(), o, func() (int, error) { return 7, nil })
	assert.NilError(t, err)
	assert.Equal(t, result, 7)
}
