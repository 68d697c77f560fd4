package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/control/backlog"
	"github.com/chicorystand/chicorystand/control/placement"
	"github.com/chicorystand/chicorystand/control/submission"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/wire"
)

const (
	// backlogSettleTime is the time after a takeover in which no backlog is estimated, since the agents have yet to connect and
	// to report their executors.
	backlogSettleTime = 5 * time.Second
	// backlogLogInterval is the time between two log lines on the backlog.
	backlogLogInterval = 2 * time.Second
)

// Backlog returns the message to the entries on the backlog of the queues, nil where that is switched off. It names no queue
// while the tables are incomplete.
func (o *Owner) Backlog(now time.Duration) *wire.Backlog {
	if !o.bounds.Features.Backlog {
		return nil
	}
	m := &wire.Backlog{Epoch: o.epoch}
	if o.manifest == nil || o.placementHeld || len(o.waiting) == 0 || now-o.startedAt < backlogSettleTime {
		return m
	}
	for k, q := range backlog.Estimate(o.backlogInput(now)) {
		m.Queues = append(m.Queues, queueBacklog(k, &q))
	}
	slices.SortFunc(m.Queues, func(a, b wire.QueueBacklog) int { return strings.Compare(a.Queue, b.Queue) })
	o.logBacklog(m, now)
	return m
}

func queueBacklog(k backlog.Key, q *backlog.Queue) wire.QueueBacklog {
	return wire.QueueBacklog{Queue: k.Queue, BestEffort: k.BestEffort, FreeCPU: q.FreeCPU, CPU: q.CPU,
		DelayMS: milliseconds(q.Delay[:]), LeastMS: milliseconds(q.Least[:]), LateMS: milliseconds(q.Late[:])}
}

func milliseconds(list []time.Duration) []int64 {
	out := make([]int64, len(list))
	for i, d := range list {
		out[i] = d.Milliseconds()
	}
	return out
}

func (o *Owner) logBacklog(m *wire.Backlog, now time.Duration) {
	if len(m.Queues) == 0 || now-o.backlogLoggedAt < backlogLogInterval {
		return
	}
	o.backlogLoggedAt = now
	const largest = backlog.Classes - 1
	longest := &m.Queues[0]
	for i := range m.Queues {
		if q := &m.Queues[i]; q.DelayMS[largest] > longest.DelayMS[largest] {
			longest = q
		}
	}
	events.BacklogEstimated.Log(o.log).Str("queue", longest.Queue).Bool("best_effort", longest.BestEffort).Int64("delay", longest.DelayMS[largest]).
		Int64("least", longest.LeastMS[largest]).Int("queues", len(m.Queues)).Int("waiting_steps", len(o.waiting)).Send()
}

// backlogInput builds the input of the estimate from the tables.
func (o *Owner) backlogInput(now time.Duration) *backlog.Input {
	in := &backlog.Input{Now: now, FairShares: o.bounds.Features.FairShares, Nodes: make([]backlog.Node, 0, len(o.executors)), Waiting: make([]backlog.Work, 0, 2*len(o.waiting))}
	for i := range o.manifest.Routes {
		r := &o.manifest.Routes[i]
		in.Queues = append(in.Queues, backlog.Policy{Queue: r.Name, Service: r.Service, Priority: r.Priority, Accuracy: o.meanAccuracy(r.Name)})
	}
	totals := make(map[string]task.Resources)
	work := make(occurrences)
	for _, n := range o.executors {
		// Executors that don't respond now count as capacity: too little capacity could lead to refusals.
		if n.gone || n.info.Draining || o.evacuated(n) || n.placementNode.Capacity.CPU == 0 {
			continue
		}
		totals[n.info.Service] = totals[n.info.Service].Add(n.placementNode.Capacity)
		in.Nodes = append(in.Nodes, o.backlogNode(n, now))
		for t := range n.tasks {
			work.addRunning(t)
		}
	}
	for _, w := range o.waiting {
		in.Waiting = append(in.Waiting, o.waitingWork(w, totals[o.service(w.job.sub)]))
		work.addWaiting(w)
	}
	for k, active := range work {
		if rest, ok := o.laterWork(k, active); ok {
			in.Waiting = append(in.Waiting, rest)
		}
	}
	return in
}

// meanAccuracy returns the typical run time of a queue's tasks as a multiple of the estimate, 0 while it is not known.
func (o *Owner) meanAccuracy(queue string) float64 {
	e := o.estimates[queue]
	if e == nil {
		return 0
	}
	factor, _ := e.MeanFactor()
	return factor
}

