package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/pflag"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/settings"
)

// Guards against settings that crash the loader, and against errors of another kind
// than InvalidArgument.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{valid, "", "id: [", "id: e1\nid: e2\n", "listen: 5\n", "security: {tls: {cert: x}}\n",
		"connections: 99999999999999999999\n", "objective: {tail_weight: .nan}\n", "a: &a [*a]\n", "? : \n", "log:\n\t level: info\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(t.TempDir(), "entry.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var s settings.Entry
		err := settings.Load(&s, file, pflag.NewFlagSet("fuzz", pflag.ContinueOnError))
		if err != nil && errkind.Of(err) != errkind.InvalidArgument {
			t.Fatalf("%q: kind %s: %v", text, errkind.Of(err), err)
		}
		if err == nil && (s.ID == "" || s.Connections < 16 || !(s.Objective.TailWeight >= 0 && s.Objective.TailWeight <= 1)) {
			t.Fatalf("%q was accepted with values out of range", text)
		}
	})
}
