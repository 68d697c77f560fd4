package errkind

import (
	"fmt"
	"io"
)

// meanings tells callers and operators what a kind means and what to do.
var meanings = [numKinds]string{
	InvalidArgument:    "The input is malformed or outside the allowed range. Correct it.",
	NotFound:           "The named task, upstream, VM or operation does not exist.",
	AlreadyExists:      "A task with this id exists with another specification. Choose another id.",
	Conflict:           "The object has changed since it was read, or its state does not allow the operation. Read it again.",
	Unauthenticated:    "No valid client certificate was presented.",
	PermissionDenied:   "The caller's role or plan does not allow the operation.",
	QuotaExceeded:      "The customer's running tasks use all that its plan allows.",
	RateLimited:        "The customer sends more requests per second than its plan allows.",
	ConcurrencyLimited: "The customer has more requests in progress than its plan allows.",
	QueueFull:          "Too much work waits already. Send less, or add capacity.",
	DeadlineExceeded:   "The deadline passed before the work was started.",
	NoUpstream:         "No upstream of the service takes requests. Start one.",
	SlotsFull:          "Every slot of the upstream is in use.",
	Draining:           "The upstream or entry is leaving and takes no new work.",
	WrongIncarnation:   "The agent restarted after the request was addressed to it.",
	Tombstoned:         "The request had been given up and is fenced; it will never run.",
	ConfigStale:        "The configuration in force cannot be confirmed. Check that the table service answers.",
	NotReady:           "The process or the owner of a shard is starting, stopping or not connected.",
	NotOwner:           "Another entry owns the shard now.",
	StaleEpoch:         "The sender's shard lease has been taken over.",
	StaleAttempt:       "A newer attempt of the task exists.",
	StoreUnavailable:   "The platform's table service does not answer. Nothing was written.",
	StoreAmbiguous:     "The answer of the table service was lost. Repeat the operation; it takes effect once.",
	Infeasible:         "The task can never run: it exceeds every VM or its plan.",
	CapacityExceeded:   "The VM has too little free capacity now.",
	TooLarge:           "The body, header or list exceeds its bound.",
	UpstreamFailed:     "The work ran and failed.",
	OutcomeUnknown:     "The work may or may not have run. Repeat it only when it is idempotent.",
	Cancelled:          "The work was cancelled, or the command was interrupted.",
	Internal:           "A fault of the system. Report it with the log lines.",
}

// WriteDocument writes the closed list as Markdown.
func WriteDocument(w io.Writer) error {
	if _, err := fmt.Fprint(w, "# Errors\n\nGenerated from package `errkind` by `go run ./cmd/chicory-dev docs`. Do not edit.\n\n"+
		"Every error of the API, the command line and the metrics has one of these kinds. The API sends the kind in\n"+
		"`X-Error-Kind` and in the JSON body, and the execution in `X-Execution`: `not_run` is proof that the work did not run,\n"+
		"`unknown` that it may have run, `run` that it ran. Exit code 1 of a command is `internal`.\n\n"+
		"| Kind | HTTP status | Exit code | Execution | Retryable | Meaning |\n| --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, k := range All() {
		a := k.Answer()
		if _, err := fmt.Fprintf(w, "| `%s` | %d | %d | %s | %t | %s |\n", a.Name, a.HTTPStatus, a.ExitCode, a.Execution, a.Retryable, meanings[k]); err != nil {
			return err
		}
	}
	return nil
}
