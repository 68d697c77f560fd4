package settings

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
}
