// Package devenv runs a whole deployment in one process over loopback: entries, agents,
// upstreams and stand-ins for the platform.
package devenv

import (
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/strictyaml"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/control/task"
	"github.com/chicorystand/chicorystand/deploy"
)

// Deployment describes an example deployment.
type Deployment struct {
	Name        string        `yaml:"name"`
	Zones       []string      `yaml:"zones"`
	ZoneDelay   time.Duration `yaml:"zone_delay"`
	ClientDelay time.Duration `yaml:"client_delay"`
	Service     Service       `yaml:"service"`
	Workers     Workers       `yaml:"workers"`
	Objective   Objective     `yaml:"objective"`
	Batch       Job           `yaml:"batch"`
	Watcher     Job           `yaml:"watcher"`
	Config      plan.Document `yaml:"config"`
}

// Service describes the latency-critical service of a deployment.
type Service struct {
	Name        string         `yaml:"name"`
	Executors   int            `yaml:"executors"`
	Slots       int            `yaml:"slots"`
	Connections int            `yaml:"connections"`
	ServiceTime time.Duration  `yaml:"service_time"`
	Reserved    task.Resources `yaml:"held"`
	Request     Request        `yaml:"request"`
}

// Request describes the requests that the demo sends.
type Request struct {
	Name       string `yaml:"name"`
	Idempotent bool   `yaml:"idempotent"`
}

// Workers describes the VMs.
type Workers struct {
	Count    int            `yaml:"count"`
	PerRack  int            `yaml:"per_rack"`
	Guards   bool           `yaml:"guards"`
	Capacity task.Resources `yaml:"capacity"`
}

// Objective weighs tail latency (TailWeight 1) against batch throughput and evictions (TailWeight 0).
type Objective struct {
	TailWeight float64 `yaml:"tail_weight"`
}

// Job describes the tasks that the demo submits.
type Job struct {
	JobClass string         `yaml:"job_class"`
	Declared task.Resources `yaml:"declared"`
	Duration time.Duration  `yaml:"duration"`
	Deadline time.Duration  `yaml:"deadline"`
}

// Load returns the example deployment with the given name.
func Load(name string) (Deployment, error) {
	file := name + ".yaml"
	data, err := deploy.Files.ReadFile(file)
	if err != nil {
		return Deployment{}, errkind.New(errkind.NotFound, "no deployment %q", name)
	}
	var d Deployment
	if err := strictyaml.Decode(file, data, &d); err != nil {
		return Deployment{}, err
	}
	return d, d.Config.Validate()
}
