package identity_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/state/identity"
)

func issue(t *testing.T, f identity.Files, ca *identity.Authority, name string) {
	t.Helper()
	cert, key, err := ca.Issue(identity.Identity{Role: identity.Entry, Name: name}, time.Now().Add(time.Hour))
	assert.NilError(t, err)
	for file, data := range map[string][]byte{f.Cert: cert, f.Key: key, f.CA: ca.PEM} {
		assert.NilError(t, os.WriteFile(file, data, 0o600))
	}
}

// Guards against new certificates that take effect only after a restart, and against a
// failed reload that drops the old certificate.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	f := identity.Files{Cert: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), CA: filepath.Join(dir, "a")}
	ca, err := identity.NewAuthority("test")
	assert.NilError(t, err)
	issue(t, f, ca, "old")
	src, err := identity.Load(f)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := identity.Listen(l, src.ServerConfig(identity.Entry), 4, func(string, net.Addr, error) {})
	defer func() { _ = server.Close() }()
	go func() {
		for {
			if _, err := server.Accept(); err != nil {
				return
			}
		}
	}()
	name := func() string {
		c, err := identity.Dialer(src, identity.Entry)(t.Context(), l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		id, ok := identity.FromConn(c.(*tls.Conn))
		assert.Assert(t, ok)
		return id.Name
	}
	assert.Equal(t, name(), "old")
	issue(t, f, ca, "new")
	assert.NilError(t, src.Reload())
	assert.Equal(t, name(), "new")
	assert.NilError(t, os.WriteFile(f.Key, []byte("broken"), 0o600))
	assert.Assert(t, src.Reload() != nil)
	assert.Equal(t, name(), "new")
}

// Guards against a peer whose certificate authority was withdrawn and that keeps its connections after a reload.
func TestReloadClosesConnectionsOfWithdrawnPeers(t *testing.T) {
	filesIn := func(dir string) identity.Files {
		return identity.Files{Cert: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), CA: filepath.Join(dir, "a")}
	}
	load := func(f identity.Files, ca *identity.Authority, name string) *identity.Source {
		issue(t, f, ca, name)
		s, err := identity.Load(f)
		assert.NilError(t, err)
		return s
	}
	before, err := identity.NewAuthority("before")
	assert.NilError(t, err)
	after, err := identity.NewAuthority("after")
	assert.NilError(t, err)
	for _, withdrawAt := range []string{"server", "client"} {
		t.Run(withdrawAt, func(t *testing.T) {
			files := map[string]identity.Files{"server": filesIn(t.TempDir()), "client": filesIn(t.TempDir())}
			sources := map[string]*identity.Source{}
			for name, f := range files {
				sources[name] = load(f, before, name)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := identity.Listen(l, sources["server"].ServerConfig(identity.Entry), 4, func(string, net.Addr, error) {})
			defer func() { _ = server.Close() }()
			c, err := identity.Dialer(sources["client"], identity.Entry)(t.Context(), l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			accepted, err := server.Accept()
			assert.NilError(t, err)
			defer func() { _ = accepted.Close() }()

			issue(t, files[withdrawAt], before, "renewed")
			assert.NilError(t, sources[withdrawAt].Reload())
			_, err = accepted.Write([]byte("x"))
			assert.NilError(t, err, "the authority is still trusted")
			issue(t, files[withdrawAt], after, "renewed")
			assert.NilError(t, sources[withdrawAt].Reload())
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = io.ReadAll(c)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
		})
	}
}
