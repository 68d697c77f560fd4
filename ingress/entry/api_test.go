package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/identity"
)

// Guards against invalid input that gets no response, a response without a defined error
// kind, or an internal error.
func TestBadInput(t *testing.T) {
	f := startSecured(t)
	admin := f.client(identity.Identity{Role: identity.Administrator, Name: "root"})
	ids := `"` + strings.Repeat(`x","`, entry.MaxCancel) + `x"`
	for _, c := range []struct {
		method, path, body string
		want               errkind.Kind
	}{
		{"GET", "/", "", errkind.NotFound},
		{"DELETE", "/v1/config", "", errkind.NotFound},
		{"PUT", "/v1/config", "", errkind.Conflict},
		{"PUT", "/v1/config", "generation: x", errkind.InvalidArgument},
		{"PUT", "/v1/config", "generation: 1\nplanz: []", errkind.InvalidArgument},
		{"PUT", "/v1/config", "generation: 1\nplans: [{customer: a, plan: none}]", errkind.InvalidArgument},
		{"PUT", "/v1/config", "generation: 99\n", errkind.Conflict},
		{"POST", "/v1/tasks", "", errkind.InvalidArgument},
		{"POST", "/v1/tasks", `[{"id":"a","class":"odd"}]`, errkind.InvalidArgument},
		{"POST", "/v1/tasks", `[{"id":"a","unknown":1}]`, errkind.InvalidArgument},
		{"POST", "/v1/tasks", "[" + strings.Repeat(`{"id":"a"},`, entry.MaxSubmit) + `{"id":"a"}]`, errkind.TooLarge},
		{"POST", "/v1/tasks/cancel", "{}", errkind.InvalidArgument},
		{"POST", "/v1/tasks/cancel", `{"state":"odd"}`, errkind.InvalidArgument},
		{"POST", "/v1/tasks/cancel", `{"ids":[` + ids + `]}`, errkind.TooLarge},
		{"GET", "/v1/tasks?limit=0", "", errkind.InvalidArgument},
		{"GET", "/v1/tasks?limit=x", "", errkind.InvalidArgument},
		{"GET", "/v1/tasks/none/explain", "", errkind.NotFound},
		{"GET", "/v1/requests/none/explain", "", errkind.NotFound},
		{"GET", "/v1/upstreams/none", "", errkind.NotFound},
		{"POST", "/v1/upstreams/none/drain?undo=odd", "", errkind.InvalidArgument},
		{"GET", "/v1/events?after=-1", "", errkind.InvalidArgument},
		{"POST", "/v1/services/none/x", "", errkind.NoUpstream},
	} {
		req, err := http.NewRequest(c.method, f.api+c.path, strings.NewReader(c.body))
		assert.NilError(t, err)
		req.Header.Set(entry.HeaderCustomer, "a")
		resp, err := admin.Do(req)
		assert.NilError(t, err)
		answer, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.Header.Get(entry.HeaderKind), c.want.String(), "%s %s: %s", c.method, c.path, answer)
		assert.Equal(t, resp.StatusCode, c.want.Attributes().HTTPStatus, "%s %s", c.method, c.path)
	}
}
