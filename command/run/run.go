// Package run executes a root command with signal handling and the exit codes of errkind.
package run

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/errkind"
)

// Main runs the command until it ends or a SIGINT or SIGTERM arrives, and exits
// with the code of the error kind.
func Main(root *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	code := errkind.Of(err).Answer().ExitCode
	if errkind.Of(err) == errkind.Internal {
		code = 1
	}
	os.Exit(code)
}
