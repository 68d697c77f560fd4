package entry

import (
	"context"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/state/identity"
	"github.com/chicorystand/chicorystand/wire"
)

// Bounds of the task API.
const (
	// MaxSubmit is the largest number of tasks in one submission.
	MaxSubmit = 1000
	// MaxCancel is the largest number of tasks that one cancellation lists or selects.
	MaxCancel = 10_000
	// MaxList is the largest number of tasks in one page of the task listing.
	MaxList = 1000
	// shardPageSize bounds the records in one frame between entries, and the ids in one Cancel message.
	shardPageSize = 500
)

// shardOfTask returns the shard that queues a task: one of the shards of the requested zone, or of
// all zones that are not under evacuation, chosen by the hash of the task id. A submission that is
// repeated after a change of the zones may reach another shard, which finds that the task exists.
func (e *Entry) shardOfTask(s task.Spec) (string, error) {
	all := e.manager.Shards()
	sort.Strings(all)
	var eligible []string
	evacuated := e.config().EvacuatedZones
	for _, id := range all {
		switch {
		case s.Zone != "" && zoneOfShard(id) != s.Zone:
		case s.Zone == "" && slices.Contains(evacuated, zoneOfShard(id)):
		default:
			eligible = append(eligible, id)
		}
	}
	if len(eligible) == 0 && s.Zone == "" {
		eligible = all // The task waits until a zone is restored.
	}
	if len(eligible) == 0 {
		return "", errkind.New(errkind.NotReady, "no shard serves zone %q", s.Zone)
	}
	return eligible[xxhash.Sum64String(s.ID)%uint64(len(eligible))], nil
}

// zoneOfShard returns the zone of a shard's VMs. Shards are named by zone and number.
func zoneOfShard(id string) string {
	if i := strings.LastIndexByte(id, '-'); i >= 0 {
		return id[:i]
	}
	return id
}

// ownerPollInterval is the interval between attempts to reach the owner of a shard during a takeover.
const ownerPollInterval = 50 * time.Millisecond

// callShard sends a message to the owner of a shard, which may be this entry. While the
// shard has no known owner, as during a takeover, it retries; this is safe because
// errkind.NotReady and errkind.NotOwner prove that the message was not processed.
func (e *Entry) callShard(ctx context.Context, id string, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, shardCallTimeout)
	defer cancel()
	for {
		r, err := e.callOwner(ctx, id, m)
		if k := errkind.Of(err); k != errkind.NotReady && k != errkind.NotOwner {
			return r, err
		}
		e.manager.Suspect(id)
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(ownerPollInterval):
		}
	}
}

