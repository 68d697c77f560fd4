package events

import "github.com/rs/zerolog"

// Events of agents: 400 to 499.
var (
	ControlLost      = defineHot(400, "control_lost", zerolog.WarnLevel, "The agent's connection to its shard owner ended. The agent reconnects; batch tasks are suspended if the grant expires first.")
	UpstreamDraining = define(401, "upstream_draining", zerolog.InfoLevel, "The upstream receives no new requests; requests in progress finish.")
	UpstreamLeft     = define(402, "upstream_left", zerolog.InfoLevel, "The draining upstream has no more requests in progress.")
)
