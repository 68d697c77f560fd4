package entry

import (
	"context"
	"net/http"
	"sort"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

// SystemStatus is the state of the whole system as collected by one entry.
type SystemStatus struct {
	// Generation is the highest configuration generation in force at any entry.
	Generation uint64                  `json:"config_generation"`
	Entries    []wire.EntryStatusReply `json:"entries"`
	Shards     []wire.ShardStatusReply `json:"shards"`
	// Missing lists the entries and shards that did not respond.
	Missing []string `json:"missing"`
}

func (e *Entry) systemStatus(ctx context.Context) SystemStatus {
	s := SystemStatus{Entries: []wire.EntryStatusReply{*e.status()}, Shards: []wire.ShardStatusReply{}, Missing: []string{}}
	e.queryPeers(ctx, &wire.EntryStatus{}, func(id string, m wire.Message, err error) {
		if r, ok := m.(*wire.EntryStatusReply); ok && err == nil {
			s.Entries = append(s.Entries, *r)
			return
		}
		s.Missing = append(s.Missing, "entry "+id)
	})
	shards := e.manager.Shards()
	sort.Strings(shards)
	for _, id := range shards {
		m, err := e.callShard(ctx, id, &wire.ShardStatus{Shard: id})
		if r, ok := m.(*wire.ShardStatusReply); ok && err == nil {
			s.Shards = append(s.Shards, *r)
			continue
		}
		s.Missing = append(s.Missing, "shard "+id)
	}
	sort.Slice(s.Entries, func(i, j int) bool { return s.Entries[i].Entry < s.Entries[j].Entry })
	for _, en := range s.Entries {
		s.Generation = max(s.Generation, en.ConfigGen)
	}
	return s
}

func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, e.systemStatus(r.Context()))
}

// TaskExplanation is the response of GET /v1/tasks/{id}/explain.
type TaskExplanation struct {
	Task TaskView `json:"task"`
	VMs  int      `json:"vms"`
	// Reasons counts the VMs that cannot run the task, and Refusals the past scheduling
	// passes that did not place it, by reason.
	Reasons  []wire.ReasonCount `json:"reasons"`
	Refusals []wire.ReasonCount `json:"refusals"`
	Ahead    int                `json:"ahead"`
}

func (e *Entry) explainTask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	customer, err := customerScope(r, r.URL.Query().Get("customer"))
	if err != nil {
		writeError(w, err)
		return
	}
	last := errkind.New(errkind.NotFound, "task %s", id)
	for _, sh := range e.manager.Shards() {
		m, err := e.callShard(r.Context(), sh, &wire.Explain{Shard: sh, Customer: customer, ID: id})
		if x, ok := m.(*wire.ExplainReply); ok && err == nil {
			view := TaskView{Record: x.Record}
			if x.Waiting != errkind.None {
				view.Waiting = x.Waiting.String()
			}
			writeJSON(w, http.StatusOK, TaskExplanation{Task: view, VMs: x.VMs, Reasons: append([]wire.ReasonCount{}, x.Reasons...),
				Refusals: append([]wire.ReasonCount{}, x.Refusals...), Ahead: x.Ahead})
			return
		}
		if errkind.Of(err) != errkind.NotFound {
			last = err
		}
	}
	writeError(w, last)
}

// RequestExplanation is the response of GET /v1/requests/{name}/explain.
type RequestExplanation struct {
	Name     string                `json:"name"`
	Outcomes []wire.RequestOutcome `json:"outcomes"`
	Reasons  []wire.ReasonCount    `json:"reasons"`
	Missing  []string              `json:"missing"`
}

func (e *Entry) explainRequest(w http.ResponseWriter, r *http.Request) {
	customer, err := customerScope(r, r.URL.Query().Get("customer"))
	if err != nil {
		writeError(w, err)
		return
	}
	x := RequestExplanation{Name: r.PathValue("name"), Reasons: []wire.ReasonCount{}, Missing: []string{}}
	x.Outcomes = e.outcomes.find(customer, x.Name)
	e.queryPeers(r.Context(), &wire.ExplainRequest{Customer: customer, Name: x.Name}, func(id string, m wire.Message, err error) {
		if reply, ok := m.(*wire.ExplainRequestReply); ok && err == nil {
			x.Outcomes = append(x.Outcomes, reply.Outcomes...)
			return
		}
		x.Missing = append(x.Missing, "entry "+id)
	})
	if len(x.Outcomes) == 0 {
		writeError(w, errkind.New(errkind.NotFound, "no recent request is named %q", x.Name))
		return
	}
	sort.Slice(x.Outcomes, func(i, j int) bool { return x.Outcomes[i].AgeMS > x.Outcomes[j].AgeMS })
	counts := make(map[errkind.Kind]int)
	for _, o := range x.Outcomes {
		counts[o.Kind]++
	}
	for _, k := range append([]errkind.Kind{errkind.None}, errkind.All()...) {
		if counts[k] > 0 {
			x.Reasons = append(x.Reasons, wire.ReasonCount{Reason: k.String(), Count: counts[k]})
		}
	}
	writeJSON(w, http.StatusOK, x)
}
