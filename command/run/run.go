// Package run executes a root command with signal handling and the exit codes of errkind.
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

// reported is an error that a command has already shown.
type reported struct{ error }

// Unwrap returns the error.
func (r reported) Unwrap() error { return r.error }

// Reported marks err as shown, so that Main only sets the exit code.
func Reported(err error) error { return reported{err} }

// Code returns the exit code of err. Errors of the command line itself, which
// have no kind, count as errkind.InvalidArgument.
func Code(err error) int {
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

// Main runs the command until it ends or a SIGINT or SIGTERM arrives, and exits
// with the code of the error kind.
func Main(root *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	var shown reported
	if !errors.As(err, &shown) {
		_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	}
	os.Exit(Code(err))
}
