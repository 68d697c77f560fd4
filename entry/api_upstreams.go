package entry

import (
	"net/http"
	"sort"

	"github.com/chicorystand/chicorystand/errkind"
	"github.com/chicorystand/chicorystand/wire"
)

func (e *Entry) upstreams() []wire.Upstream {
	list := e.table.Upstreams()
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

func (e *Entry) listUpstreams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.upstreams())
}

// drainUpstream begins or, with undo=true, ends a drain. Repeating it has no further effect.
func (e *Entry) drainUpstream(w http.ResponseWriter, r *http.Request) {
	vm := r.PathValue("vm")
	undo := r.URL.Query().Get("undo")
	if undo != "" && undo != "true" && undo != "false" {
		writeError(w, errkind.New(errkind.InvalidArgument, "undo is true or false; nothing was done"))
		return
	}
	for _, u := range e.upstreams() {
		if u.VM != vm {
			continue
		}
		conn, err := e.pool.get(r.Context(), u.DataAddr)
		if err == nil {
			_, err = conn.peer.Call(r.Context(), &wire.Drain{VM: vm, Undo: undo == "true"})
		}
		if err != nil {
			writeError(w, err)
			return
		}
		u.Draining = undo != "true"
		writeJSON(w, http.StatusOK, u)
		return
	}
	writeError(w, errkind.New(errkind.NotFound, "upstream %s; nothing was done", vm))
}
