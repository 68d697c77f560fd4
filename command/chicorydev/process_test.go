package chicorydev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// buildCommands compiles every command and returns the output directory.
func buildCommands(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "./cmd/...")
	cmd.Dir = repoRoot
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, string(out))
	return dir
}

type process struct {
	*testing.T
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{T: t, done: make(chan struct{})}
	p.cmd = exec.Command(name, args...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = repoRoot, p, p
	assert.NilError(t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); <-p.done })
	return p
}

// stop sends SIGTERM and returns the exit code.
func (p *process) stop() int {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(30 * time.Second):
		p.Fatalf("process still running 30 s after SIGTERM: %s", p.output())
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) awaitOutput(text string) {
	p.Helper()
	eventually(p.T, text, func() bool { return strings.Contains(p.output(), text) })
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// Runs the daemons as separate processes. Guards against settings files that they cannot start
// with, shutdown that is not graceful, and start failures that are not reported in one line.
func TestDaemons(t *testing.T) {
	bin := buildCommands(t)
	platform, control, api, admin, agentAdmin := freePort(t), freePort(t), freePort(t), freePort(t), freePort(t)
	startProcess(t, filepath.Join(bin, "chicory-dev"), "platform", "--listen", platform).awaitOutput("platform  http://")
	entryArgs := []string{"run", "--settings", "deploy/entry.yaml", "--platform=http://" + platform, "--listen.control=" + control,
		"--listen.api=" + api, "--listen.operators=" + admin}
	en := startProcess(t, filepath.Join(bin, "chicory-entry"), entryArgs...)
	en.awaitOutput(`"event":500`)
	ag := startProcess(t, filepath.Join(bin, "chicory-agent"), "run", "--settings", "deploy/agent.yaml", "--platform=http://"+platform,
		"--entries="+control, "--listen.data=127.0.0.1:0", "--listen.operators="+agentAdmin)
	eventually(t, "the upstream is a member", func() bool { _, b := get("http://" + api + "/v1/upstreams"); return strings.Contains(b, "vm-00") })
	status, body := get("http://" + admin + "/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable, "without a configuration: %s", body)
	ctl := func(args ...string) string {
		out, err := exec.CommandContext(t.Context(), filepath.Join(bin, "chicoryctl"), append([]string{"--server", "http://" + api}, args...)...).CombinedOutput()
		assert.NilError(t, err, string(out))
		return string(out)
	}
	ctl("limit", "apply", "-f", filepath.Join(repoRoot, "deploy/lists/limits.yaml"))
	ctl("plan", "apply", "-f", filepath.Join(repoRoot, "deploy/lists/plans.yaml"))
	eventually(t, "ready", func() bool { s, _ := get("http://" + admin + "/readyz"); return s == http.StatusOK })
	eventually(t, "agent ready", func() bool { s, _ := get("http://" + agentAdmin + "/readyz"); return s == http.StatusOK })
	for path, want := range map[string]string{"/": "<svg", "/metrics": "chicory_vm_reserved", "/debug/pprof/": "goroutine"} {
		s, b := get("http://" + admin + path)
		assert.Assert(t, s == http.StatusOK && strings.Contains(b, want), path)
	}
	status, _ = get("http://" + api + "/debug/pprof/")
	assert.Equal(t, status, http.StatusNotFound, "profiles must be served on the operators' address only")
	second := startProcess(t, filepath.Join(bin, "chicory-entry"), entryArgs...)
	<-second.done
	assert.Equal(t, second.cmd.ProcessState.ExitCode(), errkind.Conflict.Attributes().ExitCode)
	assert.Equal(t, strings.Count(second.output(), "\n"), 1, second.output())
	assert.Assert(t, strings.Contains(second.output(), `"event":511`))
	assert.NilError(t, en.cmd.Process.Signal(syscall.SIGHUP))
	en.awaitOutput(`"event":520`)
	assert.Equal(t, ag.stop(), 0, ag.output())
	assert.Equal(t, en.stop(), 0, en.output())
	assert.Assert(t, !strings.Contains(en.output()+ag.output(), "goroutine"), en.output())
}

// Guards against an entry that exits when its platform is missing, and a stack trace when its settings are.
func TestStartFailures(t *testing.T) {
	bin := buildCommands(t)
	en := startProcess(t, filepath.Join(bin, "chicory-entry"), "run", "--settings", "deploy/entry.yaml", "--platform=http://"+freePort(t),
		"--listen.control=127.0.0.1:0", "--listen.api=127.0.0.1:0", "--listen.operators="+freePort(t))
	en.awaitOutput(`"event":512`)
	en.awaitOutput(`"event":500`)
	assert.Equal(t, en.stop(), 0, en.output())
	missing := startProcess(t, filepath.Join(bin, "chicory-entry"), "run", "--settings", "none.yaml")
	<-missing.done
	assert.Equal(t, missing.cmd.ProcessState.ExitCode(), errkind.NotFound.Attributes().ExitCode)
	assert.Assert(t, strings.Count(missing.output(), "\n") == 1 && strings.Contains(missing.output(), `"event":510`), missing.output())
}

// Guards against commands in the README that do not work as written.
func TestReadmeCommands(t *testing.T) {
	bin := buildCommands(t)
	api := freePort(t)
	serve := startProcess(t, filepath.Join(bin, "chicory-dev"), "serve", "--api", api, "--log-level", "error")
	server := "http://" + api
	eventually(t, "every upstream is a member", func() bool {
		_, b := get(server + "/v1/upstreams")
		_, s := get(server + "/v1/status")
		return strings.Count(b, `"vm"`) == 11 && strings.Contains(s, `"missing":[]`) && strings.Contains(s, "entry-1")
	})
	text, err := os.ReadFile(filepath.Join(repoRoot, "README.md"))
	assert.NilError(t, err)
	blocks := strings.Split(string(text), "<!-- test -->\n")[1:]
	assert.Assert(t, len(blocks) >= 4)
	for _, block := range blocks {
		var script strings.Builder
		for _, line := range strings.Split(strings.TrimPrefix(block, "\n"), "\n") {
			if !strings.HasPrefix(line, "    ") {
				break
			}
			_, _ = fmt.Fprintln(&script, strings.ReplaceAll(strings.TrimSpace(line), "127.0.0.1:7401", api))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		cmd := exec.CommandContext(ctx, "bash", "-euc", script.String())
		cmd.Dir = repoRoot
		cmd.Env = append(os.Environ(), "PATH="+bin+":"+os.Getenv("PATH"), "CHICORYCTL_SERVER="+server)
		out, err := cmd.CombinedOutput()
		cancel()
		assert.NilError(t, err, "%s\n%s", script.String(), out)
	}
	assert.Equal(t, serve.stop(), 0, serve.output())
}

// Guards against processes that cannot connect to each other, and callers whose roles are not
// enforced, when every connection uses mutual TLS.
func TestDaemonsWithTLS(t *testing.T) {
	bin, certs := buildCommands(t), t.TempDir()
	platform, control, api := freePort(t), freePort(t), freePort(t)
	startProcess(t, filepath.Join(bin, "chicory-dev"), "platform", "--listen", platform).awaitOutput("platform  http://")
	issued := startProcess(t, filepath.Join(bin, "chicory-dev"), "certificates", "--dir", certs)
	<-issued.done
	tls := func(name string) []string {
		file := filepath.Join(certs, name)
		return []string{"--security.plaintext=false", "--security.cert=" + file + ".pem", "--security.key=" + file + ".key", "--security.ca=" + filepath.Join(certs, "ca.pem")}
	}
	en := startProcess(t, filepath.Join(bin, "chicory-entry"), append(tls("entry-0"), "run", "--settings", "deploy/entry.yaml", "--platform=http://"+platform,
		"--listen.control="+control, "--listen.api="+api, "--listen.operators=127.0.0.1:0")...)
	en.awaitOutput(`"event":500`)
	ag := startProcess(t, filepath.Join(bin, "chicory-agent"), append(tls("vm-00"), "run", "--settings", "deploy/agent.yaml", "--platform=http://"+platform,
		"--entries="+control, "--listen.data=127.0.0.1:0", "--listen.operators=127.0.0.1:0")...)
	ctl := func(role string, args ...string) (string, int) {
		file := filepath.Join(certs, role)
		cmd := exec.CommandContext(t.Context(), filepath.Join(bin, "chicoryctl"), append([]string{"--server", "https://" + api, "--cert", file + ".pem",
			"--key", file + ".key", "--ca", filepath.Join(certs, "ca.pem")}, args...)...)
		cmd.Dir = repoRoot
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	eventually(t, "the upstream is a member", func() bool { out, _ := ctl("reader", "upstream", "list"); return strings.Contains(out, "vm-00") })
	denied := errkind.PermissionDenied.Attributes().ExitCode
	for _, c := range []struct {
		role, args string
		code       int
	}{
		{"operator", "limit apply -f deploy/lists/limits.yaml", denied},
		{"administrator", "limit apply -f deploy/lists/limits.yaml", 0},
		{"administrator", "plan apply -f deploy/lists/plans.yaml", 0},
		{"belfry-kiosk", "task submit -f deploy/lists/tasks.yaml", denied},
		{"belfry-kiosk", "task wait route-plan-1 --wait 30s", 0},
		{"belfry-kiosk", "task cancel --customer partner-hotel", denied},
		{"reader", "upstream drain vm-00", denied},
		{"operator", "upstream drain vm-00 --wait 30s", 0},
		{"reader", "status", 0},
	} {
		out, code := ctl(c.role, strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s: %s", c.role, c.args, out)
	}
	assert.Equal(t, ag.stop(), 0, ag.output())
	assert.Equal(t, en.stop(), 0, en.output())
}
