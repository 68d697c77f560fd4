package chicorydev

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/identity"
)

// localCertificateValidity is the validity period of certificates for local development.
const localCertificateValidity = 30 * 24 * time.Hour

func newCertificates() *cobra.Command {
	var dir, zone string
	cmd := &cobra.Command{
		Use:   "certificates",
		Short: "Write a CA certificate and certificates for local development with TLS, valid for 30 days",
		Long: "Write ca.pem and, for entry-0, vm-00, an administrator, an operator, a reader and the customer belfry-kiosk,\n" +
			"NAME.pem and NAME.key. The key of the CA is not stored. Use your own CA in production.",
		Example: "  chicory-dev certificates --dir certs",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ca, err := identity.NewAuthority("chicorystand trial")
			if err != nil {
				return err
			}
			files := map[string][]byte{"ca.pem": ca.PEM}
			for _, id := range []identity.Identity{
				{Role: identity.Entry, Name: "entry-0", Zone: zone}, {Role: identity.Agent, Name: "vm-00", Zone: zone},
				{Role: identity.Administrator, Name: "administrator"}, {Role: identity.Operator, Name: "operator"},
				{Role: identity.Reader, Name: "reader"}, {Role: identity.Customer, Name: "belfry-kiosk"},
			} {
				cert, key, err := ca.Issue(id, time.Now().Add(localCertificateValidity))
				if err != nil {
					return err
				}
				files[id.Name+".pem"], files[id.Name+".key"] = cert, key
			}
			return writeFiles(dir, files)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "certs", "directory")
	cmd.Flags().StringVar(&zone, "zone", "jawa-sm", "availability zone of the processes")
	return cmd
}

func writeFiles(dir string, files map[string][]byte) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "--dir")
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return errkind.Wrap(errkind.InvalidArgument, err, "--dir")
		}
	}
	return nil
}
