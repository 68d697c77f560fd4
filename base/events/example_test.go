package events_test

import (
	"os"

	"github.com/rs/zerolog"

	"github.com/chicorystand/chicorystand/base/events"
)

func ExampleEvent_Log() {
	events.ShardAcquired.Log(zerolog.New(os.Stdout)).Str("shard", "z-0").Send()
	// Output: {"level":"info","event":300,"name":"shard_acquired","shard":"z-0"}
}
