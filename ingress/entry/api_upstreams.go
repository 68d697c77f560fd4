package entry

import (
	"context"
	"net/http"
	"sort"

	"github.com/chicorystand/chicorystand/base/errkind"
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

// upstreamAgent returns the upstream of a VM and a connection to its agent.
func (e *Entry) upstreamAgent(r *http.Request) (wire.Upstream, *dataConn, error) {
	vm := r.PathValue("vm")
	for _, u := range e.upstreams() {
		if u.VM == vm {
			conn, err := e.pool.get(r.Context(), u.DataAddr)
			return u, conn, err
		}
	}
	return wire.Upstream{}, nil, errkind.New(errkind.NotFound, "upstream %s; nothing was done", vm)
}

// getUpstream returns the current state, queried from the upstream's agent.
func (e *Entry) getUpstream(w http.ResponseWriter, r *http.Request) {
	_, conn, err := e.upstreamAgent(r)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), peerStatusTimeout)
		defer cancel()
		var m wire.Message
		if m, err = conn.peer.Call(ctx, &wire.AgentStatus{}); err == nil {
			writeJSON(w, http.StatusOK, m)
			return
		}
	}
	writeError(w, err)
}

// drainUpstream begins a drain or, with undo=true, cancels it. It is idempotent.
func (e *Entry) drainUpstream(w http.ResponseWriter, r *http.Request) {
	undo := r.URL.Query().Get("undo")
	if undo != "" && undo != "true" && undo != "false" {
		writeError(w, errkind.New(errkind.InvalidArgument, "undo must be true or false; nothing was done"))
		return
	}
	u, conn, err := e.upstreamAgent(r)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
		defer cancel()
		_, err = conn.peer.Call(ctx, &wire.Drain{VM: u.VM, Undo: undo == "true"})
	}
	if err != nil {
		writeError(w, err)
		return
	}
	u.Draining = undo != "true"
	writeJSON(w, http.StatusOK, u)
}
