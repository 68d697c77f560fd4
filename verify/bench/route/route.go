// Package route measures the request path: its added latency compared with a direct call
// to the upstream, and its goodput under overload.
package route

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/verify/bench"
)

// Durations of the benchmark's phases; they take less than 40 s in total.
const (
	warmUp        = time.Second
	rounds        = 4
	roundTime     = 2500 * time.Millisecond
	capacityTime  = 3 * time.Second
	overloadTime  = 6 * time.Second
	overloadRatio = 2
	// overloadDeadline is the deadline of all routed requests; the overload phase is checked against it.
	overloadDeadline = 500 * time.Millisecond
)

// Bounds of the checks: added latency in milliseconds, goodput in percent of capacity.
const (
	boundAddedP50 = 0.2
	boundAddedP99 = 1.0
	boundGoodput  = 95.0
)

// sample holds the measurements of one phase.
type sample struct {
	mu             sync.Mutex
	latency        *hdrhistogram.Histogram
	refused        *hdrhistogram.Histogram
	responses      map[string]int
	errorKinds     map[string]int
	wrongResponses int
	elapsed        time.Duration
	cpuTime        time.Duration
}

func newSample() *sample {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &sample{latency: h(), refused: h(), responses: make(map[string]int), errorKinds: make(map[string]int)}
}

func (s *sample) total() int {
	n := 0
	for _, c := range s.responses {
		n += c
	}
	return n
}

