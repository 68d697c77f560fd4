package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chicorystand/chicorystand/control/dispatch"
	"github.com/chicorystand/chicorystand/state/store"
)

const (
	// lateness is the time from a write without an answer until the store carries it out: 1 to 6 s by `fleetbench kinds`.
	lateness = 5500 * time.Millisecond
	// givenUp is the number of submissions whose requester gives up.
	givenUp = 3
	// steadyInterval is the time between two submissions of the other requesters.
	steadyInterval = 150 * time.Millisecond
	// withdrawDelay is the time from an answer to a requester until it tries again or cancels.
	withdrawDelay = 300 * time.Millisecond
)

// lateWrites is the store while it leaves some writes without an answer and carries them out late, if their condition still holds
// then. It counts the writes.
type lateWrites struct {
	next  http.Handler
	rec   *record
	table store.Table

	mu sync.Mutex
	// id is the submission whose row is written late, empty for none.
	id string
	// writes counts all writes since id was set, lost those without an answer.
	writes, lost int
}

// begin makes the store write the row of a submission late, from now to end.
func (l *lateWrites) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.writes, l.lost = id, 0, 0
}

// end makes the store answer all writes again. It returns how many there were, and how many of them had no answer.
func (l *lateWrites) end() (writes, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = ""
	return l.writes, l.lost
}

// ServeHTTP implements http.Handler.
func (l *lateWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		l.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	value, lost := l.lose(body)
	if !lost {
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.next.ServeHTTP(w, r)
		return
	}
	l.mu.Lock()
	key := dispatch.WorkKey(l.id)
	l.mu.Unlock()
	time.AfterFunc(lateness, func() {
		_, err := l.table.Commit(context.Background(), store.Txn{Conds: []store.Cond{{Key: key}}, Writes: []store.Write{{Key: key, Value: value}}})
		l.rec.log("store: the write of %s without an answer is carried out: %v", key, err)
	})
	// The connection delivers nothing further.
	<-r.Context().Done()
}

// lose reports whether a transaction is the write of the chosen submission, and returns the value of that row.
func (l *lateWrites) lose(body []byte) ([]byte, bool) {
	var txn struct {
		Upserts []struct{ Table, Key, Value string } `json:"upserts"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	if l.id == "" || len(txn.Upserts) != 1 || txn.Upserts[0].Table+"/"+txn.Upserts[0].Key != dispatch.WorkKey(l.id) {
		return nil, false
	}
	value, err := base64.StdEncoding.DecodeString(txn.Upserts[0].Value)
	if err != nil {
		return nil, false
	}
	l.lost++
	l.rec.log("store: a write of %s gets no answer", dispatch.WorkKey(l.id))
	return value, true
}

// lateAcceptance hands in submissions whose writes the store carries out late. Their requesters try both entries, have no answer
// but 504, give up and cancel. No task of theirs may start later than cancel_ms after that was acknowledged.
func lateAcceptance(t *trial) ([]string, error) {
	if err := t.startSmall(3); err != nil {
		return nil, err
	}
	if !t.client.ready("00000000000000aa", "") {
		return nil, errNotReady
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { t.steady(stop) })
	defer wg.Wait()
	defer close(stop)
	var breaks []string
	for n := range givenUp {
		id := fmt.Sprintf("00000000000003%02x", n)
		if t.trouble {
			t.late.begin(id)
		}
		const work, cpu = 500 * time.Millisecond, 500
		body := map[string]any{"specification": specification(work, cpu), "steps": []step{{Count: 2, CPU: cpu, MemoryMB: 100, EstimatedMS: work.Milliseconds()}}}
		for _, entry := range []int{1, 0} {
			status, _ := t.client.call(http.MethodPost, t.client.entry(entry), id, body)
			t.rec.log("client: POST %s to entry %d: %d", id, entry+1, status)
			time.Sleep(withdrawDelay)
			if status == http.StatusOK {
				break
			}
		}
		writes, lost := t.late.end()
		t.rec.log("store: of %d writes meanwhile, %d had no answer", writes, lost)
		acked, ok := t.withdraw(id)
		if !ok {
			return nil, fmt.Errorf("the cancelling of %s was not acknowledged", id)
		}
		time.Sleep(lateness + cancelBound)
		breaks = append(breaks, t.rec.startsAfter(id, acked+cancelBound)...)
	}
	return breaks, nil
}

// withdraw cancels a submission, and returns when that was acknowledged, by 200 or by 410.
func (t *trial) withdraw(id string) (time.Duration, bool) {
	for n := range 5 {
		status, b := t.client.call(http.MethodDelete, t.client.entry(n), id, nil)
		t.rec.log("client: DELETE %s at entry %d: %d %s", id, n%len(t.entries)+1, status, strings.TrimSpace(string(b)))
		if status == http.StatusOK || status == http.StatusGone {
			return t.rec.since(), true
		}
		time.Sleep(withdrawDelay)
	}
	return 0, false
}

// steady hands in the submissions of other requesters.
func (t *trial) steady(stop chan struct{}) {
	const work, cpu = 200 * time.Millisecond, 200
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(steadyInterval):
		}
		t.client.submit(fmt.Sprintf("000000000001%04x", n), work, cpu, step{Count: 1, CPU: cpu, MemoryMB: 100, EstimatedMS: work.Milliseconds()})
	}
}
