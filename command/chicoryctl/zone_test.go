package chicoryctl_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/wire"
)

// zoneOf returns the zone that an entry lists under the name.
func zoneOf(t *testing.T, server, name string) entry.ZoneView {
	t.Helper()
	out, code := ctl(t, server, "", "zone", "list", "-o", "json")
	assert.Equal(t, code, 0, out)
	var list []entry.ZoneView
	assert.NilError(t, json.Unmarshal([]byte(out), &list), out)
	for _, v := range list {
		if v.Zone == name {
			return v
		}
	}
	t.Fatalf("no zone %s in %s", name, out)
	return entry.ZoneView{}
}

// The zone of every VM is evacuated through one entry: through the other one nothing may start or be
// sent there, accepted work waits with a true reason, and it goes on once the zones are restored.
func TestZoneEvacuation(t *testing.T) {
	env := startEnv(t)
	first, second := env.Entries[0].URL, env.Entries[1].URL
	run := func(server, stdin, want string, code errkind.Kind, args ...string) {
		t.Helper()
		out, got := ctl(t, server, stdin, args...)
		assert.Equal(t, got, code.Attributes().ExitCode, "%v: %s", args, out)
		assert.Assert(t, strings.Contains(out, want), "%v: %s", args, out)
	}
	run(first, limits, "", errkind.None, "limit", "apply", "-f", "-")
	run(first, plans, "", errkind.None, "plan", "apply", "-f", "-")
	out, _ := ctl(t, first, "", "upstream", "list", "-o", "json")
	var upstreams []wire.Upstream
	assert.NilError(t, json.Unmarshal([]byte(out), &upstreams))
	zones := make(map[string]bool)
	for _, u := range upstreams {
		zones[u.Zone] = true
	}
	run(first, "", "the zones are", errkind.NotFound, "zone", "evacuate", "jawa-xx")
	for z := range zones {
		run(first, "", "true", errkind.None, "zone", "evacuate", z, "--wait", "20s")
		run(first, "", "true", errkind.None, "zone", "evacuate", z)
		assert.Assert(t, zoneOf(t, second, z).Evacuated, "the other entry does not know that %s is evacuated", z)
	}
	run(second, "[{id: t1, customer: a, job_class: c, duration: 50ms, resources: {cpu_milli: 100, memory_mib: 64}}]", "accepted", errkind.None, "task", "submit", "-f", "-")
	run(second, "", "0 of 1", errkind.DeadlineExceeded, "task", "wait", "t1", "--wait", "2s")
	run(second, "", "evacuated", errkind.None, "explain", "task", "t1")
	run(first, "", "under evacuation", errkind.None, "limit", "history")
	// A change of plans that does not name the zones must not restore them.
	run(second, "limits: [{plan: p, priority: 2}]", "accepted generation", errkind.None, "limit", "apply", "-f", "-")
	for z := range zones {
		assert.Assert(t, zoneOf(t, first, z).Evacuated, "a change of limits restored %s", z)
		run(second, "", "false", errkind.None, "zone", "restore", z)
	}
	run(first, "", "succeeded", errkind.None, "task", "wait", "t1", "--wait", "20s")
}

// Two operators change zones at the same time. Both changes must hold: one that is based on an older
// generation is repeated on top of the other.
func TestZoneChangesRace(t *testing.T) {
	env := startEnv(t)
	_, code := ctl(t, env.Entries[0].URL, limits, "limit", "apply", "-f", "-")
	assert.Equal(t, code, 0)
	names := []string{"jawa-sm", "jawa-yk"}
	done := make(chan string, len(names))
	for i, z := range names {
		go func() {
			out, code := ctl(t, env.Entries[i].URL, "", "zone", "evacuate", z)
			done <- fmt.Sprint(code, " ", out)
		}()
	}
	for range names {
		result := <-done
		assert.Assert(t, strings.HasPrefix(result, "0 "), result)
	}
	for _, z := range names {
		assert.Assert(t, zoneOf(t, env.Entries[0].URL, z).Evacuated, z)
	}
}
