// Package settings reads the settings of the daemons from a YAML file, environment
// variables and command-line flags; later layers override earlier ones. The struct
// tags of each daemon's settings define defaults, allowed ranges and documentation.
package settings

import (
	"time"
)

// EnvPrefix is the prefix of all environment variables. It is followed by the
// field's key in upper case, with "_" between sections and "__" for a "_" in a name.
const EnvPrefix = "CHICORY_"

// Bytes is a size in bytes. It is written with a unit: 512KiB, 4MiB, 2GiB.
type Bytes int64

// Log configures logging.
type Log struct {
	Level  string        `koanf:"level" default:"info" oneof:"debug,info,warn,error" doc:"Lowest level that is written. Reloaded on SIGHUP."`
	Sample time.Duration `koanf:"sample" default:"1s" min:"0s" max:"1m" doc:"Interval in which at most ten lines of a hot event are written; 0s disables sampling."`
}

// Security configures TLS. The file names may be empty only if Plaintext is set.
type Security struct {
	Plaintext bool   `koanf:"plaintext" default:"false" doc:"Serve and dial without TLS. Allowed only when every address is on loopback."`
	Cert      string `koanf:"cert" kind:"file" doc:"PEM file with the process's certificate chain. Reloaded on SIGHUP."`
	Key       string `koanf:"key" kind:"file" doc:"PEM file with the private key."`
	CA        string `koanf:"ca" kind:"file" doc:"PEM file with the certificate authority that signs the certificates of all peers."`
}

// Entry holds the settings of chicory-entry.
type Entry struct {
	ID       string `koanf:"id" required:"true" kind:"name" doc:"Unique name of the entry."`
	Zone     string `koanf:"zone" required:"true" kind:"name" doc:"Availability zone of the entry."`
	Platform string `koanf:"platform" required:"true" kind:"url" doc:"Address of the platform's table service and object store."`
	Listen   struct {
		Control   string `koanf:"control" default:"127.0.0.1:7400" kind:"addr" doc:"Address for agents and other entries."`
		API       string `koanf:"api" default:"127.0.0.1:7401" kind:"addr" doc:"Address for callers and for the operators' API."`
		Operators string `koanf:"operators" default:"127.0.0.1:7402" kind:"addr" doc:"Address for metrics, profiles and the status page."`
	} `koanf:"listen"`
	ShardsPerZone int           `koanf:"shards_per_zone" default:"1" min:"1" max:"64" doc:"Number of shards in each availability zone; must be the same for all entries."`
	Objective     Objective     `koanf:"objective"`
	StopTimeout   time.Duration `koanf:"stop_timeout" default:"35s" min:"1s" max:"10m" doc:"Time limit of the graceful stop after SIGTERM."`
	Connections   int           `koanf:"connections" default:"4096" min:"16" max:"100000" doc:"Maximum number of open connections on each address."`
	MemoryLimit   Bytes         `koanf:"memory_limit" default:"512MiB" min:"64MiB" max:"64GiB" doc:"Soft memory limit of the Go runtime."`
	Log           Log           `koanf:"log"`
	Security      Security      `koanf:"security"`
}

// Objective weights the goals that scheduling decisions trade off against each other.
type Objective struct {
	TailWeight float64 `koanf:"tail_weight" default:"0.5" min:"0" max:"1" doc:"Weight of the services' tail latency (1) against batch throughput and evictions (0); must be the same for all entries and agents."`
}

// Agent holds the settings of chicory-agent.
type Agent struct {
	VM      string `koanf:"vm" required:"true" kind:"name" doc:"Name of the VM."`
	Zone    string `koanf:"zone" required:"true" kind:"name" doc:"Availability zone of the VM."`
	Rack    string `koanf:"rack" required:"true" kind:"name" doc:"Rack of the VM."`
	Entries string `koanf:"entries" required:"true" kind:"addr" doc:"Address of the load balancer in front of the entries' control addresses."`
	Listen  struct {
		Data      string `koanf:"data" default:"127.0.0.1:7500" kind:"addr" doc:"Address for requests from entries."`
		Operators string `koanf:"operators" default:"127.0.0.1:7502" kind:"addr" doc:"Address for health, metrics and profiles."`
	} `koanf:"listen"`
	Upstream struct {
		Service      string        `koanf:"service" kind:"name" doc:"Name of the upstream's service; empty when the VM runs tasks only."`
		URL          string        `koanf:"url" kind:"url" doc:"Address of the upstream; if empty and worker is standin, the agent serves a stand-in upstream."`
		Slots        int           `koanf:"slots" default:"8" min:"1" max:"4096" doc:"Number of requests that the upstream runs concurrently."`
		Connections  int           `koanf:"connections" default:"64" min:"1" max:"65535" doc:"Connections to the upstream."`
		Latency      time.Duration `koanf:"latency_target" default:"0s" min:"0s" max:"30s" doc:"Target p99 latency of the service on this VM; 0s disables the interference guard."`
		CPUMilli     int64         `koanf:"cpu_milli" default:"1000" min:"0" max:"1024000" doc:"Processors reserved for the upstream, in thousandths."`
		Memory       Bytes         `koanf:"memory" default:"1GiB" min:"0B" max:"16TiB" doc:"Memory reserved for the upstream."`
		Accelerators int64         `koanf:"accelerators" default:"0" min:"0" max:"64" doc:"Accelerators reserved for the upstream."`
	} `koanf:"upstream"`
	Worker   string `koanf:"worker" default:"standin" oneof:"standin" doc:"Worker that runs the tasks. standin simulates tasks; it is the only value, as the platform's worker API is not published."`
	Platform string `koanf:"platform" required:"true" kind:"url" doc:"Address of the platform's object store, used by the stand-in worker for checkpoints."`
	Capacity struct {
		CPUMilli     int64 `koanf:"cpu_milli" default:"8000" min:"100" max:"1024000" doc:"Processors of the VM, in thousandths."`
		Memory       Bytes `koanf:"memory" default:"16GiB" min:"64MiB" max:"16TiB" doc:"Memory of the VM."`
		Accelerators int64 `koanf:"accelerators" default:"0" min:"0" max:"64" doc:"Accelerators of the VM."`
	} `koanf:"capacity"`
	Objective   Objective     `koanf:"objective"`
	Checkpoint  time.Duration `koanf:"checkpoint" default:"30s" min:"0s" max:"24h" doc:"Time between periodic checkpoints of batch tasks; 0s disables them."`
	StopTimeout time.Duration `koanf:"stop_timeout" default:"35s" min:"1s" max:"10m" doc:"Time limit of the graceful stop after SIGTERM."`
	Connections int           `koanf:"connections" default:"1024" min:"16" max:"100000" doc:"Maximum number of open connections on each address."`
	MemoryLimit Bytes         `koanf:"memory_limit" default:"128MiB" min:"32MiB" max:"64GiB" doc:"Soft memory limit of the Go runtime."`
	Log         Log           `koanf:"log"`
	Security    Security      `koanf:"security"`
}
