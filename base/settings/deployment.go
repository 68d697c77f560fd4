package settings

import "time"

// Deployment holds the settings of the processes on the users' platform that the platform's own settings file lacks. They
// are read from the environment.
type Deployment struct {
	PoolPlan struct {
		Enabled bool `koanf:"enabled" default:"true" doc:"Gather latency-critical tasks by image, and move best-effort runs with checkpoints off VMs where a task is over its target."`
	} `koanf:"pool_plan"`
	Overload struct {
		Enabled bool `koanf:"enabled" default:"true" doc:"Reject submissions that cannot be completed while they are still useful."`
		// FairShares is off by default: on the known deployments its effect has not been measured.
		FairShares bool `koanf:"fair_shares" default:"false" doc:"Divide the capacity equally among the queues of one priority while more work waits than there is room for."`
	} `koanf:"overload"`
	PlaceWait struct {
		Enabled bool `koanf:"enabled" default:"true" doc:"Let tasks wait for their preferred rack as long as that is expected to pay."`
	} `koanf:"place_wait"`
	Succession struct {
		Enabled bool `koanf:"enabled" default:"true" doc:"Prefer VMs with more processor, memory and bandwidth as the owner of the work."`
	} `koanf:"succession"`
	EarlyForward struct {
		Enabled bool `koanf:"enabled" default:"true" doc:"Send a write of an entry through the owner too as soon as the store is late with its answer."`
	} `koanf:"early_forward"`
	Requests Requests `koanf:"requests"`
}

// Requests limits the memory and the connections that requests take before they are stored.
type Requests struct {
	Enabled                 bool          `koanf:"enabled" default:"true" doc:"Limit the memory and the connections that requests take before they are stored, where the platform's settings name the VM's memory or descriptors."`
	BodyMemoryPercent       int           `koanf:"body_memory_percent" default:"10" min:"1" max:"50" doc:"Part of the VM's memory for request bodies that are being read, in percent."`
	ConnectionMemoryPercent int           `koanf:"connection_memory_percent" default:"30" min:"1" max:"60" doc:"Part of the VM's memory for connections, in percent. The number of connections follows from it and from the VM's descriptors."`
	SmallBody               Bytes         `koanf:"small_body" default:"16KiB" min:"1KiB" max:"1MiB" doc:"Size up to which a body counts as small."`
	SmallBodyPercent        int           `koanf:"small_body_percent" default:"25" min:"0" max:"90" doc:"Part of the memory for bodies that only small ones get, in percent."`
	ReceiveBuffer           Bytes         `koanf:"receive_buffer" default:"16KiB" min:"4KiB" max:"4MiB" doc:"Size of the receive buffer and of the send buffer of a connection."`
	MaxHeaderBytes          Bytes         `koanf:"max_header_bytes" default:"64KiB" min:"4KiB" max:"1MiB" doc:"Size of the largest request header. A larger one gets status 431."`
	BodyStall               time.Duration `koanf:"body_stall" default:"30s" min:"1s" max:"10m" doc:"Longest time without a byte of a body."`
	BodyGrace               time.Duration `koanf:"body_grace" default:"1m" min:"1s" max:"10m" doc:"Time for a body of any size. Each byte that has come extends it."`
	BodyRate                Bytes         `koanf:"body_rate" default:"1KiB" min:"1B" max:"1MiB" doc:"Bytes that extend the time for a body by a second."`
	ScarceBodyStall         time.Duration `koanf:"scarce_body_stall" default:"3s" min:"100ms" max:"10m" doc:"The same as body_stall while more than half of the memory for bodies or of the connections is in use."`
	ScarceBodyGrace         time.Duration `koanf:"scarce_body_grace" default:"10s" min:"100ms" max:"10m" doc:"The same as body_grace while more than half is in use."`
	ScarceBodyRate          Bytes         `koanf:"scarce_body_rate" default:"8KiB" min:"1B" max:"1MiB" doc:"The same as body_rate while more than half is in use."`
}
