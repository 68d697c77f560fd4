package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/plan"
	"github.com/chicorystand/chicorystand/shard"
	"github.com/chicorystand/chicorystand/task"
	"github.com/chicorystand/chicorystand/wire"
)

// handler routes the HTTP API.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/services/{service}/{path...}", e.serveRequest)
	mux.HandleFunc("POST /v1/tasks", e.submitTasks)
	mux.HandleFunc("GET /v1/tasks", e.listTasks)
	mux.HandleFunc("POST /v1/tasks/cancel", e.cancelTasks)
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.config()) })
	mux.HandleFunc("PUT /v1/config", e.putConfig)
	mux.HandleFunc("GET /v1/config/status", e.configStatus)
	mux.HandleFunc("GET /v1/upstreams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.upstreams()) })
	mux.HandleFunc("POST /v1/upstreams/{vm}/drain", e.drainUpstream)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.metrics.Registry, promhttp.HandlerOpts{}))
	return mux
}

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Kind      string `json:"kind"`
	Execution string `json:"execution"`
	Message   string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	a := kind.Answer()
	w.Header().Set(HeaderKind, a.Name)
	w.Header().Set(HeaderExecution, a.Execution.String())
	if a.Retryable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, a.HTTPStatus, ErrorBody{Kind: a.Name, Execution: a.Execution.String(), Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ready := e.ready
	e.mu.Unlock()
	if !ready || e.follower.Admit() != nil {
		writeError(w, errkind.New(errkind.NotReady, "entry %s is not ready", e.cfg.ID))
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody))
	dec.DisallowUnknownFields()
	return errkind.Wrap(errkind.InvalidArgument, dec.Decode(into), "request body")
}

func (e *Entry) putConfig(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		writeError(w, errkind.Wrap(errkind.TooLarge, err, "configuration"))
		return
	}
	doc, err := plan.Parse("request", data)
	if err != nil {
		writeError(w, err)
		return
	}
	accepted, err := e.applyConfig(r.Context(), doc)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, accepted)
}

// shardOfTask returns the shard that queues a task: one of the shards of the
// requested zone, or of all zones, chosen by the hash of the task id.
func (e *Entry) shardOfTask(s task.Spec) (string, error) {
	all := e.manager.Shards()
	sort.Strings(all)
	var eligible []string
	for _, id := range all {
		if s.Zone == "" || strings.HasPrefix(id, s.Zone+"-") {
			eligible = append(eligible, id)
		}
	}
	if len(eligible) == 0 {
		return "", errkind.New(errkind.NotReady, "no shard serves zone %q", s.Zone)
	}
	return eligible[xxhash.Sum64String(s.ID)%uint64(len(eligible))], nil
}

// callShard sends a message to the owner of a shard, which may be this entry.
func (e *Entry) callShard(ctx context.Context, id string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if _, ok := e.manager.Owner(id); ok {
		ch := make(chan wire.Message, 1)
		e.handleControl(nil, m, func(r wire.Message) { ch <- r })
		select {
		case r := <-ch:
			if er, ok := r.(*wire.Error); ok {
				return nil, errkind.New(er.Kind, "%s", er.Msg)
			}
			return r, nil
		case <-ctx.Done():
			return nil, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "shard %s", id)
		}
	}
	row, ok := e.manager.Locate(id)
	if !ok {
		return nil, errkind.New(errkind.NotReady, "shard %s has no owner", id)
	}
	e.mu.Lock()
	p := e.peers[row.Owner]
	e.mu.Unlock()
	if p == nil {
		return nil, errkind.New(errkind.NotReady, "owner %s of shard %s is not connected", row.Owner, id)
	}
	return p.Call(ctx, m)
}

