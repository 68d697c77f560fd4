package settings

import (
	"fmt"
	"io"
)

// WriteDocument writes the settings reference as Markdown.
func WriteDocument(w io.Writer) error {
	_, err := fmt.Fprint(w, "# Settings\n\nGenerated from package `settings` by `go run ./cmd/chicory-dev docs`. Do not edit.\n\n"+
		"A daemon reads a YAML file (`--settings`), then environment variables, then flags; later layers override earlier ones.\n"+
		"Every field is also a flag with the name of its key. Durations have a unit (`500ms`, `2s`, `1h`), and so do sizes\n"+
		"(`512KiB`, `4MiB`, `2GiB`).\n")
	if err != nil {
		return err
	}
	for _, d := range []struct {
		name   string
		target any
	}{{"chicory-entry", &Entry{}}, {"chicory-agent", &Agent{}}, {"Processes on the users' platform (environment only)", &Deployment{}}} {
		if _, err := fmt.Fprintf(w, "\n## %s\n\n| Field | Default | Allowed | Meaning | Environment |\n| --- | --- | --- | --- | --- |\n", d.name); err != nil {
			return err
		}
		for _, f := range fields(d.target) {
			def := f.tag.Get("default")
			if f.tag.Get("required") == "true" {
				def = "required"
			}
			if _, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | `%s` |\n", f.key, def, f.allowed(), f.tag.Get("doc"), EnvName(f.key)); err != nil {
				return err
			}
		}
	}
	return nil
}
