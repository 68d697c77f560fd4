package route

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/clock"
	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/verify/standin"
	"github.com/chicorystand/chicorystand/vm/agent"
	"github.com/chicorystand/chicorystand/wire"
)

// DefaultServiceTime is the service time of the example deployment belfry-lane.
const DefaultServiceTime = 20 * time.Millisecond

// Parameters of the environment; the sizes are those of the example deployments.
const (
	entries     = 2
	executors   = 11
	slots       = 8
	connections = 64
	// maxCallers is the maximum number of client connections to one process. Further requests
	// wait in the client, and the wait counts as latency.
	maxCallers  = 1024
	serviceName = "tourdesk"
	zoneName    = "zone-a"
	readyWait   = 15 * time.Second
)

// Customers of the overload phase; their plans have different priorities.
const (
	urgentCustomer = "urgent"
	normalCustomer = "normal"
)

// environment runs entries, agents and upstreams in one process, connected over loopback
// without added network delay.
type environment struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	client *http.Client
	// serviceTime is the time that an upstream takes for one request.
	serviceTime    time.Duration
	upstreams      []*standin.Upstream
	directURLs     []string
	entryURLs      []string
	entryProcesses []*entry.Entry
}

func startEnvironment(ctx context.Context, serviceTime time.Duration) (*environment, error) {
	env := &environment{serviceTime: serviceTime,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCallers, MaxConnsPerHost: maxCallers, DisableCompression: true}}}
	env.ctx, env.cancel = context.WithCancel(ctx)
	table := standin.NewTable(standin.DefaultWritesPerSecond, standin.DefaultReadsPerSecond)
	var control []string
	for i := range entries {
		addr, err := env.startEntry(i, table)
		if err != nil {
			return env, err
		}
		control = append(control, addr)
	}
	for i := range executors {
		if err := env.startExecutor(i, control); err != nil {
			return env, err
		}
	}
	if err := env.awaitReady(); err != nil {
		return env, err
	}
	return env, env.applyConfig()
}

func (env *environment) stop() {
	env.cancel()
	env.wg.Wait()
	env.client.CloseIdleConnections()
}

func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errkind.Wrap(errkind.Internal, err, "listen on loopback")
}

func (env *environment) spawn(f func()) {
	env.wg.Add(1)
	go func() { defer env.wg.Done(); f() }()
}

func (env *environment) startEntry(i int, table *standin.Table) (string, error) {
	control, err := listen()
	if err != nil {
		return "", err
	}
	web, err := listen()
	if err != nil {
		return "", err
	}
	p := entry.New(entry.Config{ID: fmt.Sprintf("entry-%d", i), Zone: zoneName, Incarnation: uint64(i + 1), ShardsPerZone: 1,
		Table: table, Clock: clock.Boottime{}, Log: zerolog.Nop()})
	env.spawn(func() { _ = p.Run(env.ctx, control, web) })
	env.entryURLs = append(env.entryURLs, "http://"+web.Addr().String())
	env.entryProcesses = append(env.entryProcesses, p)
	return control.Addr().String(), nil
}

func (env *environment) startExecutor(i int, control []string) error {
	web, err := listen()
	if err != nil {
		return err
	}
	data, err := listen()
	if err != nil {
		return err
	}
	vm, incarnation := fmt.Sprintf("vm-%02d", i), uint64(time.Now().UnixNano())
	u := &standin.Upstream{VM: vm, Incarnation: incarnation, ServiceTime: env.serviceTime}
	server := &http.Server{Handler: u, ReadHeaderTimeout: 5 * time.Second}
	env.spawn(func() { _ = server.Serve(web) })
	env.spawn(func() { <-env.ctx.Done(); _ = server.Close() })
	url := "http://" + web.Addr().String()
	worker := standin.NewWorker(standin.WorkerConfig{VM: vm, Capacity: task.Resources{CPU: 32000, Memory: 128000}, Clock: clock.Boottime{},
		Objects: standin.NewObjects()})
	p := agent.New(agent.Config{VM: vm, Zone: zoneName, Rack: "rack-0", Incarnation: incarnation, Entries: control, Service: serviceName,
		UpstreamURL: url, Slots: slots, UpstreamConns: connections, Clock: clock.Boottime{}, Worker: worker, Log: zerolog.Nop()})
	env.spawn(func() { worker.Run(env.ctx) })
	env.spawn(func() { _ = p.Run(env.ctx, data) })
	env.upstreams, env.directURLs = append(env.upstreams, u), append(env.directURLs, url)
	return nil
}

// awaitReady waits until every entry lists every upstream.
func (env *environment) awaitReady() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, url := range env.entryURLs {
			var list []wire.Upstream
			if resp, err := env.client.Get(url + "/v1/upstreams"); err == nil {
				_ = json.NewDecoder(resp.Body).Decode(&list)
				_ = resp.Body.Close()
			}
			if len(list) == executors {
				ready++
			}
		}
		if ready == entries {
			return nil
		}
	}
	return errkind.New(errkind.NotReady, "not every entry lists all upstreams after %v", readyWait)
}

// applyConfig puts in force a configuration with the two plans.
func (env *environment) applyConfig() error {
	doc := plan.Document{
		Plans:  []plan.CustomerPlan{{Customer: urgentCustomer, Plan: "urgent"}, {Customer: normalCustomer, Plan: "normal"}},
		Limits: []plan.Limit{{Plan: "urgent", Priority: 9}, {Plan: "normal", Priority: 1}},
	}
	body, err := yaml.Marshal(doc)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode configuration")
	}
	req, err := http.NewRequestWithContext(env.ctx, http.MethodPut, env.entryURLs[0]+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "create request for configuration")
	}
	resp, err := env.client.Do(req)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "send configuration")
	}
	defer func() { _ = resp.Body.Close() }()
	if reply, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return errkind.New(errkind.Internal, "configuration was rejected: %s", reply)
	}
	// The other entry reads the configuration at its next poll.
	time.Sleep(time.Second)
	return nil
}