func quantileMS(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// Run starts the environment and measures all phases with the given service time.
func Run(ctx context.Context, seed uint64, serviceTime time.Duration) (*bench.Result, error) {
	env, err := startEnvironment(ctx, serviceTime)
	defer env.stop()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	halfLoad := float64(executors*slots) / serviceTime.Seconds() / 2
	env.openLoop(random, newSample(), halfLoad, warmUp, env.directTarget)
	env.openLoop(random, newSample(), halfLoad, warmUp, env.routedTarget)
	direct, routed := newSample(), newSample()
	for range rounds {
		env.openLoop(random, direct, halfLoad, roundTime, env.directTarget)
		env.openLoop(random, routed, halfLoad, roundTime, env.routedTarget)
	}
	capacity := env.measureCapacity()
	for _, u := range env.upstreams {
		u.ResetMaxInFlight()
	}
	overload := newSample()
	env.openLoop(random, overload, overloadRatio*capacity, overloadTime, env.routedTarget)
	return env.result(seed, direct, routed, overload, capacity), nil
}

func (env *environment) result(seed uint64, direct, routed, overload *sample, capacity float64) *bench.Result {
	goodput := float64(overload.total()) / overload.elapsed.Seconds()
	res := &bench.Result{Bench: "route", Seed: seed}
	latencyTable := bench.Table{Title: "latency at half load", Header: []string{"path", "answers", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "CPU µs/request"}}
	for _, row := range []struct {
		name string
		s    *sample
	}{{"direct", direct}, {"routed", routed}} {
		s := row.s
		latencyTable.Add(row.name, s.total(), quantileMS(s.latency, 50), quantileMS(s.latency, 90), quantileMS(s.latency, 99), quantileMS(s.latency, 99.9),
			float64(s.cpuTime.Microseconds())/float64(max(s.total(), 1)))
	}
	overloadTable := bench.Table{Title: "overload by a factor of 2", Header: []string{"figure", "value"}}
	overloadTable.Add("service time ms", float64(env.serviceTime.Microseconds())/1000)
	overloadTable.Add("capacity, measured with direct calls, 1/s", capacity)
	overloadTable.Add("capacity, slots / service time, 1/s", executors*slots/env.serviceTime.Seconds())
	overloadTable.Add("goodput 1/s", goodput)
	overloadTable.Add("answered, priority 9", overload.responses[urgentCustomer])
	overloadTable.Add("answered, priority 1", overload.responses[normalCustomer])
	overloadTable.Add("p50 of answers ms", quantileMS(overload.latency, 50))
	overloadTable.Add("p99 of answers ms", quantileMS(overload.latency, 99))
	overloadTable.Add("p50 of refusals ms", quantileMS(overload.refused, 50))
	overloadTable.Add("p99 of refusals ms", quantileMS(overload.refused, 99))
	for kind, n := range overload.errorKinds {
		overloadTable.Add("refused "+kind, n)
	}
	maxInFlight := 0
	for _, u := range env.upstreams {
		maxInFlight = max(maxInFlight, u.MaxInFlight())
	}
	res.Tables = []bench.Table{latencyTable, overloadTable}
	res.Checks = []bench.Check{
		bench.AtMost("added latency p50 at half load", quantileMS(routed.latency, 50)-quantileMS(direct.latency, 50), boundAddedP50, "ms"),
		bench.AtMost("added latency p99 at half load", quantileMS(routed.latency, 99)-quantileMS(direct.latency, 99), boundAddedP99, "ms"),
		bench.AtLeast("goodput at 2 times overload", 100*goodput/capacity, boundGoodput, "% of capacity"),
		bench.AtMost("p99 of admitted requests at 2 times overload", quantileMS(overload.latency, 99), float64(overloadDeadline.Milliseconds()), "ms"),
		bench.AtMost("requests at once on one upstream, routed", float64(maxInFlight), slots, "requests"),
		bench.AtMost("wrong answers", float64(direct.wrongResponses+routed.wrongResponses+overload.wrongResponses), 0, "answers"),
	}
	return res
}

// target returns the URL and customer of the i-th request.
type target func(random *rand.Rand, i int) (url, customer string)

func (env *environment) directTarget(random *rand.Rand, _ int) (string, string) {
	return env.directURLs[random.IntN(len(env.directURLs))] + "/seat-hold", ""
}

func (env *environment) routedTarget(random *rand.Rand, i int) (string, string) {
	customer := normalCustomer
	if random.IntN(2) == 0 {
		customer = urgentCustomer
	}
	return env.entryURLs[i%len(env.entryURLs)] + "/v1/services/" + serviceName + "/seat-hold", customer
}

// openLoop sends requests with exponentially distributed intervals, without waiting for
// responses, and adds their results to s.
func (env *environment) openLoop(random *rand.Rand, s *sample, perSecond float64, d time.Duration, to target) {
	cpu, start := cpuTime(), time.Now()
	var wg sync.WaitGroup
	sendAt := start
	for i := 0; sendAt.Sub(start) < d && env.ctx.Err() == nil; i++ {
		time.Sleep(time.Until(sendAt))
		url, customer := to(random, i)
		wg.Add(1)
		go func() { defer wg.Done(); env.sendRequest(s, url, customer, fmt.Sprintf("r-%d", i)) }()
		sendAt = sendAt.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	s.elapsed += time.Since(start)
	wg.Wait()
	s.cpuTime += cpuTime() - cpu
}

// measureCapacity keeps every slot of every upstream busy with direct calls and
// returns the responses per second.
func (env *environment) measureCapacity() float64 {
	s := newSample()
	end := time.Now().Add(capacityTime)
	var wg sync.WaitGroup
	for i := range executors * slots {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && env.ctx.Err() == nil {
				env.sendRequest(s, env.directURLs[i%executors]+"/seat-hold", "", "c")
			}
		}()
	}
	wg.Wait()
	return float64(s.total()) / capacityTime.Seconds()
}

func (env *environment) sendRequest(s *sample, url, customer, name string) {
	const body = "body"
	start := time.Now()
	req, err := http.NewRequestWithContext(env.ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(entry.HeaderRequestName, name)
	if customer != "" {
		req.Header.Set(entry.HeaderCustomer, customer)
		req.Header.Set(entry.HeaderDeadline, overloadDeadline.String())
	}
	resp, err := env.client.Do(req)
	if err != nil {
		s.record(start, customer, "connection_failed", true)
		return
	}
	reply, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	kind := resp.Header.Get(entry.HeaderKind)
	if err != nil {
		kind = "connection_failed"
	}
	s.record(start, customer, kind, string(reply) == name+":"+body)
}

func (s *sample) record(start time.Time, customer, kind string, correct bool) {
	latency := time.Since(start).Microseconds()
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind != "" {
		s.errorKinds[kind]++
		_ = s.refused.RecordValue(latency)
		return
	}
	s.responses[customer]++
	_ = s.latency.RecordValue(latency)
	if !correct {
		s.wrongResponses++
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
