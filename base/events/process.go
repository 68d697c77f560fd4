package events

import (
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Events of processes and security: 500 to 599.
var (
	ProcessStarted      = define(500, "process_started", zerolog.InfoLevel, "The process is listening on its addresses.")
	ProcessStopping     = define(501, "process_stopping", zerolog.InfoLevel, "The graceful stop has begun.")
	ProcessStopped      = define(502, "process_stopped", zerolog.InfoLevel, "The process has stopped.")
	StopTimedOut        = define(503, "stop_timed_out", zerolog.WarnLevel, "The graceful stop took longer than stop_timeout. Work in progress was aborted.")
	SettingsInvalid     = define(510, "settings_invalid", zerolog.ErrorLevel, "The settings are invalid. Each problem names file, line, field and the allowed range.")
	AddressUnavailable  = define(511, "address_unavailable", zerolog.ErrorLevel, "A listen address is in use or does not exist on this machine.")
	PlatformUnreachable = define(512, "platform_unreachable", zerolog.WarnLevel, "The platform does not respond at startup. The process keeps retrying and is not ready.")
	ListenFailed        = define(513, "listen_failed", zerolog.ErrorLevel, "A listener could not be opened, for another reason than its address, for example too many open files.")
	ServeFailed         = define(514, "serve_failed", zerolog.ErrorLevel, "A server stopped accepting connections because of an error.")
	Reloaded            = define(520, "reloaded", zerolog.InfoLevel, "Certificates and the log level were reloaded.")
	SettingsChanged     = define(522, "settings_changed", zerolog.WarnLevel, "The settings file differs from the settings in use. They take effect at the next start of the process. fields names them.")
	SettingsChecked     = define(523, "settings_checked", zerolog.InfoLevel, "The settings file was read again and equals the settings in use.")
	ReloadFailed        = define(521, "reload_failed", zerolog.ErrorLevel, "Certificates or settings could not be reloaded. The previous ones stay in use.")
	ConnectionRefused   = defineHot(530, "connection_refused", zerolog.WarnLevel, "A connection was refused. The field reason names the cause.")
	BodyRefused         = defineHot(532, "body_refused", zerolog.WarnLevel, "The body of a request was refused since there is no memory for it. The client got 503 and nothing was stored. The field remote names the client, missing the bytes to come.")
	ConnectionEvicted   = defineHot(533, "connection_evicted", zerolog.WarnLevel, "A connection of a requester was closed, or its body refused with 503, to stay within the memory and descriptors of the VM. The field reason names the cause: evicted, slow, connections or header.")
	AccessDenied        = defineHot(531, "access_denied", zerolog.WarnLevel, "A caller is not authorized for an operation.")
)

// ListenError returns the event for a listener that could not be opened.
func ListenError(err error) Event {
	if errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		return AddressUnavailable
	}
	return ListenFailed
}
