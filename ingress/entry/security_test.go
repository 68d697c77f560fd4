package entry_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/state/identity"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

var (
	tomorrow  = time.Now().Add(24 * time.Hour)
	yesterday = time.Now().Add(-24 * time.Hour)
)

func issueSource(t *testing.T, ca *identity.Authority, trust []byte, id identity.Identity, end time.Time) *identity.Source {
	t.Helper()
	dir := t.TempDir()
	cert, key, err := ca.Issue(id, end)
	assert.NilError(t, err)
	f := identity.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, data := range map[string][]byte{f.Cert: cert, f.Key: key, f.CA: trust} {
		assert.NilError(t, os.WriteFile(name, data, 0o600))
	}
	s, err := identity.Load(f)
	assert.NilError(t, err)
	return s
}

type fixture struct {
	*testing.T
	ca      *identity.Authority
	entry   *entry.Entry
	api     string
	control string
}

const connectionLimit = 8

func startSecured(t *testing.T) *fixture {
	ca, err := identity.NewAuthority("test")
	assert.NilError(t, err)
	f := &fixture{T: t, ca: ca}
	entrySource := issueSource(t, ca, ca.PEM, identity.Identity{Role: identity.Entry, Name: "e1", Zone: "z"}, tomorrow)
	f.entry = entry.New(entry.Config{ID: "e1", Zone: "z", Incarnation: 1, ShardsPerZone: 1, Table: standin.NewTable(400, 2000),
		Clock: clock.Boottime{}, RequireIdentity: true, Dial: identity.Dialer(entrySource, identity.Entry, identity.Agent)})
	listen := func(name string, roles ...identity.Role) net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return identity.Listen(l, entrySource.ServerConfig(roles...), connectionLimit, func(reason string, _ net.Addr, _ error) {
			f.entry.Metrics().Connections.Refused.WithLabelValues(name, reason).Inc()
		})
	}
	control := listen("control", identity.Entry, identity.Agent)
	api := listen("api", identity.Customer, identity.Reader, identity.Operator, identity.Administrator)
	f.api, f.control = "https://"+api.Addr().String(), control.Addr().String()
	done := make(chan struct{})
	go func() { defer close(done); _ = f.entry.Run(t.Context(), control, api) }()
	t.Cleanup(func() { <-done })
	admin := f.client(identity.Identity{Role: identity.Administrator, Name: "root"})
	doc := "generation: 0\nlimits: [{plan: p}]\nplans: [{customer: a, plan: p}, {customer: b, plan: p}]"
	for end := time.Now().Add(10 * time.Second); f.send(admin, "PUT", "/v1/config", doc, nil) != http.StatusOK; time.Sleep(200 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	return f
}

func (f *fixture) client(id identity.Identity) *http.Client {
	s := issueSource(f.T, f.ca, f.ca.PEM, id, tomorrow)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: s.ClientConfig(identity.Entry), DisableKeepAlives: true}}
}

// send returns the response status, or 0 when there was no response.
func (f *fixture) send(c *http.Client, method, path, body string, header map[string]string) int {
	req, err := http.NewRequest(method, f.api+path, strings.NewReader(body))
	assert.NilError(f, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.Do(req)
	if err != nil {
		f.Logf("%s %s: %v", method, path, err)
		return 0
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 300))
	assert.NilError(f, err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.Logf("%s %s: %s %s", method, path, resp.Status, answer)
	}
	return resp.StatusCode
}

func counterValue(c prometheus.Counter) float64 {
	var m dto.Metric
	_ = c.Write(&m)
	return m.GetCounter().GetValue()
}

func (f *fixture) refused(listener, reason string) float64 {
	return counterValue(f.entry.Metrics().Connections.Refused.WithLabelValues(listener, reason))
}

// Guards against a role that can call operations beyond its permissions, and a customer
// that acts as another one, or reads or cancels its tasks.
func TestRolePermissions(t *testing.T) {
	f := startSecured(t)
	id := func(r identity.Role, name string) identity.Identity { return identity.Identity{Role: r, Name: name} }
	const submit = `[{"id":"t1","customer":"b","job_class":"j","class":"batch","resources":{"cpu_milli":1,"memory_mib":1,"accelerators":0},"duration":0,"deadline":0}]`
	asCustomerB := map[string]string{"X-Customer": "b"}
	for _, c := range []struct {
		id                 identity.Identity
		method, path, body string
		header             map[string]string
		want               int
	}{
		{id(identity.Reader, "r"), "GET", "/v1/status", "", nil, 200},
		{id(identity.Reader, "r"), "PUT", "/v1/config", "", nil, 403},
		{id(identity.Reader, "r"), "POST", "/v1/tasks/cancel", `{"ids":["x"]}`, nil, 403},
		{id(identity.Reader, "r"), "POST", "/v1/services/s/x", "", asCustomerB, 403},
		{id(identity.Operator, "o"), "PUT", "/v1/config", "", nil, 403},
		{id(identity.Operator, "o"), "POST", "/v1/upstreams/none/drain", "", nil, 404},
		{id(identity.Customer, "a"), "GET", "/v1/status", "", nil, 403},
		{id(identity.Customer, "a"), "POST", "/v1/services/s/x", "", asCustomerB, 403},
		{id(identity.Customer, "a"), "POST", "/v1/services/s/x", "", nil, 503},
		{id(identity.Customer, "a"), "GET", "/v1/tasks?customer=b", "", nil, 403},
		{id(identity.Customer, "a"), "POST", "/v1/tasks/cancel", `{"customer":"b","ids":["x"]}`, nil, 403},
		{id(identity.Customer, "a"), "POST", "/v1/tasks", submit, nil, 200},
	} {
		assert.Equal(t, f.send(f.client(c.id), c.method, c.path, c.body, c.header), c.want, "%s %s %s", c.id.Role, c.method, c.path)
	}
	denied := f.entry.Metrics().APIErrors.WithLabelValues(errkind.PermissionDenied.String())
	assert.Assert(t, counterValue(denied) >= 6)
	refused := f.entry.Metrics().Refusals.WithLabelValues(errkind.PermissionDenied.String())
	assert.Equal(t, counterValue(refused), 1.0, "the submission for another customer")
}

