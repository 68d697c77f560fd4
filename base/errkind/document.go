package errkind

import (
	"fmt"
	"io"
)

// meanings describes each kind to callers and operators, with the action to take.
var meanings = [numKinds]string{
	InvalidArgument:    "The input is malformed or outside the allowed range. Correct it.",
	NotFound:           "The named task, upstream, VM or operation does not exist.",
	AlreadyExists:      "A task with this id exists with another specification. Choose another id.",
	Conflict:           "The object has changed since it was read, or its state does not allow the operation. Read it again.",
	Unauthenticated:    "No valid client certificate was presented.",
	PermissionDenied:   "The caller's role or plan does not allow the operation.",
	QuotaExceeded:      "The customer's running tasks use the whole quota of its plan.",
	RateLimited:        "The customer sends more requests per second than its plan allows.",
	ConcurrencyLimited: "The customer has more requests in progress than its plan allows.",
	QueueFull:          "The queue is full. Reduce the load, or add capacity.",
	DeadlineExceeded:   "The deadline passed before the work started.",
	NoUpstream:         "No upstream of the service accepts requests. Start one.",
	SlotsFull:          "Every slot of the upstream is in use.",
	Draining:           "The upstream or entry is draining and accepts no new work.",
	WrongIncarnation:   "The agent restarted after the request was addressed to it.",
	Tombstoned:         "The request was abandoned and is fenced by a tombstone; it will never run.",
	ConfigStale:        "The current configuration cannot be confirmed. Check that the table service responds.",
	NotReady:           "The process or the owner of a shard is starting, stopping or not connected.",
	NotOwner:           "Another entry owns the shard now.",
	StaleEpoch:         "The sender's shard lease has been taken over.",
	StaleAttempt:       "A newer attempt of the task exists.",
	StoreUnavailable:   "The platform's table service does not respond. Nothing was written.",
	StoreAmbiguous:     "The table service's reply was lost. Retry the operation; it takes effect once.",
	Infeasible:         "The task can never run: it exceeds the capacity of every VM or the limits of its plan.",
	CapacityExceeded:   "The VM, or the pool of a queue, has too little free capacity at present.",
	TooLarge:           "The body, header or list exceeds its size limit.",
	UpstreamFailed:     "The work ran and failed.",
	OutcomeUnknown:     "The work may or may not have run. Retry it only if it is idempotent.",
	Cancelled:          "The work was cancelled, or the command was interrupted.",
	Internal:           "Internal error. Report it together with the log lines.",
}

// WriteDocument writes the list of error kinds as Markdown.
func WriteDocument(w io.Writer) error {
	if _, err := fmt.Fprint(w, "# Errors\n\nGenerated from package `errkind` by `go run ./cmd/chicory-dev docs`. Do not edit.\n\n"+
		"Every error of the API, the command line and the metrics has one of these kinds. The API sends the kind in\n"+
		"`X-Error-Kind` and in the JSON body, and the execution in `X-Execution`: `not_run` guarantees that the work did not run,\n"+
		"`unknown` means that it may have run, `run` that it ran. Exit code 1 of a command is `internal`.\n\n"+
		"| Kind | HTTP status | Exit code | Execution | Retryable | Meaning |\n| --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, k := range All() {
		a := k.Attributes()
		if _, err := fmt.Fprintf(w, "| `%s` | %d | %d | %s | %t | %s |\n", a.Name, a.HTTPStatus, a.ExitCode, a.Execution, a.Retryable, meanings[k]); err != nil {
			return err
		}
	}
	return nil
}
