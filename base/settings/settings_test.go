package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/settings"
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

const valid = "id: e1\nzone: z1\nplatform: http://127.0.0.1:1\nsecurity: {plaintext: true}\nstop_timeout: 10s\n"

// Guards against a layer that overrides a later one.
func TestLayers(t *testing.T) {
	t.Setenv("CHICORY_STOP__TIMEOUT", "20s")
	t.Setenv("CHICORY_LOG_LEVEL", "warn")
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	settings.AddFlags(flags, &settings.Entry{})
	assert.NilError(t, flags.Parse([]string{"--log.level=error"}))
	var s settings.Entry
	assert.NilError(t, settings.Load(&s, write(t, valid), flags))
	assert.Equal(t, s.ID, "e1")
	assert.Equal(t, s.StopTimeout, 20*time.Second)
	assert.Equal(t, s.Log.Level, "error")
	assert.Equal(t, s.MemoryLimit, settings.Bytes(512<<20))
}

// Guards against accepting an invalid file, and against an error that stops at the
// first problem or does not name line, field and allowed range.
func TestProblems(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"all at once", valid + "connections: 1\nmemory_limit: 5\nlog:\n  level: loud\n  colour: red\n",
			[]string{`:6: connections: "1" is not allowed; allowed is 16 to 100000`, `:7: memory_limit: "5"`, `:9: log.level: "loud" is not allowed; allowed is one of`, ":10: log.colour: is not a known field"}},
		{"missing", "zone: z1\n", []string{"id: is required", "platform: is required"}},
		{"wrong type", valid + "shards_per_zone: [1]\n", []string{":6: shards_per_zone"}},
		{"duplicate key", valid + "id: e2\n", []string{"already defined"}},
		{"plaintext off loopback", valid + "listen: {api: \"0.0.0.0:80\"}\n", []string{"not on loopback"}},
		{"no certificates", strings.Replace(valid, "plaintext: true", "plaintext: false", 1), []string{"cert, key and ca are required"}},
		{"valid", valid, nil},
		{"broken yaml", "id: [\n", []string{"entry.yaml:"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s settings.Entry
			err := settings.Load(&s, write(t, c.text), nil)
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, errkind.Of(err), errkind.InvalidArgument)
			for _, w := range c.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
}

// Guards against treating a missing file as an empty one.
func TestMissingFile(t *testing.T) {
	assert.Equal(t, errkind.Of(settings.Load(&settings.Entry{}, "/nonexistent.yaml", nil)), errkind.NotFound)
}

// Guards against a process on the platform that ignores a switch in its environment, or accepts an undefined value.
func TestDeploymentFromEnvironment(t *testing.T) {
	t.Setenv("CHICORY_OVERLOAD_ENABLED", "false")
	var s settings.Deployment
	assert.NilError(t, settings.Load(&s, "", nil))
	assert.Assert(t, !s.Overload.Enabled && s.PlaceWait.Enabled)
	t.Setenv("CHICORY_PLACE__WAIT_ENABLED", "later")
	assert.ErrorContains(t, settings.Load(&s, "", nil), `environment CHICORY_PLACE__WAIT_ENABLED: place_wait.enabled: "later" is not allowed`)
}
