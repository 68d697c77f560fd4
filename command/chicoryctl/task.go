package chicoryctl

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/ingress/entry"
	"github.com/chicorystand/chicorystand/wire"
)

func newTask(o *options) *cobra.Command {
	return newCommandGroup("task", "Batch and latency-critical tasks", newTaskSubmit(o), newTaskList(o), newTaskDescribe(o), newTaskCancel(o), newTaskWait(o))
}

// selector filters tasks by customer, job class and state.
type selector struct{ customer, jobClass, state string }

func (s *selector) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&s.customer, "customer", "", "only tasks of this customer")
	cmd.Flags().StringVar(&s.jobClass, "job-class", "", "only tasks of this job class")
	cmd.Flags().StringVar(&s.state, "state", "", "only tasks in this state")
	states := []string{"pending", "assigned", "running", "suspended", "parked", "succeeded", "failed", "cancelled", "rejected"}
	_ = cmd.RegisterFlagCompletionFunc("state", cobra.FixedCompletions(states, cobra.ShellCompDirectiveNoFileComp))
}

func (s selector) empty() bool { return s == selector{} }

// tasks lists up to limit tasks, page by page.
func (c *client) tasks(ctx context.Context, s selector, ids []string, limit int) ([]entry.TaskView, error) {
	var out []entry.TaskView
	q := url.Values{"customer": {s.customer}, "job_class": {s.jobClass}, "state": {s.state}, "id": ids}
	for len(out) < limit {
		n := min(limit-len(out), entry.MaxList)
		q.Set("limit", strconv.Itoa(n))
		var page []entry.TaskView
		if err := c.call(ctx, http.MethodGet, "/v1/tasks?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		out = append(out, page...)
		if len(page) < n || len(ids) > 0 {
			break
		}
		q.Set("after", page[len(page)-1].Spec.ID)
	}
	return out, nil
}

// task returns one task. The error is errkind.NotFound if there is none with the id.
func (c *client) task(ctx context.Context, id string) (entry.TaskView, error) {
	list, err := c.tasks(ctx, selector{}, []string{id}, 1)
	if err == nil && len(list) == 0 {
		err = errkind.New(errkind.NotFound, "task %s", id)
	}
	if err != nil {
		return entry.TaskView{}, err
	}
	return list[0], nil
}

func taskRows(list []entry.TaskView) func(table) {
	return func(t table) {
		t.row("ID", "CUSTOMER", "JOB CLASS", "STATE", "VM", "ATTEMPT", "EVICTIONS", "REASON")
		for _, v := range list {
			t.row(v.Spec.ID, v.Spec.Customer, v.Spec.JobClass, v.State, v.VM, v.Attempt, v.Evictions, reason(v))
		}
	}
}

// reason returns why a task is waiting or has ended.
func reason(v entry.TaskView) string {
	if v.Waiting != "" && v.Waiting != errkind.None.String() {
		return "waits: " + v.Waiting
	}
	if v.Reason == errkind.None {
		return ""
	}
	return v.Reason.String()
}

// resultError returns an error of the first failed result's kind, or nil if none failed.
func resultError(results []wire.TaskResult, done string) error {
	ok, kind, detail := 0, errkind.None, ""
	for _, r := range results {
		if r.Kind == errkind.None {
			ok++
		} else if kind == errkind.None {
			kind, detail = r.Kind, r.ID+": "+r.Detail
		}
	}
	if kind == errkind.None {
		return nil
	}
	return errkind.New(kind, "%d of %d tasks were %s; first failure: %s", ok, len(results), done, detail)
}

func resultRows(results []wire.TaskResult, done string) func(table) {
	return func(t table) {
		t.row("ID", "RESULT", "DETAIL")
		for _, r := range results {
			result := done
			if r.Kind != errkind.None {
				result = r.Kind.String()
			}
			t.row(r.ID, result, r.Detail)
		}
	}
}

func age(unixMilli int64) string {
	return time.Since(time.UnixMilli(unixMilli)).Truncate(time.Second).String()
}
