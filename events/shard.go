package events

import "github.com/rs/zerolog"

// Events of shard ownership, the store and configuration: 300 to 399.
var (
	ShardAcquired    = define(300, "shard_acquired", zerolog.InfoLevel, "This entry now owns the shard.")
	ConfigApplied    = define(301, "config_applied", zerolog.InfoLevel, "An operator's change of plans or limits was accepted.")
	ConfigRefused    = define(302, "config_refused", zerolog.WarnLevel, "An operator's change was not accepted. Nothing was changed.")
	StoreUnreachable = define(303, "store_unreachable", zerolog.WarnLevel, "The platform's table service does not answer. Running work continues; submissions and changes are refused until it answers.")
	StoreReachable   = define(304, "store_reachable", zerolog.InfoLevel, "The platform's table service answers again.")
)
