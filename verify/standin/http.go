package standin

import (
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/state/store/httpstore"
)

// Handler serves a table and an object store over HTTP for httpstore clients.
func Handler(table store.Table, objects store.Objects) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpstore.PathGet, func(w http.ResponseWriter, r *http.Request) {
		var q httpstore.GetRequest
		if !decode(w, r, &q) {
			return
		}
		rows, err := table.Get(r.Context(), q.Keys...)
		respond(w, rows, err)
	})
	mux.HandleFunc("POST "+httpstore.PathScan, func(w http.ResponseWriter, r *http.Request) {
		var q httpstore.ScanRequest
		if !decode(w, r, &q) {
			return
		}
		rows, err := table.Scan(r.Context(), q.Prefix, q.After, q.Limit)
		respond(w, rows, err)
	})
	mux.HandleFunc("POST "+httpstore.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var txn store.Txn
		if !decode(w, r, &txn) {
			return
		}
		versions, err := table.Commit(r.Context(), txn)
		if errkind.Of(err) == errkind.StoreAmbiguous {
			// The client sees a lost response: the connection is closed without one.
			panic(http.ErrAbortHandler)
		}
		respond(w, versions, err)
	})
	mux.HandleFunc("PUT "+httpstore.PathObjects+"{key...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpstore.MaxObject))
		if err == nil {
			err = objects.Put(r.Context(), r.PathValue("key"), data)
		}
		respond(w, nil, err)
	})
	mux.HandleFunc("GET "+httpstore.PathObjects+"{key...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := objects.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			respond(w, nil, err)
			return
		}
		_, _ = w.Write(data)
	})
	mux.HandleFunc("DELETE "+httpstore.PathObjects+"{key...}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, nil, objects.Delete(r.Context(), r.PathValue("key")))
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpstore.MaxObject))
	if err == nil {
		err = msgpack.Unmarshal(data, into)
	}
	if err != nil {
		respond(w, nil, errkind.Wrap(errkind.InvalidArgument, err, "request body"))
		return false
	}
	return true
}

func respond(w http.ResponseWriter, body any, err error) {
	if err != nil {
		kind := errkind.Of(err)
		w.Header().Set(httpstore.HeaderKind, kind.String())
		http.Error(w, err.Error(), kind.Attributes().HTTPStatus)
		return
	}
	data, err := msgpack.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
