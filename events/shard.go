package events

import "github.com/rs/zerolog"

// Events of shard ownership, the store and configuration: 300 to 399.
var (
	ShardAcquired = define(300, "shard_acquired", zerolog.InfoLevel, "This entry now owns the shard.")
)