// Guards against accepting certificates that are from another authority, expired, or of a
// role that the listener does not accept.
func TestCertificates(t *testing.T) {
	f := startSecured(t)
	other, err := identity.NewAuthority("other")
	assert.NilError(t, err)
	admin := identity.Identity{Role: identity.Administrator, Name: "root"}
	good := f.client(admin)
	for name, c := range map[string]struct {
		src    *identity.Source
		reason string
	}{
		"wrong authority": {issueSource(t, other, f.ca.PEM, admin, tomorrow), identity.ReasonHandshake},
		"expired":         {issueSource(t, f.ca, f.ca.PEM, admin, yesterday), identity.ReasonHandshake},
		"wrong role":      {issueSource(t, f.ca, f.ca.PEM, identity.Identity{Role: identity.Agent, Name: "vm"}, tomorrow), identity.ReasonRole},
		"unknown role":    {issueSource(t, f.ca, f.ca.PEM, identity.Identity{Role: "king", Name: "vm"}, tomorrow), identity.ReasonHandshake},
	} {
		before := f.refused("api", c.reason)
		bad := &http.Client{Transport: &http.Transport{TLSClientConfig: c.src.ClientConfig(identity.Entry), DisableKeepAlives: true}}
		assert.Equal(t, f.send(bad, "GET", "/v1/status", "", nil), 0, name)
		// The client sees the refusal before the server counts it.
		for end := time.Now().Add(5 * time.Second); f.refused("api", c.reason) != before+1; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), name)
		}
		assert.Equal(t, f.send(good, "GET", "/v1/status", "", nil), 200, name)
	}
	// A client must also reject a server certificate of another authority.
	src := issueSource(t, f.ca, other.PEM, admin, tomorrow)
	_, err = tls.Dial("tcp", strings.TrimPrefix(f.api, "https://"), src.ClientConfig(identity.Entry))
	assert.ErrorContains(t, err, "unauthenticated")
}

// Guards against an agent that announces another VM or zone, or sends messages reserved
// for entries.
func TestAgentIdentityMismatch(t *testing.T) {
	f := startSecured(t)
	agent := issueSource(t, f.ca, f.ca.PEM, identity.Identity{Role: identity.Agent, Name: "vm-1", Zone: "z"}, tomorrow)
	conn, err := identity.Dialer(agent, identity.Entry)(t.Context(), f.control)
	assert.NilError(t, err)
	p := wire.NewPeer(conn, nil)
	defer p.Close()
	for _, m := range []wire.Message{&wire.Announce{VM: "vm-2", Zone: "z"}, &wire.Announce{VM: "vm-1", Zone: "y"}, &wire.Cancel{Shard: "z-0", IDs: []string{"t"}}} {
		_, err := p.Call(t.Context(), m)
		assert.Equal(t, errkind.Of(err), errkind.PermissionDenied, "%T", m)
	}
	_, err = p.Call(t.Context(), &wire.Locate{VM: "vm-1", Zone: "z"})
	assert.NilError(t, err)
}

// Guards against inputs of unbounded size, and a client that exhausts the connections.
func TestInputAndConnectionLimits(t *testing.T) {
	f := startSecured(t)
	admin := f.client(identity.Identity{Role: identity.Administrator, Name: "root"})
	large := counterValue(f.entry.Metrics().APIErrors.WithLabelValues(errkind.TooLarge.String()))
	assert.Equal(t, f.send(admin, "GET", "/v1/status", "", map[string]string{"X-Pad": strings.Repeat("x", 20<<10)}), 413)
	assert.Equal(t, f.send(admin, "PUT", "/v1/config", strings.Repeat(" ", 5<<20), nil), 413)
	assert.Equal(t, counterValue(f.entry.Metrics().APIErrors.WithLabelValues(errkind.TooLarge.String())), large+2)
	assert.Equal(t, f.send(admin, "GET", "/v1/status", "", map[string]string{"X-Pad": strings.Repeat("x", 1<<20)}), 431)
	assert.Equal(t, f.send(admin, "GET", "/v1/nothing", "", nil), 404)
	assert.Equal(t, f.send(admin, "POST", "/v1/tasks", `{"id":1}`, nil), 400)
	var idleConns []net.Conn
	for range connectionLimit + 3 {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.api, "https://"))
		assert.NilError(t, err)
		idleConns = append(idleConns, c)
	}
	for end := time.Now().Add(5 * time.Second); f.refused("api", identity.ReasonLimit) < 3; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	for _, c := range idleConns {
		_ = c.Close()
	}
	for end := time.Now().Add(5 * time.Second); f.send(admin, "GET", "/v1/status", "", nil) != 200; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "closed connections still count towards the limit")
	}
}
