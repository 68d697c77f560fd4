package entry

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that reaches the upstream with a path or query other than the
// caller's.
func TestRequestPath(t *testing.T) {
	for _, c := range []struct{ name, target, want string }{
		{"plain", "/v1/services/s/a/b", "/a/b"},
		{"root", "/v1/services/s/", "/"},
		{"query", "/v1/services/s/a?x=1&y=%20", "/a?x=1&y=%20"},
		{"escaped space and percent", "/v1/services/s/a%20b%25", "/a%20b%25"},
		{"escaped slash and question mark", "/v1/services/s/a%2Fb%3Fc", "/a%2Fb%3Fc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, requestPath(httptest.NewRequest("GET", c.target, nil)), c.want)
		})
	}
}
