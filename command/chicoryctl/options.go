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

// connection says how to reach the server. It is the form of the config file.
type connection struct {
	Server string `yaml:"server"`
	Cert   string `yaml:"cert"`
	Key    string `yaml:"key"`
	CA     string `yaml:"ca"`
}

// options are the flags of all verbs.
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
	f.StringVar(&o.flags.CA, "ca", "", "PEM file with the authority of the server's certificate")
	f.StringVar(&o.config, "config", "", "config file with server, cert, key and ca")
	f.StringVarP(&o.output, "output", "o", outputTable, "output form: table, json or yaml")
	f.DurationVar(&o.timeout, "timeout", 30*time.Second, "longest wait for one answer of the server")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON, outputYAML}, cobra.ShellCompDirectiveNoFileComp))
}

// resolve layers the config file, the environment and the flags.
func (o *options) resolve() (connection, error) {
	c, err := o.readConfig()
	if err != nil {
		return c, err
	}
	for _, f := range []struct {
		into *string
		env  string
		flag string
	}{{&c.Server, "SERVER", o.flags.Server}, {&c.Cert, "CERT", o.flags.Cert}, {&c.Key, "KEY", o.flags.Key}, {&c.CA, "CA", o.flags.CA}} {
		if v := os.Getenv(envPrefix + f.env); v != "" {
			*f.into = v
		}
		if f.flag != "" {
			*f.into = f.flag
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
