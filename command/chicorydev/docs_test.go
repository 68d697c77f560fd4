package chicorydev

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/base/metrics"
	"github.com/chicorystand/chicorystand/command/chicoryagent"
	"github.com/chicorystand/chicorystand/command/chicoryentry"
	"github.com/chicorystand/chicorystand/verify/devenv"
)

const repoRoot = "../.."

// Guards against generated reference documents that are out of date.
func TestDocumentsAreCurrent(t *testing.T) {
	for name, generate := range documentGenerators {
		var buf bytes.Buffer
		assert.NilError(t, generate(&buf))
		have, err := os.ReadFile(filepath.Join(repoRoot, "docs", name))
		assert.NilError(t, err)
		assert.Equal(t, string(have), buf.String(), "run: go run ./cmd/chicory-dev docs")
	}
}

// Guards against an event whose number belongs to no area, or an event or error kind without a description.
func TestCatalogues(t *testing.T) {
	for _, e := range events.All() {
		assert.Assert(t, events.Areas[e.Number/100] != "" && e.Meaning != "", e.Name)
	}
	var buf bytes.Buffer
	assert.NilError(t, errkind.WriteDocument(&buf))
	assert.Assert(t, !strings.Contains(buf.String(), "|  |"), buf.String())
}

// Guards against metric names and help texts that break the conventions.
func TestMetricsLint(t *testing.T) {
	m := metrics.NewEntry()
	metrics.NewRequests(m.Registry)
	a := metrics.NewAgent(func() metrics.AgentState { return metrics.AgentState{} })
	for _, reg := range []interface {
		Gather() ([]*dto.MetricFamily, error)
	}{m.Registry, a.Registry} {
		families, err := reg.Gather()
		assert.NilError(t, err)
		var buf bytes.Buffer
		for _, f := range families {
			_, err := expfmt.MetricFamilyToText(&buf, f)
			assert.NilError(t, err)
		}
		problems, err := promlint.New(&buf).Lint()
		assert.NilError(t, err)
		assert.Equal(t, len(problems), 0, "%v", problems)
	}
}

// Guards against files of deploy/ that the commands reject.
func TestDeployFilesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(repoRoot, "deploy", "*.yaml"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 4)
	daemons := map[string]*cobra.Command{"entry": chicoryentry.New(), "agent": chicoryagent.New()}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		if cmd, ok := daemons[name]; ok {
			cmd.SetArgs([]string{"validate", "--settings", file})
			assert.NilError(t, cmd.Execute(), file)
			continue
		}
		_, err := devenv.Load(name)
		assert.NilError(t, err, file)
	}
}

// Guards against broken links in the documents.
func TestLinks(t *testing.T) {
	files := []string{"README.md", "CONTRIBUTING.md", "docs/operators.md", "docs/embedding.md", "docs/glossary.md", "docs/design.md"}
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, file := range files {
		file = filepath.Join(repoRoot, file)
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(file), m[1]))
			assert.NilError(t, err, file)
		}
	}
}
