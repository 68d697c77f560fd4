package store_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/state/store"
	"github.com/chicorystand/chicorystand/verify/standin"
)

func put(key string, version uint64, value string) store.Txn {
	return store.Txn{Conds: []store.Cond{{Key: key, Version: version}}, Writes: []store.Write{{Key: key, Value: []byte(value)}}}
}

// Guards against a wrong outcome or row version after a lost reply, a delayed commit
// or an outage that begins while the outcome is being resolved, and against a delayed
// commit that takes effect after it was reported as failed.
func TestWriterResolvesLostAnswers(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		wait   time.Duration
		kind   errkind.Kind
		// either also allows success, since the commit and the fencing write arrive at the same instant.
		either bool
	}{
		"reply lost":                            {standin.Faults{LoseResponses: 1}, 0, errkind.None, false},
		"reply and fencing write lost":          {standin.Faults{DelayCommits: 1, CommitDelay: time.Minute, LoseResponses: 1}, 2 * time.Minute, errkind.StoreUnavailable, false},
		"commit delayed past the fencing write": {standin.Faults{DelayCommits: 1, CommitDelay: time.Minute}, 2 * time.Minute, errkind.StoreUnavailable, false},
		"commit and fencing write delayed":      {standin.Faults{DelayCommits: 2, CommitDelay: 50 * time.Millisecond}, time.Second, errkind.StoreUnavailable, true},
		"down":                                  {standin.Faults{Down: true}, 0, errkind.StoreUnavailable, false},
		"slow":                                  {standin.Faults{Latency: 3 * time.Second}, 0, errkind.None, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := standin.NewTable(1000, 1000)
				w := store.NewWriter(table, "w")
				_, err := w.Commit(t.Context(), put("other", 0, "x"))
				assert.NilError(t, err)
				table.SetFaults(c.faults)
				versions, err := w.Commit(t.Context(), put("k", 0, "a"))
				assert.Assert(t, errkind.Of(err) == c.kind || c.either && err == nil, "%v", err)
				time.Sleep(c.wait)
				table.SetFaults(standin.Faults{})
				rows, readErr := table.Get(t.Context(), "k")
				assert.NilError(t, readErr)
				assert.Equal(t, len(rows) == 1, err == nil, "the reported outcome and the table differ")
				if err == nil {
					assert.Equal(t, versions[0], rows[0].Version)
				}
				_, err = w.Commit(t.Context(), put("other", 1, "y"))
				assert.NilError(t, err)
			})
		})
	}
}

// Guards against a conflict reported for a valid transaction that follows one whose
// outcome was still unknown when its context ended.
func TestWriterContinuesAfterAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable(1000, 1000)
		link := standin.NewLink(table)
		w := store.NewWriter(link, "w")
		_, err := w.Commit(t.Context(), put("k", 0, "a"))
		assert.NilError(t, err)
		link.LoseCommitResponse(1)
		go func() { time.Sleep(500 * time.Microsecond); link.SetDisconnected(true) }()
		table.SetFaults(standin.Faults{Latency: time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = w.Commit(ctx, put("k", 1, "b"))
		assert.Equal(t, errkind.Of(err), errkind.StoreAmbiguous)
		link.SetDisconnected(false)
		_, err = w.Commit(t.Context(), put("k", 2, "c"))
		assert.NilError(t, err)
	})
}

type registerInput struct {
	write bool
	// expect and value belong to a conditional write.
	expect uint64
	value  uint64
}

type registerOutput struct {
	value uint64
	ok    bool
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
		switch {
		case !in.write:
			return out.value == s, s
		case out.ok:
			return s == in.expect, in.value
		}
		// A failed write has no effect; it may have failed on any condition or because of an outage.
		return true, s
	},
}

// Guards against histories of the table client that are not linearizable for a register
// when replies are lost and commits are delayed. A conditional write is reported as
// failed or applied; both reports must be true.
func TestWriterLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLinearizable(t, seed) })
		})
	}
}

func checkLinearizable(t *testing.T, seed uint64) {
	table := standin.NewTable(1e6, 1e6)
	start := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, in registerInput, call time.Duration, out registerOutput) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(start))})
	}
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(seed, uint64(c)))
			w := store.NewWriter(table, fmt.Sprint(c))
			for i := range 25 {
				time.Sleep(time.Duration(1+r.IntN(40)) * time.Millisecond)
				call := time.Since(start)
				rows, err := table.Get(t.Context(), "r")
				if err != nil {
					continue
				}
				var value, version uint64
				if len(rows) == 1 {
					value, version = binary.BigEndian.Uint64(rows[0].Value), rows[0].Version
				}
				record(c, registerInput{}, call, registerOutput{value: value})
				time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
				next := uint64(c+1)*1000 + uint64(i)
				call = time.Since(start)
				_, err = w.Commit(t.Context(), put("r", version, string(binary.BigEndian.AppendUint64(nil, next))))
				record(c, registerInput{true, value, next}, call, registerOutput{ok: err == nil})
			}
		}()
	}
	r := rand.New(rand.NewPCG(seed, 99))
	for range 40 {
		time.Sleep(30 * time.Millisecond)
		table.SetFaults(standin.Faults{LoseResponses: r.IntN(3), DelayCommits: r.IntN(2), CommitDelay: time.Duration(r.IntN(200)) * time.Millisecond,
			Latency: time.Duration(r.IntN(5)) * time.Millisecond, Down: r.IntN(6) == 0})
	}
	table.SetFaults(standin.Faults{})
	wg.Wait()
	assert.Assert(t, porcupine.CheckOperations(registerModel, ops))
}
