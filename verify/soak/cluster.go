package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/control/manifest"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/platform/stub"
	"github.com/chicorystand/chicorystand/state/member"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/history"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/verify/workload"
	"github.com/chicorystand/chicorystand/vm/executor"
)

// Settings of the deployment.
const (
	heartbeatInterval    = 1500 * time.Millisecond
	heartbeatSendTimeout = time.Second
	maxLease             = 6 * time.Second
	stopTimeout          = 200 * time.Millisecond
	gracePeriod          = 6 * time.Second
	retention            = 120 * time.Second
	requestDeadline      = 3 * time.Second
	checkpointInterval   = time.Second
	// slowClockRate is the clock rate of every second executor.
	slowClockRate = 0.98
	// initialClock is the reading of the executors' clocks at the start of a run. The clock of an executor that restarts
	// begins anew, so a deadline that was meant for an executor that had been up for long is far ahead there.
	initialClock = time.Hour
)

// executorCapacity is the capacity of each executor.
var executorCapacity = task.Resources{CPU: 4000, Memory: 8000}

// Ports of a process, at its own address.
const (
	requestPort   = 8161
	readinessPort = 8167
	heartbeatPort = 8166
	firstPort     = 7720
	lastPort      = 7735
	executorPort  = 8080
	storePort     = 8169
)

// Values of PART in the loopback addresses 127.N.PART.HOST. A process listens on one part;
// others connect to it on another part, where its proxy listens.
const (
	partProcess       = 1
	partProcessProxy  = 2
	partStore         = 3
	partStoreProxy    = 4
	partExecutor      = 5
	partExecutorProxy = 6
)

// network is the second byte of all addresses of one run.
type network byte

// host returns the IP address of a process or of its proxies.
func (n network) host(part, host int) string { return fmt.Sprintf("127.%d.%d.%d", n, part, host) }

func (n network) address(part, host, port int) string {
	return fmt.Sprintf("%s:%d", n.host(part, host), port)
}

// node is a process with the proxies of its incoming and outgoing connections.
type node struct {
	*process
	// requests, heartbeats, members, store and executor are nil where the process has no such link.
	requests, heartbeats, members, store, executor *proxy
}

