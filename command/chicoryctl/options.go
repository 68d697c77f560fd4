package chicoryctl

import (
	"crypto/tls"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/strictyaml"
	"github.com/chicorystand/chicorystand/state/identity"
)

const (
	envPrefix     = "CHICORYCTL_"
	defaultServer = "http://127.0.0.1:7401"
)

// connection holds the server's address and the client's TLS files. It is also the config file's format.
type connection struct {
	Server string `yaml:"server"`
	Cert   string `yaml:"cert"`
	Key    string `yaml:"key"`
	CA     string `yaml:"ca"`
}

// options holds the global flags.
type options struct {
	flags   connection
	config  string
	output  string
	timeout time.Duration
}

func (o *options) addFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringVar(&o.flags.Server, "server", "", "address of an entry's API (default "+defaultServer+")")
	f.StringVar(&o.flags.Cert, "cert", "", "PEM file with the client certificate")
	f.StringVar(&o.flags.Key, "key", "", "PEM file with the client's private key")
	f.StringVar(&o.flags.CA, "ca", "", "PEM file with the CA certificate that the server's certificate is verified against")
	f.StringVar(&o.config, "config", "", "config file with server, cert, key and ca")
	f.StringVarP(&o.output, "output", "o", outputTable, "output format: table, json or yaml")
	f.DurationVar(&o.timeout, "timeout", 30*time.Second, "timeout of one request to the server")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON, outputYAML}, cobra.ShellCompDirectiveNoFileComp))
}

// resolve merges the config file, the environment and the flags; later sources take precedence.
func (o *options) resolve() (connection, error) {
	c, err := o.readConfig()
	if err != nil {
		return c, err
	}
	for _, f := range []struct {
		dst  *string
		env  string
		flag string
	}{{&c.Server, "SERVER", o.flags.Server}, {&c.Cert, "CERT", o.flags.Cert}, {&c.Key, "KEY", o.flags.Key}, {&c.CA, "CA", o.flags.CA}} {
		if v := os.Getenv(envPrefix + f.env); v != "" {
			*f.dst = v
		}
		if f.flag != "" {
			*f.dst = f.flag
		}
	}
	if c.Server == "" {
		c.Server = defaultServer
	}
	return c, nil
}

func (o *options) readConfig() (connection, error) {
	var c connection
	file, explicit := o.config, o.config != ""
	if !explicit {
		file, explicit = os.Getenv(envPrefix+"CONFIG"), os.Getenv(envPrefix+"CONFIG") != ""
	}
	if !explicit {
		dir, err := os.UserConfigDir()
		if err != nil {
			return c, nil
		}
		file = filepath.Join(dir, "chicoryctl.yaml")
	}
	data, err := os.ReadFile(file)
	if os.IsNotExist(err) && !explicit {
		return c, nil
	}
	if err != nil {
		return c, errkind.Wrap(errkind.InvalidArgument, err, "config file")
	}
	if err := strictyaml.Decode(file, data, &c); err != nil {
		return c, err
	}
	return c, nil
}

// client returns a client of the configured server.
func (o *options) client() (*client, error) {
	if o.output != outputTable && o.output != outputJSON && o.output != outputYAML {
		return nil, errkind.New(errkind.InvalidArgument, "--output %q is not one of table, json, yaml", o.output)
	}
	c, err := o.resolve()
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if c.Cert != "" || c.Key != "" || c.CA != "" {
		src, err := identity.Load(identity.Files{Cert: c.Cert, Key: c.Key, CA: c.CA})
		if err != nil {
			return nil, err
		}
		config = src.ClientConfig(identity.Entry)
	}
	return &client{base: c.Server, http: &http.Client{Timeout: o.timeout, Transport: &http.Transport{TLSClientConfig: config}}}, nil
}
