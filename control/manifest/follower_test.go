package manifest

import (
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/state/store"
)

// Rows may arrive late, or again after the history was dropped. A process must not go back to an
// older version then and handle requests by a replaced manifest.
func TestVersionInForceNeverGoesBack(t *testing.T) {
	decode := func(b []byte) (*Manifest, error) {
		v, err := strconv.ParseInt(string(b), 10, 64)
		return &Manifest{Version: v}, errors.Wrap(err, "decode")
	}
	f := NewFollower("t/manifest", decode, zerolog.Nop())
	row := func(key, value string) { f.Row(store.Change{Row: store.Row{Key: key, Value: []byte(value)}}) }
	row("t/other", "9")
	assert.Assert(t, f.Current() == nil, "another row was taken for the manifest")
	for _, step := range []struct {
		value string
		want  int64
	}{{"3", 3}, {"2", 3}, {"3", 3}, {"damaged", 3}, {"7", 7}, {"6", 7}} {
		row("t/manifest", step.value)
		assert.Equal(t, f.Current().Version, step.want, step.value)
	}
	f.Row(store.Change{Row: store.Row{Key: "t/manifest"}, Deleted: true})
	assert.Equal(t, f.Current().Version, int64(7), "a deleted row removed the manifest")
}
