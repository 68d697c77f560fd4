package events

import "github.com/rs/zerolog"

// Events of processes and security: 500 to 599.
var (
	ProcessStarted    = define(500, "process_started", zerolog.InfoLevel, "The process serves its addresses.")
	ProcessStopping   = define(501, "process_stopping", zerolog.InfoLevel, "A graceful stop begins.")
	ProcessStopped    = define(502, "process_stopped", zerolog.InfoLevel, "The process has stopped.")
	StopTimedOut      = define(503, "stop_timed_out", zerolog.WarnLevel, "The graceful stop took longer than stop_timeout. Work that was in progress is cut off.")
	SettingsInvalid   = define(510, "settings_invalid", zerolog.ErrorLevel, "The settings are not valid. Each problem names file, line, field and the allowed range.")
	AddressInUse      = define(511, "address_unavailable", zerolog.ErrorLevel, "A listen address is in use or does not exist on this machine.")
	PlatformMissing   = define(512, "platform_unreachable", zerolog.WarnLevel, "The platform does not answer at the start. The process keeps trying and stays unready.")
	Reloaded          = define(520, "reloaded", zerolog.InfoLevel, "Certificates and the log level were read again.")
	ReloadFailed      = define(521, "reload_failed", zerolog.ErrorLevel, "Certificates or settings could not be read again. The previous ones stay in use.")
	ConnectionRefused = defineHot(530, "connection_refused", zerolog.WarnLevel, "A connection was refused. The field reason names the cause.")
	AccessDenied      = defineHot(531, "access_denied", zerolog.WarnLevel, "A caller lacks the right for an operation.")
)
