package httpstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/state/store/httpstore"
	"github.com/chicorystand/chicorystand/verify/standin"
)

// Guards against a response that does not come from the table service, but for example
// from a proxy, being taken as proof that a commit had no effect.
func TestAnswersWithoutKind(t *testing.T) {
	cases := map[string]struct {
		answer       http.HandlerFunc
		commit, read errkind.Kind
	}{
		"status without kind":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, errkind.StoreAmbiguous, errkind.StoreUnavailable},
		"unknown kind":         {kindAnswer("surprise"), errkind.StoreAmbiguous, errkind.StoreUnavailable},
		"kind none":            {kindAnswer("none"), errkind.StoreAmbiguous, errkind.StoreUnavailable},
		"conflict":             {kindAnswer("conflict"), errkind.Conflict, errkind.Conflict},
		"undecodable response": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }, errkind.StoreAmbiguous, errkind.StoreUnavailable},
		"closed connection":    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, errkind.StoreAmbiguous, errkind.StoreUnavailable},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, errkind.StoreAmbiguous, errkind.StoreUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.answer)
			defer s.Close()
			client := httpstore.New(s.URL, nil)
			_, err := client.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "k"}}})
			assert.Equal(t, errkind.Of(err), c.commit, "%v", err)
			_, err = client.Get(t.Context(), "k")
			assert.Equal(t, errkind.Of(err), c.read, "%v", err)
		})
	}
}

func kindAnswer(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(httpstore.HeaderKind, kind)
		w.WriteHeader(http.StatusConflict)
	}
}

// Guards against a lost HTTP reply after which the writer does not determine the outcome.
func TestWriterOverHTTP(t *testing.T) {
	table := standin.NewTable(1000, 1000)
	s := httptest.NewServer(standin.Handler(table, standin.NewObjects()))
	defer s.Close()
	w := store.NewWriter(httpstore.New(s.URL, nil), "w")
	table.SetFaults(standin.Faults{LoseResponses: 1})
	versions, err := w.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: "k", Value: []byte("v")}}})
	assert.NilError(t, err)
	assert.Equal(t, versions[0], uint64(1))
}
