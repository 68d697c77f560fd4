package deployed

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/platform/stub"
)

// A SIGHUP used to be logged as a reload although nothing of the settings can change in a running
// process: an operator who had changed the file took the change for applied.
func TestHangupReportsSettingsThatDoNotApply(t *testing.T) {
	s := stub.Settings{Node: "entry-1", IP: "127.0.0.1", Zone: "z1", StoreAddress: "127.0.0.1:1", FirstPort: 1, LastPort: 2, MaxLease: 6e9}
	file := filepath.Join(t.TempDir(), "boot.yaml")
	t.Setenv(platform.SettingsEnvVar, file)
	write := func() {
		b, err := s.Encode()
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(file, b, 0o600))
	}
	write()
	loaded, err := platform.LoadSettings()
	assert.NilError(t, err)
	var out bytes.Buffer
	p := &process{settings: loaded, log: zerolog.New(&out)}
	logged := func() string {
		out.Reset()
		p.checkSettings()
		return out.String()
	}
	assert.Assert(t, strings.Contains(logged(), `"name":"settings_checked"`), out.String())
	s.StoreAddress = "127.0.0.1:9"
	write()
	assert.Assert(t, strings.Contains(logged(), `"name":"settings_changed","fields":["StoreAddress"]`), out.String())
	assert.NilError(t, os.WriteFile(file, []byte("nodeName: ["), 0o600))
	assert.Assert(t, strings.Contains(logged(), `"name":"reload_failed"`), out.String())
}
