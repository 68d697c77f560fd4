package chicoryctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/command/chicoryctl"
	"github.com/chicorystand/chicorystand/command/run"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/verify/devenv"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/wire"
)

func ctl(t *testing.T, server, stdin string, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	root := chicoryctl.New()
	root.SetArgs(append([]string{"--server", server}, args...))
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetIn(strings.NewReader(stdin))
	err := root.ExecuteContext(t.Context())
	if err != nil {
		_, _ = fmt.Fprintln(&out, err)
	}
	return out.String(), run.ExitCode(err)
}

const (
	limits = "limits: [{plan: p, priority: 1}]"
	plans  = "plans: [{customer: a, plan: p}, {customer: b, plan: p}]"
)

func startEnv(t *testing.T) *devenv.Env {
	t.Helper()
	d, err := devenv.Load("belfry-lane")
	assert.NilError(t, err)
	d.Workers.Count = 3
	env, err := devenv.Start(t.Context(), devenv.Config{Deployment: d, Entries: 2, Events: events.NewRing()})
	assert.NilError(t, err)
	t.Cleanup(env.Stop)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if connected(t, env.Entries[0].URL) && connected(t, env.Entries[1].URL) {
			return env
		}
		assert.Assert(t, time.Now().Before(deadline), "entries and upstreams did not connect")
	}
}

// connected reports whether the entry lists every upstream and can reach every shard and entry.
func connected(t *testing.T, server string) bool {
	t.Helper()
	upstreams, _ := ctl(t, server, "", "upstream", "list", "-o", "json")
	out, _ := ctl(t, server, "", "status", "-o", "json")
	var s entry.SystemStatus
	if json.Unmarshal([]byte(out), &s) != nil {
		return false
	}
	vms := 0
	for _, sh := range s.Shards {
		vms += len(sh.VMs)
	}
	return strings.Count(upstreams, `"vm"`) == 3 && len(s.Entries) == 2 && len(s.Missing) == 0 && vms == 3
}

func exitCode(k errkind.Kind) int { return k.Attributes().ExitCode }

// Runs every verb. Guards against verbs that fail, take effect twice when repeated, or return
// an exit code outside the documented list.
func TestVerbs(t *testing.T) {
	env := startEnv(t)
	server := env.Entries[0].URL
	tasks := `[{id: t1, customer: a, job_class: c, duration: 100ms, resources: {cpu_milli: 100, memory_mib: 64}},
		{id: w1, customer: b, job_class: c, class: latency_critical, resources: {cpu_milli: 100, memory_mib: 64}},
		{id: big, customer: b, job_class: c, resources: {cpu_milli: 99000000, memory_mib: 64}}]`
	for _, c := range []struct {
		stdin, args string
		code        int
		want        string
	}{
		{plans, "plan apply -f -", exitCode(errkind.InvalidArgument), "no limit names plan"},
		{limits, "limit apply -f -", 0, "accepted generation  1"},
		{limits, "limit apply -f -", 0, "nothing was changed"},
		{plans, "plan diff -f -", 0, "+ customer a: plan p"},
		{plans, "plan apply -f -", 0, "accepted generation  2"},
		{"generation: 1\n" + plans + "\n", "plan apply -f -", 0, "nothing was changed"},
		{"generation: 1\nplans: [{customer: z, plan: p}]", "plan apply -f -", exitCode(errkind.Conflict), "generation"},
		{limits, "plan apply -f -", exitCode(errkind.InvalidArgument), "another list"},
		{"plans: [{customer: 1, colour: red}]", "plan apply -f -", exitCode(errkind.InvalidArgument), "unknown field"},
		{"", "plan get -o yaml", 0, "generation: 2"},
		{"", "limit history", 0, "customer b: plan p"},
		{tasks, "task submit -f -", 0, "accepted"},
		{tasks, "task submit -f -", 0, "accepted"},
		{"[{id: t1, customer: b, job_class: c, resources: {cpu_milli: 1}}]", "task submit -f -", exitCode(errkind.AlreadyExists), "another specification"},
		{"[{id: x, customer: nobody, job_class: c, resources: {cpu_milli: 1}}]", "task submit -f -", exitCode(errkind.PermissionDenied), "has no plan"},
		{"[{id: x y, customer: a, job_class: c, resources: {cpu_milli: 1}}]", "task submit -f -", exitCode(errkind.InvalidArgument), "id:"},
		{"[{id: 5s, customer: a, class: fast}]", "task submit -f -", exitCode(errkind.InvalidArgument), "class"},
		{"", "task wait t1 --wait 20s", 0, "succeeded"},
		{"", "task wait w1 --wait 1s", exitCode(errkind.DeadlineExceeded), "0 of 1"},
		{"", "task describe t1", 0, "succeeded"},
		{"", "task describe none", exitCode(errkind.NotFound), "none"},
		{"", "task list --state parked -o json", 0, "[]"},
		{"", "task list --state odd", exitCode(errkind.InvalidArgument), "state"},
		{"", "explain task none", exitCode(errkind.NotFound), ""},
		{"", "explain request none", exitCode(errkind.NotFound), ""},
		{"", "task cancel t1", exitCode(errkind.Conflict), "succeeded"},
		{"", "task cancel", exitCode(errkind.InvalidArgument), "nothing was cancelled"},
		{"", "task cancel --customer b --state running", 0, "cancelled"},
		{"", "task cancel w1", 0, "cancelled"},
		{"", "task wait w1", exitCode(errkind.Cancelled), "cancelled"},
		// An owner rejects a task that fits no VM only after every VM has had time to announce itself (31.3 s).
		{"", "task wait big --wait 60s", exitCode(errkind.Infeasible), "rejected"},
		{"", "explain task big", 0, "infeasible"},
		{"", "upstream drain vm-00 --wait 20s", 0, "drained"},
		{"", "upstream describe vm-00", 0, "true"},
		{"", "upstream start vm-00", 0, "false"},
		{"", "upstream stop vm-77", exitCode(errkind.NotFound), "nothing was done"},
		{"", "status", 0, "entry-1"},
		{"", "events", 0, ""},
		{"", "status -o xml", exitCode(errkind.InvalidArgument), "table, json, yaml"},
		{"", "task list extra", exitCode(errkind.InvalidArgument), ""},
		{"", "completion bash", 0, "chicoryctl"},
	} {
		out, code := ctl(t, server, c.stdin, strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s", c.args, out)
		assert.Assert(t, strings.Contains(out, c.want), "%s: %s", c.args, out)
	}
	env.Table.SetFaults(standin.Faults{Down: true})
	out, code := ctl(t, server, "plans: []", "plan", "apply", "-f", "-")
	assert.Equal(t, code, exitCode(errkind.StoreUnavailable), out)
	out, code = ctl(t, server, "[{id: t9, customer: a, job_class: c, resources: {cpu_milli: 1}}]", "task", "submit", "-f", "-")
	assert.Equal(t, code, exitCode(errkind.StoreUnavailable), out)
	out, code = ctl(t, server, "", "plan", "history")
	assert.Equal(t, code, exitCode(errkind.StoreUnavailable), out)
	out, code = ctl(t, server, "", "status")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "does not answer"), out)
	out, code = ctl(t, "http://127.0.0.1:1", "", "status")
	assert.Equal(t, code, exitCode(errkind.NotReady), out)
}