func (o *Owner) backlogNode(n *node, now time.Duration) backlog.Node {
	out := backlog.Node{Service: n.info.Service, CPU: n.placementNode.Capacity.CPU, Runs: make([]backlog.Run, 0, len(n.tasks)),
		Open: n.adopted && n.connected && !n.leaseExpired && now >= n.closedUntil && !n.held()}
	for t := range n.tasks {
		s := t.step()
		r := backlog.Run{Priority: t.job.sub.Priority, CPU: t.reserved().CPU, IdleCPU: s.Request.CPU, Accuracy: o.meanAccuracy(t.job.sub.Queue),
			Permanent: s.LongRunning && !t.stopping, Preemptible: t.preemptible()}
		if !t.stopping {
			r.Remaining = s.Estimate * time.Duration(100-min(t.progressPercent, 100)) / 100
		}
		switch {
		case s.BestEffort:
			r.IdleCPU = t.bestEffortCPU(t.speedLimit)
		case s.LatencyCritical():
			r.IdleCPU = int64(placement.LatencyCriticalUse * float64(s.Request.CPU))
		}
		out.Runs = append(out.Runs, r)
	}
	return out
}

// waitingWork returns the work of the tasks of a step that wait. total is the capacity of the pool.
func (o *Owner) waitingWork(w *waitingStep, total task.Resources) backlog.Work {
	s := &w.job.sub.Steps[w.key.step]
	out := backlog.Work{Queue: w.job.sub.Queue, Service: o.service(w.job.sub), Order: w.orderingKey(), Duration: s.Estimate, TaskCPU: s.Request.CPU,
		Accuracy: o.meanAccuracy(w.job.sub.Queue), Restricted: o.restricted(w.job.sub, s, total)}
	work := float64(len(w.tasks)) * s.Work()
	switch {
	case s.LongRunning:
		out.PermanentCPU = int64(len(w.tasks)) * s.Request.CPU
	case s.BestEffort:
		out.BestEffort = work
	default:
		out.Reserved = work
	}
	return out
}

// restricted reports whether a step may wait although processors are free, so that others begin before it.
func (o *Owner) restricted(sub *submission.Submission, s *submission.Step, total task.Resources) bool {
	memoryBound := float64(s.Request.Memory)*float64(total.CPU) > float64(s.Request.CPU)*float64(total.Memory)
	prefersRack := o.bounds.Features.PlaceWait && (s.DataRack != "" || s.SameRack)
	return s.Gang || s.Label != "" || s.Request.Accelerators > 0 || s.MaxPerExecutor > 0 || memoryBound || prefersRack || o.needsAdvice(sub)
}

// occurrenceKey identifies an occurrence of a job.
type occurrenceKey struct {
	job        *job
	occurrence int
}

// activeTasks are the tasks of an occurrence that run or wait for an executor, by step.
type activeTasks []int

type occurrences map[occurrenceKey]activeTasks

func (m occurrences) add(j *job, occurrence, step, tasks int) {
	if len(j.sub.Steps) == 1 {
		// Nothing comes later.
		return
	}
	k := occurrenceKey{j, occurrence}
	active := m[k]
	if active == nil {
		active = make(activeTasks, len(j.sub.Steps))
		m[k] = active
	}
	active[step] += tasks
}

func (m occurrences) addRunning(t *taskEntry) {
	if !t.job.state.Final() && !t.stopping {
		m.add(t.job, t.id.Occurrence, t.id.Step, 1)
	}
}

func (m occurrences) addWaiting(w *waitingStep) {
	m.add(w.job, w.key.occurrence, w.key.step, len(w.tasks))
}

// laterWork returns the work of an occurrence whose tasks neither run nor wait, since other steps have to be done before.
// Others may begin before that.
func (o *Owner) laterWork(k occurrenceKey, active activeTasks) (backlog.Work, bool) {
	sub := k.job.sub
	out := backlog.Work{Queue: sub.Queue, Service: o.service(sub), Accuracy: o.meanAccuracy(sub.Queue), Restricted: true}
	first := math.MaxInt
	for i, remaining := range k.job.remaining[k.occurrence] {
		s := &sub.Steps[i]
		later := remaining - active[i]
		if later <= 0 || s.LongRunning {
			continue
		}
		first = min(first, i)
		out.Duration = max(out.Duration, s.Estimate)
		if s.BestEffort {
			out.BestEffort += float64(later) * s.Work()
		} else {
			out.Reserved += float64(later) * s.Work()
		}
	}
	if first == math.MaxInt {
		return out, false
	}
	step := waitingStep{key: stepKey{sub.ID, k.occurrence, first}, job: k.job}
	out.Order = step.orderingKey()
	return out, true
}
