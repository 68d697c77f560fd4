package events

import "github.com/rs/zerolog"

// Events of shard ownership, the store and configuration: 300 to 399.
var (
	ShardAcquired       = define(300, "shard_acquired", zerolog.InfoLevel, "This entry now owns the shard.")
	ShardLost           = define(301, "shard_lost", zerolog.WarnLevel, "Another entry owns the shard now. Frequent losses indicate a slow store or a paused VM.")
	RegistrationRemoved = define(302, "registration_removed", zerolog.WarnLevel, "The entry has not renewed its registration for a minute and was removed. Replace its VM if it does not come back.")
	StoreFailing        = define(303, "store_failing", zerolog.WarnLevel, "Commits fail. Running work continues; submissions are rejected until the store responds.")
	StoreRecovered      = define(304, "store_recovered", zerolog.InfoLevel, "Commits succeed again.")
	ConfigAccepted      = define(305, "config_accepted", zerolog.InfoLevel, "A configuration generation was accepted.")
	ConfigInForce       = define(306, "config_in_force", zerolog.InfoLevel, "A configuration generation is in force in this entry.")
	ConfigApplied       = define(307, "config_applied", zerolog.InfoLevel, "An operator's change of plans or limits was accepted.")
	ZoneChanged         = define(309, "zone_changed", zerolog.WarnLevel, "An operator has evacuated a zone or withdrawn its evacuation. by names the operator.")
	ConfigRefused       = define(308, "config_refused", zerolog.WarnLevel, "An operator's change of plans or limits was rejected. Nothing was changed.")
)