func (e *Entry) submitTasks(w http.ResponseWriter, r *http.Request) {
	var specs []task.Spec
	if err := readJSON(w, r, &specs); err != nil {
		writeError(w, err)
		return
	}
	byShard := make(map[string][]task.Spec)
	for _, s := range specs {
		id, err := e.shardOfTask(s)
		if err != nil {
			writeError(w, err)
			return
		}
		byShard[id] = append(byShard[id], s)
	}
	var results []wire.TaskResult
	for id, group := range byShard {
		m, err := e.callShard(r.Context(), id, &wire.Submit{Shard: id, Specs: group})
		results = appendResults(results, m, err, group)
	}
	writeJSON(w, http.StatusOK, results)
}

func appendResults(results []wire.TaskResult, m wire.Message, err error, group []task.Spec) []wire.TaskResult {
	if err != nil {
		for _, s := range group {
			results = append(results, wire.TaskResult{ID: s.ID, Kind: errkind.Of(err), Detail: err.Error()})
		}
		return results
	}
	if reply, ok := m.(*wire.SubmitReply); ok {
		results = append(results, reply.Results...)
	}
	return results
}

// TaskView is a task record with the reason why it waits.
type TaskView struct {
	task.Record
	Waiting string `json:"waiting,omitempty"`
}

func (e *Entry) listTasks(w http.ResponseWriter, r *http.Request) {
	ids := r.URL.Query()["id"]
	var views []TaskView
	for _, id := range e.manager.Shards() {
		m, err := e.callShard(r.Context(), id, &wire.Lookup{Shard: id, Customer: r.URL.Query().Get("customer"), IDs: ids, Limit: 1000})
		if err != nil {
			writeError(w, err)
			return
		}
		reply, ok := m.(*wire.LookupReply)
		if !ok {
			continue
		}
		waiting := make(map[string]string)
		for _, t := range reply.Waiting {
			waiting[t.ID] = t.Kind.String()
		}
		for _, rec := range reply.Records {
			views = append(views, TaskView{Record: rec, Waiting: waiting[rec.Spec.ID]})
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Spec.ID < views[j].Spec.ID })
	writeJSON(w, http.StatusOK, views)
}

// CancelRequest is the body of POST /v1/tasks/cancel.
type CancelRequest struct {
	Customer string   `json:"customer"`
	IDs      []string `json:"ids"`
}

func (e *Entry) cancelTasks(w http.ResponseWriter, r *http.Request) {
	var q CancelRequest
	if err := readJSON(w, r, &q); err != nil {
		writeError(w, err)
		return
	}
	found := make(map[string]wire.TaskResult, len(q.IDs))
	shards := e.manager.Shards()
	if len(shards) == 0 {
		writeError(w, errkind.New(errkind.NotReady, "no shard is known"))
		return
	}
	for _, id := range shards {
		m, err := e.callShard(r.Context(), id, &wire.Cancel{Shard: id, Customer: q.Customer, IDs: q.IDs})
		if err != nil {
			writeError(w, err)
			return
		}
		reply, ok := m.(*wire.SubmitReply)
		if !ok {
			continue
		}
		for _, t := range reply.Results {
			if prev, seen := found[t.ID]; !seen || prev.Kind == errkind.NotFound {
				found[t.ID] = t
			}
		}
	}
	results := make([]wire.TaskResult, 0, len(q.IDs))
	for _, id := range q.IDs {
		results = append(results, found[id])
	}
	writeJSON(w, http.StatusOK, results)
}

func (e *Entry) upstreams() []wire.Upstream {
	list := e.table.Upstreams()
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

func (e *Entry) drainUpstream(w http.ResponseWriter, r *http.Request) {
	vm := r.PathValue("vm")
	for _, u := range e.upstreams() {
		if u.VM != vm {
			continue
		}
		conn, err := e.pool.get(r.Context(), u.DataAddr)
		if err == nil {
			_, err = conn.peer.Call(r.Context(), &wire.Drain{VM: vm, Undo: r.URL.Query().Get("undo") == "true"})
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, u)
		return
	}
	writeError(w, errkind.New(errkind.NotFound, "upstream %s", vm))
}

var _ shard.Caller = (*wire.Peer)(nil)
