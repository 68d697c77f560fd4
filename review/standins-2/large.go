package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// largeCount is the number of tasks of each large submission, largeSubmissions the number of these.
	largeCount       = 10_000
	largeSubmissions = 120
	largeClients     = 4
	memoryInterval   = 50 * time.Millisecond
	largeWatch       = 45 * time.Second
	// faultEnds is how often processes end by themselves on each of faultMachines, from which a day has a fault.
	faultEnds     = 3
	faultMachines = 2
)

// manyTasks hands in submissions of many tasks, and small ones beside them. A process whose memory exceeds that of its machine
// is killed and starts again, as DEPLOY.md has it.
func manyTasks(t *trial) ([]string, error) {
	if err := t.startSmall(4); err != nil {
		return nil, err
	}
	if !t.client.ready("00000000000000aa", "") {
		return nil, errNotReady
	}
	watch := &memoryWatch{t: t, highest: make(map[string]int), kills: make(map[string]int)}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, p := range t.entries {
		watching.Go(func() { watch.run(p, stop) })
	}
	if t.trouble {
		var wg sync.WaitGroup
		for c := range largeClients {
			wg.Go(func() {
				for n := c; n < largeSubmissions; n += largeClients {
					t.client.submit(fmt.Sprintf("00000000000003%02x", n), roomWork, 100, step{Count: largeCount, CPU: 100, MemoryMB: 10, EstimatedMS: roomWork.Milliseconds()})
				}
			})
		}
		wg.Wait()
	}
	const ordinary = "0123456789abcdef"
	t.client.submit(ordinary, time.Second, 100, step{Count: 1, CPU: 100, MemoryMB: 10, EstimatedMS: 1000})
	time.Sleep(largeWatch)
	t.rec.log("client: the ordinary submission is %q", t.client.state(ordinary))
	close(stop)
	watching.Wait()
	return watch.breaks(), nil
}

// memoryWatch kills the processes whose memory exceeds that of their machines.
type memoryWatch struct {
	t       *trial
	mu      sync.Mutex
	highest map[string]int
	kills   map[string]int
}

func (m *memoryWatch) run(p *process, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		mb := p.memoryMB()
		m.mu.Lock()
		m.highest[p.name] = max(m.highest[p.name], mb)
		over := mb > entryMemoryMB
		if over {
			m.kills[p.name]++
		}
		m.mu.Unlock()
		if !over {
			continue
		}
		m.t.rec.log("%s: takes %d MB of %d, and is killed", p.name, mb, entryMemoryMB)
		if err := p.restart(syscall.SIGKILL); err != nil {
			m.t.rec.log("%v", err)
			return
		}
	}
}

func (m *memoryWatch) breaks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, mb := range m.highest {
		m.t.rec.log("%s: at most %d MB", name, mb)
	}
	machines := 0
	for _, kills := range m.kills {
		if kills >= faultEnds {
			machines++
		}
	}
	// Two machines are more than a tenth of the six in use.
	if machines < faultMachines {
		return nil
	}
	return []string{fmt.Sprintf("Fault: processes ended by the memory of their machines, by machine: %v", m.kills)}
}

// memoryMB returns the memory of the process that is its own.
func (p *process) memoryMB() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	const residentField, sharedField = 1, 2
	if len(fields) <= sharedField {
		return 0
	}
	resident, _ := strconv.Atoi(fields[residentField])
	shared, _ := strconv.Atoi(fields[sharedField])
	return (resident - shared) * os.Getpagesize() >> 20
}