func (n *node) links() []*proxy {
	var all []*proxy
	for _, p := range []*proxy{n.requests, n.heartbeats, n.members, n.store, n.executor} {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// cluster is a deployment of real processes that use stand-ins of the platform.
type cluster struct {
	cfg       Config
	net       network
	table     *standin.Table
	recorder  *history.Recorder
	start     time.Time
	entries   []*node
	agents    []*node
	executors []*standin.Executor
	route     manifest.Route
	closers   []func()

	mu       sync.Mutex
	failures []string
}

// fail records a failure that is not a violation of an invariant of package history.
func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf("%v ", time.Since(c.start).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// newCluster starts the stand-ins and all processes.
func newCluster(ctx context.Context, cfg Config, taskWork map[string]standin.Work, r *rand.Rand) (*cluster, error) {
	start := time.Now()
	c := &cluster{cfg: cfg, start: start, table: standin.NewTable(800, 2000),
		recorder: history.NewRecorder(func() time.Duration { return time.Since(start) }),
		route:    manifest.Route{Name: "q", Host: "soak.example", Prefix: "/q/", Service: "pool", MaxAttempts: workload.MaxAttempts, Stretch: 2}}
	err := c.startAll(ctx, taskWork, r)
	if err != nil {
		c.stop()
	}
	return c, err
}

func (c *cluster) startAll(ctx context.Context, taskWork map[string]standin.Work, r *rand.Rand) error {
	if err := c.serveStore(ctx, r); err != nil {
		return err
	}
	for i := range c.cfg.Entries {
		if err := c.addEntry(i + 1); err != nil {
			return err
		}
	}
	for i := range c.cfg.Executors {
		if err := c.addExecutor(ctx, c.cfg.Entries+i+1, taskWork); err != nil {
			return err
		}
	}
	return nil
}

// serveStore picks a free network at random and serves the store on it.
func (c *cluster) serveStore(ctx context.Context, r *rand.Rand) error {
	const tries, lowest, highest = 20, 16, 250
	for range tries {
		c.net = network(lowest + r.IntN(highest-lowest))
		if err := c.serve(c.net.address(partStore, 1, storePort), &stub.Store{Table: c.table, Rewrite: c.rewriteMemberAddresses}); err == nil {
			break
		} else if ctx.Err() != nil {
			return err
		}
	}
	if len(c.closers) == 0 {
		return errors.New("no free loopback network for the store")
	}
	key, value, err := stub.EncodeManifest(&manifest.Manifest{Version: 1, Routes: []manifest.Route{c.route},
		Services: map[string]manifest.Service{c.route.Service: {Name: c.route.Service, EnforcesCapacity: true}}})
	if err != nil {
		return err
	}
	_, err = c.table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
	return err
}

// rewriteMemberAddresses replaces the members' addresses by those of their proxies. Both have the same
// length, so that the encoded row stays valid.
func (c *cluster) rewriteMemberAddresses(key string, value []byte) []byte {
	if !strings.HasPrefix(key, member.Table+"/") {
		return value
	}
	return bytes.ReplaceAll(value, []byte(c.net.prefix(partProcess)), []byte(c.net.prefix(partProcessProxy)))
}

func (n network) prefix(part int) string { return fmt.Sprintf("127.%d.%d.", n, part) }

func (c *cluster) serve(address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: requestDeadline}
	go func() { _ = s.Serve(l) }()
	c.closers = append(c.closers, func() { _ = s.Close() })
	return nil
}

func (c *cluster) proxy(address, target string) (*proxy, error) {
	p, err := newProxy(address, target)
	if err == nil {
		c.closers = append(c.closers, p.close)
	}
	return p, err
}

// zoneName returns the availability zone of a process.
func zoneName(host int) string { return fmt.Sprintf("z%d", host%2) }

// addNode creates the proxies and settings that entries and agents have in common.
func (c *cluster) addNode(host int, kind string) (*node, stub.Settings, error) {
	s := stub.Settings{Node: fmt.Sprintf("%s-%d", kind, host), IP: c.net.host(partProcess, host), Zone: zoneName(host),
		StoreAddress: c.net.address(partStoreProxy, host, storePort), FirstPort: firstPort, LastPort: lastPort, HeartbeatInterval: heartbeatInterval,
		MaxLease: maxLease, StopTimeout: stopTimeout, GracePeriod: gracePeriod, StatusRetention: retention}
	n := new(node)
	var err error
	if n.store, err = c.proxy(s.StoreAddress, c.net.address(partStore, 1, storePort)); err != nil {
		return nil, s, err
	}
	n.members, err = c.proxy(c.net.address(partProcessProxy, host, firstPort), c.net.address(partProcess, host, firstPort))
	return n, s, err
}

func (c *cluster) addEntry(host int) error {
	n, s, err := c.addNode(host, "entry")
	if err != nil {
		return err
	}
	s.RequestAddress, s.ReadinessAddress = c.net.address(partProcess, host, requestPort), c.net.address(partProcess, host, readinessPort)
	if n.requests, err = c.proxy(c.net.address(partProcessProxy, host, requestPort), s.RequestAddress); err != nil {
		return err
	}
	c.entries = append(c.entries, n)
	return c.startProcess(n, "chicory-entry", s)
}

func (c *cluster) addExecutor(ctx context.Context, host int, taskWork map[string]standin.Work) error {
	n, s, err := c.addNode(host, "agent")
	if err != nil {
		return err
	}
	s.HeartbeatAddress = c.net.address(partProcess, host, heartbeatPort)
	if n.heartbeats, err = c.proxy(c.net.address(partProcessProxy, host, heartbeatPort), s.HeartbeatAddress); err != nil {
		return err
	}
	address, rate := c.net.address(partExecutorProxy, host, executorPort), 1.0
	if host%2 == 0 {
		rate = slowClockRate
	}
	e := standin.NewExecutor(standin.ExecutorConfig{VM: s.Node, Service: c.route.Service, Address: address, Zone: s.Zone, Rack: s.Zone, Kind: "a",
		Capacity: executorCapacity, Clock: clock.NewRuntime(), ClockRate: rate, InitialClock: initialClock, MaxLease: maxLease, StopTimeout: stopTimeout,
		CheckpointInterval: checkpointInterval, Recorder: c.recorder, Work: func(name string, _ uint32) standin.Work { return taskWork[name] }})
	if err := c.serve(c.net.address(partExecutor, host, executorPort), &stub.Executor{Client: c.executorClient(n, e)}); err != nil {
		return err
	}
	if n.executor, err = c.proxy(address, c.net.address(partExecutor, host, executorPort)); err != nil {
		return err
	}
	e.Boot(false)
	go e.Run(ctx)
	go sendHeartbeats(ctx, e, n.heartbeats.listener.Addr().String())
	c.agents, c.executors = append(c.agents, n), append(c.executors, e)
	return c.startProcess(n, "chicory-agent", s)
}

// executorClient returns what serves the calls to an executor: the stand-in, unless the configuration intercepts them.
func (c *cluster) executorClient(agent *node, e *standin.Executor) executor.Client {
	if c.cfg.intercept == nil {
		return e
	}
	return c.cfg.intercept(c, agent, e)
}

func (c *cluster) startProcess(n *node, program string, s stub.Settings) error {
	var err error
	n.process, err = newProcess(c.cfg.Dir, filepath.Join(c.cfg.Binaries, program), s, func(name string, err error) {
		c.fail("%s exited unexpectedly: %v", name, err)
	})
	if err != nil {
		return err
	}
	return n.start()
}

// sendHeartbeats sends the executor's heartbeats to its agent until ctx is done.
func sendHeartbeats(ctx context.Context, e *standin.Executor, address string) {
	client := &http.Client{Timeout: heartbeatSendTimeout}
	for ctx.Err() == nil {
		if info, ok := e.Info(); ok {
			// A failed heartbeat is not retried; the next one follows after the interval.
			_ = stub.Heartbeat(ctx, client, address, info)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// nodes returns all entries and agents.
func (c *cluster) nodes() []*node { return slices.Concat(c.entries, c.agents) }

// stop terminates all processes and closes the stand-ins and proxies.
func (c *cluster) stop() {
	var wg sync.WaitGroup
	for _, n := range c.nodes() {
		if n.process != nil && n.cmd != nil {
			wg.Go(func() {
				n.signal(sigCont)
				if err := n.process.stop(sigTerm, gracePeriod); err != nil {
					c.fail("%v", err)
				}
			})
		}
	}
	wg.Wait()
	for _, f := range c.closers {
		f()
	}
}