// Guards against a cancellation by selector that stops after the first page.
func TestCancelBySelectorAcrossPages(t *testing.T) {
	env := startEnv(t)
	server := env.Entries[1].URL
	_, code := ctl(t, server, limits, "limit", "apply", "-f", "-")
	assert.Equal(t, code, 0)
	_, code = ctl(t, server, plans, "plan", "apply", "-f", "-")
	assert.Equal(t, code, 0)
	const n = 2500
	var specs strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&specs, "- {id: t%04d, customer: a, job_class: c, resources: {cpu_milli: 24000, memory_mib: 1}}\n", i)
	}
	out, code := ctl(t, server, specs.String(), "task", "submit", "-f", "-", "-o", "json")
	assert.Equal(t, code, 0, out[max(0, len(out)-300):])
	begin := time.Now()
	out, code = ctl(t, server, "", "task", "cancel", "--customer", "a")
	assert.Equal(t, code, 0, out[max(0, len(out)-300):])
	assert.Assert(t, strings.HasSuffix(out, "2500 tasks\n"))
	t.Logf("%d tasks cancelled in %v", n, time.Since(begin))
}

// Guards against a command that takes effect twice or gives up too early when responses are lost.
func TestRetryAfterLostReplies(t *testing.T) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= 2 {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode([]wire.TaskResult{{ID: "t1"}})
	}))
	defer s.Close()
	out, code := ctl(t, s.URL, "", "task", "cancel", "t1")
	assert.Equal(t, code, 0, out)
	calls.Store(-10)
	out, code = ctl(t, s.URL, "", "task", "cancel", "t1")
	assert.Equal(t, code, exitCode(errkind.OutcomeUnknown), out)
	assert.Assert(t, strings.Contains(out, "may be repeated"), out)
}

// Guards against a wrong precedence of config file and environment for the server's address.
func TestServerAddressPrecedence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(entry.SystemStatus{Generation: 77})
	}))
	defer s.Close()
	file := filepath.Join(t.TempDir(), "c.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("server: "+s.URL+"\n"), 0o600))
	for name, set := range map[string]func(){
		"file":        func() { t.Setenv("CHICORYCTL_CONFIG", file) },
		"environment": func() { t.Setenv("CHICORYCTL_CONFIG", ""); t.Setenv("CHICORYCTL_SERVER", s.URL) },
	} {
		set()
		out, code := ctl(t, "", "", "status")
		assert.Equal(t, code, 0, "%s: %s", name, out)
		assert.Assert(t, strings.Contains(out, "77"))
	}
}

// Guards against a misspelt verb that prints help and exits with 0, so that a script takes it for a success.
func TestUnknownVerbIsAUsageError(t *testing.T) {
	for _, noun := range []string{"plan", "limit", "upstream", "zone", "task", "explain"} {
		out, code := ctl(t, "", "", noun, "frobnicate")
		assert.Equal(t, code, errkind.InvalidArgument.Attributes().ExitCode, "%s: %s", noun, out)
		assert.Assert(t, strings.Contains(out, `"frobnicate"`), "%s: %s", noun, out)
		_, code = ctl(t, "", "", noun)
		assert.Equal(t, code, 0, noun)
	}
}

// Guards against a verb without an example in its help.
func TestEveryVerbHasAnExample(t *testing.T) {
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		assert.Assert(t, !c.Runnable() || c.Example != "" || c.Name() == "help", c.CommandPath())
		for _, sub := range c.Commands() {
			if sub.Name() != "completion" {
				visit(sub)
			}
		}
	}
	visit(chicoryctl.New())
}
