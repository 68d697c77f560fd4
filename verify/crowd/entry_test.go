package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/platform/stub"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

const (
	requestPort, readinessPort = 8161, 8167
	firstPort, lastPort        = 7720, 7735
	gracePeriod                = 6 * time.Second
	// startTimeout and answerTimeout bound waiting for a machine that is busy with other work.
	startTimeout, answerTimeout = 30 * time.Second, 60 * time.Second
	sampleInterval              = 20 * time.Millisecond
	hostName                    = "crowd.example"
)

// bounds are the limits in the settings file of the entry, which its use is compared with.
type bounds struct{ memoryMB, descriptors int }

// entry is a running entry program and the highest use of its machine so far.
type entry struct {
	*testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	address string
	// memory is the highest sum of resident memory and of bytes that were received and not read yet.
	memory, descriptors atomic.Int64
}

// started counts the entries of this process.
var started atomic.Int64

// nextAddress returns a loopback address of this process alone, so that runs beside each other don't share ports.
func nextAddress() string {
	const first, values = 16, 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", first+pid%values, first+pid/values%values, started.Add(1))
}

// startEntry runs the program until the test ends. It is built without the race detector, which uses several times the memory.
func startEntry(t *testing.T, limits bounds) *entry {
	t.Helper()
	dir := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", dir, "../../cmd/chicory-entry")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	ip := nextAddress()
	e := &entry{T: t, exited: make(chan struct{}), address: net.JoinHostPort(ip, strconv.Itoa(requestPort))}
	s := stub.Settings{Node: "entry-1", IP: ip, Zone: "z1", StoreAddress: serveStore(t), FirstPort: firstPort, LastPort: lastPort, RequestAddress: e.address,
		ReadinessAddress: net.JoinHostPort(ip, strconv.Itoa(readinessPort)), MaxLease: 6 * time.Second, StopTimeout: time.Second, GracePeriod: gracePeriod,
		StatusRetention: time.Minute, MemoryMB: limits.memoryMB, FileDescriptors: limits.descriptors}
	text, err := s.Encode()
	assert.NilError(t, err)
	file := filepath.Join(dir, "settings.yaml")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	e.cmd = exec.Command(filepath.Join(dir, "chicory-entry"), "platform")
	e.cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+file)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	assert.NilError(t, e.cmd.Start())
	go func() { _ = e.cmd.Wait(); close(e.exited) }()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill()
		<-e.exited
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log of the entry:\n%s", text[max(0, len(text)-4000):])
		}
	})
	e.awaitReady(s.ReadinessAddress)
	go e.sample()
	return e
}

// serveStore serves a store with a manifest of one queue.
func serveStore(t *testing.T) string {
	t.Helper()
	table := standin.NewTable(10_000, 10_000)
	server := httptest.NewServer(&stub.Store{Table: table})
	t.Cleanup(server.CloseClientConnections)
	key, value, err := stub.EncodeManifest(&manifest.Manifest{Version: 1, Routes: []manifest.Route{{Name: "q", Host: hostName, Prefix: "/q/", Service: "pool", MaxAttempts: 3, Stretch: 2}},
		Services: map[string]manifest.Service{"pool": {Name: "pool", EnforcesCapacity: true}}})
	assert.NilError(t, err)
	table.Apply(store.Write{Key: key, Value: value})
	return strings.TrimPrefix(server.URL, "http://")
}

func (e *entry) awaitReady(address string) {
	e.Helper()
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); ; time.Sleep(sampleInterval) {
		if resp, err := client.Get("http://" + address); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		assert.Assert(e, time.Now().Before(end) && e.alive(), "the entry is not ready")
	}
}

func (e *entry) alive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// sample records the use of memory and descriptors until the process ends.
func (e *entry) sample() {
	for e.alive() {
		e.memory.Store(max(e.memory.Load(), e.resident("VmRSS:")+e.unread(), e.resident("VmHWM:")))
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid)); err == nil {
			e.descriptors.Store(max(e.descriptors.Load(), int64(len(open))))
		}
		time.Sleep(sampleInterval)
	}
}

// resident returns a field of the process's status in bytes, 0 once it has ended: its resident memory or the highest one.
func (e *entry) resident(field string) int64 {
	const kibi = 1 << 10
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == field {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n * kibi
		}
	}
	return 0
}

// unread returns the bytes that the kernel holds for the connections to the entry: resident memory does not contain them.
func (e *entry) unread() int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	ip := net.ParseIP(strings.Split(e.address, ":")[0]).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], requestPort)
	const established, localField, stateField, queueField = "01", 1, 3, 4
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queueField || fields[localField] != local || fields[stateField] != established {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// check fails the test if the process has ended or used more than its machine has, or if an ordinary request is not answered.
func (e *entry) check(limits bounds) {
	e.Helper()
	assert.Assert(e, e.alive(), "the process has ended")
	e.checkUse(limits)
}

func (e *entry) checkUse(limits bounds) {
	e.Helper()
	const mebi = 1 << 20
	e.Logf("at most %.1f MB of memory and unread bytes, %d descriptors", float64(e.memory.Load())/mebi, e.descriptors.Load())
	assert.Check(e, e.memory.Load() <= int64(limits.memoryMB)*mebi, "memory %.1f MB", float64(e.memory.Load())/mebi)
	assert.Check(e, e.descriptors.Load() <= int64(limits.descriptors), "%d descriptors", e.descriptors.Load())
}

// submit sends an ordinary request, as callers do with retries, until it is accepted.
func (e *entry) submit() {
	e.Helper()
	r := stub.Requester{HTTP: &http.Client{}, Route: manifest.Route{Host: hostName, Prefix: "/q/"}, Deadline: 3 * time.Second}
	s := submission.Submission{ID: "00000000000000ff", Specification: "ordinary", Steps: []submission.Step{{Count: 1, Request: task.Resources{CPU: 100}, Estimate: time.Second}}}
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && e.alive(); time.Sleep(10 * sampleInterval) {
		if err = r.Submit(e.Context(), e.address, &s); err == nil {
			return
		}
	}
	assert.NilError(e, err, "an ordinary request is not answered")
}

// terminate sends SIGTERM and waits for the end of the process.
func (e *entry) terminate() {
	e.Helper()
	assert.NilError(e, e.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-e.exited:
	case <-time.After(gracePeriod):
		e.Fatal("the process is still running at the end of its grace period")
	}
}

// crowd opens connections on each of which send writes a part of a request. They stay open until the test ends. It returns
// when every client has sent all that it wants to, or was refused.
func (e *entry) crowd(clients int, send func(ctx context.Context, c net.Conn, client int)) {
	e.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, clients)
	sent := make(chan struct{}, clients)
	for i := range clients {
		go func() {
			defer func() { ended <- struct{}{} }()
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", e.address)
			if err == nil {
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stop()
				send(ctx, c, i)
			}
			sent <- struct{}{}
			<-ctx.Done()
		}()
	}
	e.Cleanup(func() {
		cancel()
		for range clients {
			<-ended
		}
	})
	for range clients {
		select {
		case <-sent:
		case <-time.After(answerTimeout):
			e.Fatal("the clients could neither send nor were they refused")
		}
	}
}
