package chicorydev

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/verify/standin"
)

func newPlatform() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Serve an in-memory stand-in for the platform's table service and object store",
		Example: "  chicory-dev platform --listen 127.0.0.1:7300",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errkind.Wrap(errkind.Conflict, err, "--listen")
			}
			s := &http.Server{ReadHeaderTimeout: 5 * time.Second,
				Handler: standin.Handler(standin.NewTable(standin.DefaultWritesPerSecond, standin.DefaultReadsPerSecond), standin.NewObjects())}
			stopped := make(chan struct{})
			go func() { <-cmd.Context().Done(); _ = s.Close(); close(stopped) }()
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "platform  http://%s\n", l.Addr())
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return errkind.Wrap(errkind.Internal, err, "serve")
			}
			<-stopped
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "address")
	return cmd
}
