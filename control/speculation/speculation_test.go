package speculation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// silentRun is a run on an executor of which nothing has been heard for long enough.
func silentRun() Run { return Run{Begun: true, MaxAttempts: 3, Silence: SilentAfter} }

// slowRun has made 10% of its progress in the time in which similar runs are done.
func slowRun() Run {
	return Run{Begun: true, MaxAttempts: 3, Silence: 400 * ms, Elapsed: 2 * time.Second, Percent: 10, Expected: 2 * time.Second}
}

func idleRoom() Room {
	return Room{Free: true, ReservedShare: 0.5, Silent: 1, Executors: 4, Settled: time.Minute}
}

// Guards against a run that waits for the lease of an executor which does not respond, or for a slow one, and against copies that
// break a promise or take room that other work needs.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		run    Run
		change func(*Run, *Room)
		want   Verdict
	}{
		"silent":                        {silentRun(), func(*Run, *Room) {}, Silent},
		"heard of just before":          {silentRun(), func(r *Run, _ *Room) { r.Silence = SilentAfter - ms }, None},
		"connection ended":              {silentRun(), func(r *Run, _ *Room) { r.Silence, r.Disconnected = 0, DisconnectedAfter }, Silent},
		"connection made again at once": {silentRun(), func(r *Run, _ *Room) { r.Silence, r.Disconnected = 0, DisconnectedAfter-ms }, None},
		"start may be on its way":       {silentRun(), func(r *Run, _ *Room) { r.Begun = false }, None},
		"being stopped, silent":         {silentRun(), func(r *Run, _ *Room) { r.Stopping = true }, Silent},
		"being stopped, slow":           {slowRun(), func(r *Run, _ *Room) { r.Stopping = true }, None},
		"may crash its executor":        {silentRun(), func(r *Run, _ *Room) { r.Suspected = true }, None},
		"one failure left":              {silentRun(), func(r *Run, _ *Room) { r.Failures = 2 }, None},
		"two failures left":             {silentRun(), func(r *Run, _ *Room) { r.Failures = 1 }, Silent},
		"no limit of attempts":          {silentRun(), func(r *Run, _ *Room) { r.Failures, r.MaxAttempts = 9, 0 }, Silent},
		"no executor is free":           {silentRun(), func(_ *Run, m *Room) { m.Free = false }, None},
		"work waits":                    {silentRun(), func(_ *Run, m *Room) { m.WorkWaits = true }, None},
		"slow, pool is nearly full":     {slowRun(), func(_ *Run, m *Room) { m.ReservedShare = maxReservedShare + 0.01 }, None},
		"silent, pool is nearly full":   {silentRun(), func(_ *Run, m *Room) { m.ReservedShare = maxReservedShare + 0.01 }, Silent},
		"owner is cut off":              {silentRun(), func(_ *Run, m *Room) { m.Silent = 3 }, None},
		"one of two is silent":          {silentRun(), func(_ *Run, m *Room) { m.Executors = 2 }, Silent},
		"owner was suspended":           {silentRun(), func(_ *Run, m *Room) { m.Settled = SettleTime - ms }, None},
		"slow":                          {slowRun(), func(*Run, *Room) {}, Slow},
		"slow while others are silent":  {slowRun(), func(_ *Run, m *Room) { m.Silent = 4 }, Slow},
		"its executor is slow":          {slowRun(), func(r *Run, _ *Room) { r.Elapsed, r.Slowdown = 0, 2.5 }, Slow},
		"pace is not known":             {slowRun(), func(r *Run, _ *Room) { r.Elapsed = 0 }, None},
		"nothing to compare with":       {slowRun(), func(r *Run, _ *Room) { r.Expected = 0 }, None},
		"has only just begun":           {slowRun(), func(r *Run, _ *Room) { r.Elapsed, r.Percent, r.Expected = minElapsed-ms, 0, 100*ms }, None},
		"a little slow":                 {slowRun(), func(r *Run, _ *Room) { r.Percent = 60 }, None},
		"slow but nearly done":          {slowRun(), func(r *Run, _ *Room) { r.Elapsed, r.Percent = 5*time.Second, 80 }, None},
		"its checkpoint helps the copy": {slowRun(), func(r *Run, _ *Room) { r.Elapsed, r.Percent, r.CopyPercent = 8*time.Second, 80, 79 }, Slow},
	} {
		run, room := c.run, idleRoom()
		c.change(&run, &room)
		assert.Equal(t, Decide(run, room), c.want, name)
	}
}
