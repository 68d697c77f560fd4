package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
)

// eventWait bounds how long a long poll waits for the next log line.
const eventWait = 20 * time.Second

// getEvents returns the log lines after the sequence number "after". With wait=true it
// blocks until there is at least one or eventWait has passed.
func (e *Entry) getEvents(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, errkind.New(errkind.InvalidArgument, "after must be a sequence number"))
			return
		}
		after = n
	}
	if e.cfg.Events == nil {
		writeJSON(w, http.StatusOK, []events.Line{})
		return
	}
	if r.URL.Query().Get("wait") != "true" {
		writeJSON(w, http.StatusOK, e.cfg.Events.After(after))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), eventWait)
	defer cancel()
	writeJSON(w, http.StatusOK, e.cfg.Events.Wait(ctx, after))
}
