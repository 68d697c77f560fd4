package main

// cases holds the cases by name, as the scripts run them.
var cases = []reviewCase{
	{"schedule", 1, runSchedule},
	{"owner", 2, runOwner},
	{"gang", 1, runGang},
	{"watcher", 1, runWatcher},
	{"orders", 1, runOrders},
	{"ends", 1, runEnds},
	{"drain", 1, runDrain},
	{"starve", 1, runStarve},
}
