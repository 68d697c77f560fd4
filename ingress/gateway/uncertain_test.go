package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/state/store"
)

// scriptedTable answers commits with errors of the given kinds, in order.
type scriptedTable struct {
	store.Table
	kinds []errkind.Kind
}

func (s *scriptedTable) Commit(context.Context, store.Txn) ([]uint64, error) {
	kind := s.kinds[0]
	s.kinds = s.kinds[1:]
	return nil, errkind.New(kind, "scripted")
}

// A submission whose first write may take effect used to be called rejected when the store refused the second one for
// any reason but being unavailable.
func TestRefusalAfterUncertainWriteIsNotARejection(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.PermissionDenied, errkind.NotFound, errkind.TooLarge, errkind.InvalidArgument} {
		g := newGateway(newTable(), noResponse)
		g.store = &scriptedTable{kinds: []errkind.Kind{errkind.StoreAmbiguous, kind}}
		err := g.Submit(t.Context(), &manifest.Route{Name: "q"}, testSubmission())
		assert.Assert(t, errkind.Of(err).Attributes().Execution != errkind.ExecutionNotRun, "%s: %v", kind, err)
	}
}
