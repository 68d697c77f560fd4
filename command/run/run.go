// Package run executes a root command with signal handling and maps error kinds to exit codes.
package run

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// reportedError is an error that a command has already printed or logged.
type reportedError struct{ error }

// Unwrap returns the wrapped error.
func (r reportedError) Unwrap() error { return r.error }

// Reported marks err as already printed or logged, so that Main only sets the exit code.
func Reported(err error) error { return reportedError{err} }

// ExitCode returns the exit code of err. Errors without a kind, such as usage errors, count as
// errkind.InvalidArgument.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	var e *errkind.Error
	if !errors.As(err, &e) {
		return errkind.InvalidArgument.Attributes().ExitCode
	}
	if e.Kind == errkind.Internal {
		return 1
	}
	return e.Kind.Attributes().ExitCode
}

// Main runs the command, cancels its context on SIGINT or SIGTERM, and exits with the exit code of
// its error.
func Main(root *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	var shown reportedError
	if !errors.As(err, &shown) {
		_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	}
	os.Exit(ExitCode(err))
}