func (e *Entry) callOwner(ctx context.Context, id string, m wire.Message) (wire.Message, error) {
	if _, ok := e.manager.Owner(id); ok {
		return e.callLocal(ctx, id, m)
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

func (e *Entry) callLocal(ctx context.Context, id string, m wire.Message) (wire.Message, error) {
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

// idPattern matches valid ids of tasks, customers, job classes and zones.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func validateSpec(s task.Spec) error {
	r := s.Declared
	switch {
	case !idPattern.MatchString(s.ID):
		return errkind.New(errkind.InvalidArgument, "id: 1 to 128 letters, digits, '.', '_', ':' or '-'")
	case !idPattern.MatchString(s.Customer):
		return errkind.New(errkind.InvalidArgument, "customer: 1 to 128 letters, digits, '.', '_', ':' or '-'")
	case !idPattern.MatchString(s.JobClass):
		return errkind.New(errkind.InvalidArgument, "job_class: 1 to 128 letters, digits, '.', '_', ':' or '-'")
	case s.Zone != "" && !idPattern.MatchString(s.Zone):
		return errkind.New(errkind.InvalidArgument, "zone: 1 to 128 letters, digits, '.', '_', ':' or '-'")
	case r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 || r == task.Resources{}:
		return errkind.New(errkind.InvalidArgument, "resources: amounts must not be negative, and one must be positive")
	case s.Duration < 0 || s.Deadline < 0:
		return errkind.New(errkind.InvalidArgument, "duration and deadline must not be negative")
	}
	return nil
}

// admitSpec checks a specification against the caller's identity and the plans.
func (e *Entry) admitSpec(caller identity.Identity, s task.Spec) error {
	if err := validateSpec(s); err != nil {
		return err
	}
	if caller.Role == identity.Customer && s.Customer != caller.Name {
		return errkind.New(errkind.PermissionDenied, "customer %q may not submit for %q", caller.Name, s.Customer)
	}
	doc := e.config()
	if _, ok := doc.LimitOf(s.Customer); !ok && doc.Generation > 0 {
		return errkind.New(errkind.PermissionDenied, "customer %q has no plan", s.Customer)
	}
	return nil
}

func (e *Entry) submitTasks(w http.ResponseWriter, r *http.Request) {
	var specs []task.Spec
	if err := readJSON(w, r, &specs); err != nil {
		writeError(w, err)
		return
	}
	if len(specs) > MaxSubmit {
		writeError(w, errkind.New(errkind.TooLarge, "%d tasks, at most %d in one submission", len(specs), MaxSubmit))
		return
	}
	results := make(map[string]wire.TaskResult, len(specs))
	byShard := make(map[string][]task.Spec)
	for _, s := range specs {
		id, err := "", e.admitSpec(callerOf(r), s)
		if err == nil {
			id, err = e.shardOfTask(s)
		}
		if err != nil {
			results[s.ID] = failedResult(s.ID, err)
			e.metrics.CountRefusal(err)
			continue
		}
		byShard[id] = append(byShard[id], s)
	}
	for id, group := range byShard {
		for len(group) > 0 {
			n := min(len(group), shardPageSize)
			m, err := e.callShard(r.Context(), id, &wire.Submit{Shard: id, Specs: group[:n]})
			recordSubmitResults(results, m, err, group[:n])
			group = group[n:]
		}
	}
	ordered := make([]wire.TaskResult, 0, len(specs))
	for _, s := range specs {
		ordered = append(ordered, results[s.ID])
	}
	writeJSON(w, http.StatusOK, ordered)
}

func failedResult(id string, err error) wire.TaskResult {
	return wire.TaskResult{ID: id, Kind: errkind.Of(err), Detail: err.Error()}
}

func recordSubmitResults(results map[string]wire.TaskResult, m wire.Message, err error, group []task.Spec) {
	if err != nil {
		for _, s := range group {
			results[s.ID] = failedResult(s.ID, err)
		}
		return
	}
	if reply, ok := m.(*wire.SubmitReply); ok {
		for _, t := range reply.Results {
			results[t.ID] = t
		}
	}
}

// TaskView is a task record with the reason why the task is pending.
type TaskView struct {
	task.Record
	Waiting string `json:"waiting,omitempty"`
}

// lookup returns up to limit tasks of all shards in id order. It sets the query's Shard and Limit.
func (e *Entry) lookup(ctx context.Context, q wire.Lookup, limit int) ([]TaskView, error) {
	views := []TaskView{}
	for _, id := range e.manager.Shards() {
		page := q
		page.Shard, page.Limit = id, shardPageSize
		for n := 0; n < limit; {
			m, err := e.callShard(ctx, id, &page)
			if err != nil {
				return nil, err
			}
			reply, ok := m.(*wire.LookupReply)
			if !ok || len(reply.Records) == 0 {
				break
			}
			views = appendViews(views, reply)
			n += len(reply.Records)
			page.After = reply.Records[len(reply.Records)-1].Spec.ID
			if len(reply.Records) < shardPageSize {
				break
			}
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Spec.ID < views[j].Spec.ID })
	return views[:min(len(views), limit)], nil
}

func appendViews(views []TaskView, reply *wire.LookupReply) []TaskView {
	waiting := make(map[string]string, len(reply.Waiting))
	for _, t := range reply.Waiting {
		waiting[t.ID] = t.Kind.String()
	}
	for _, rec := range reply.Records {
		views = append(views, TaskView{Record: rec, Waiting: waiting[rec.Spec.ID]})
	}
	return views
}

var validStates = map[string]bool{"": true, task.Pending: true, task.Assigned: true, task.Running: true, task.Suspended: true, task.Parked: true,
	task.Succeeded: true, task.Failed: true, task.Cancelled: true, task.Rejected: true}

func (e *Entry) listTasks(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	q := wire.Lookup{IDs: v["id"], JobClass: v.Get("job_class"), State: v.Get("state"), After: v.Get("after")}
	var err error
	if q.Customer, err = customerScope(r, v.Get("customer")); err != nil {
		writeError(w, err)
		return
	}
	limit := MaxList
	if text := v.Get("limit"); text != "" {
		limit, err = strconv.Atoi(text)
	}
	if err != nil || limit < 1 || limit > MaxList || !validStates[q.State] || len(q.IDs) > MaxList {
		writeError(w, errkind.New(errkind.InvalidArgument, "limit must be 1 to %d, ids at most %d, and state empty or a task state", MaxList, MaxList))
		return
	}
	views, err := e.lookup(r.Context(), q, limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, views)
}

// CancelRequest is the body of POST /v1/tasks/cancel. Either IDs lists the tasks, or the
// other fields select tasks that are not in a terminal state.
type CancelRequest struct {
	Customer string   `json:"customer"`
	IDs      []string `json:"ids"`
	JobClass string   `json:"job_class,omitempty"`
	State    string   `json:"state,omitempty"`
}

func (q CancelRequest) validate() error {
	switch {
	case len(q.IDs) > MaxCancel:
		return errkind.New(errkind.TooLarge, "%d ids, at most %d; nothing was cancelled", len(q.IDs), MaxCancel)
	case !validStates[q.State]:
		return errkind.New(errkind.InvalidArgument, "unknown state %q; nothing was cancelled", q.State)
	case len(q.IDs) == 0 && q.Customer == "" && q.JobClass == "" && q.State == "":
		return errkind.New(errkind.InvalidArgument, "ids or a selector are required; nothing was cancelled")
	}
	return nil
}

func (e *Entry) cancelTasks(w http.ResponseWriter, r *http.Request) {
	var q CancelRequest
	err := readJSON(w, r, &q)
	if err == nil {
		q.Customer, err = customerScope(r, q.Customer)
	}
	if err == nil {
		err = q.validate()
	}
	if err == nil && len(q.IDs) == 0 {
		q.IDs, err = e.selectNonTerminal(r.Context(), q)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, e.cancelAll(r.Context(), q))
}

// selectNonTerminal returns the ids of the selected tasks that are not in a terminal state.
func (e *Entry) selectNonTerminal(ctx context.Context, q CancelRequest) ([]string, error) {
	views, err := e.lookup(ctx, wire.Lookup{Customer: q.Customer, JobClass: q.JobClass, State: q.State}, MaxCancel)
	if err != nil {
		return nil, err
	}
	var ids []string
	for _, v := range views {
		if !task.Terminal(v.State) {
			ids = append(ids, v.Spec.ID)
		}
	}
	return ids, nil
}

// cancelAll cancels the listed tasks page by page. When a shard cannot be reached, its
// error is the result of the tasks that no other shard knows.
func (e *Entry) cancelAll(ctx context.Context, q CancelRequest) []wire.TaskResult {
	found := make(map[string]wire.TaskResult, len(q.IDs))
	for _, id := range e.manager.Shards() {
		for from := 0; from < len(q.IDs); from += shardPageSize {
			page := q.IDs[from:min(from+shardPageSize, len(q.IDs))]
			m, err := e.callShard(ctx, id, &wire.Cancel{Shard: id, Customer: q.Customer, IDs: page})
			if reply, ok := m.(*wire.SubmitReply); ok && err == nil {
				mergeCancelResults(found, reply.Results)
				continue
			}
			for _, t := range page {
				if prev, seen := found[t]; !seen || prev.Kind == errkind.NotFound {
					found[t] = failedResult(t, err)
				}
			}
		}
	}
	results := make([]wire.TaskResult, 0, len(q.IDs))
	for _, id := range q.IDs {
		t, ok := found[id]
		if !ok {
			t = failedResult(id, errkind.New(errkind.NotReady, "no shard is known"))
		}
		results = append(results, t)
	}
	return results
}

func mergeCancelResults(found map[string]wire.TaskResult, results []wire.TaskResult) {
	for _, t := range results {
		if prev, seen := found[t.ID]; !seen || prev.Kind == errkind.NotFound || (t.Kind != errkind.NotFound && prev.Kind != errkind.None) {
			found[t.ID] = t
		}
	}
}
