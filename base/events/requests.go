package events

import "github.com/rs/zerolog"

// Events of requests: 200 to 299.
var (
	RequestRefused = defineHot(200, "request_refused", zerolog.InfoLevel, "A request was rejected and did not run. The field kind names the reason; see docs/errors.md.")
	RequestUnknown = defineHot(201, "request_unknown", zerolog.WarnLevel, "It is not known whether a request ran. The upstream's VM or its agent failed during the request.")
	RequestFailed  = defineHot(202, "request_failed", zerolog.WarnLevel, "A request ran and failed at the upstream.")
)
