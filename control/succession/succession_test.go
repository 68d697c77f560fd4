package succession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	large = Capability{CPU: 800, MemoryMB: 536, LinkMbps: 200}
	small = Capability{CPU: 192, MemoryMB: 184, LinkMbps: 10}
	calm  = Situation{Calm: true}
)

func connected(name string, c Capability) Entry {
	return Entry{Name: name, Capability: c, Connected: minConnected}
}

// Guards against delays in deployments whose entries are alike, and against a small entry that takes over before a large one.
func TestTakeoverDelay(t *testing.T) {
	for name, c := range map[string]struct {
		self, strongest Capability
		want            time.Duration
	}{
		"alike, fast link":         {self: Capability{CPU: 100, MemoryMB: 90, LinkMbps: 1000}},
		"alike, slow link":         {self: small, want: minDelay},
		"nothing known":            {},
		"large beside small":       {self: large, strongest: large},
		"small beside large":       {self: small, strongest: large, want: 570 * time.Millisecond},
		"unknown beside large":     {strongest: large},
		"slightly less":            {self: Capability{CPU: 500, MemoryMB: 400, LinkMbps: 150}, strongest: large},
		"half of one resource":     {self: Capability{CPU: 400, MemoryMB: 536, LinkMbps: 200}, strongest: large, want: minDelay},
		"more memory, slower link": {self: Capability{CPU: 800, MemoryMB: 9000, LinkMbps: 60}, strongest: large},
	} {
		assert.Equal(t, TakeoverDelay(c.self, c.strongest).Round(time.Millisecond), c.want, name)
	}
}

// Guards against a hand-over to an entry that cannot serve or is no better, at a bad moment, or too soon after another one.
func TestShouldHandOver(t *testing.T) {
	restarted, silent := connected("large", large), connected("large", large)
	restarted.Connected, silent.Silent = minConnected-1, maxSilence+1
	better := Capability{CPU: 4000, MemoryMB: 8000, LinkMbps: 1000}
	for name, c := range map[string]struct {
		self   Capability
		others []Entry
		state  Situation
		want   string
	}{
		"large entry":                {self: small, others: []Entry{connected("small", small), connected("large", large)}, state: calm, want: "large"},
		"best of several":            {self: small, others: []Entry{connected("large", large), connected("better", better)}, state: calm, want: "better"},
		"all small":                  {self: small, others: []Entry{connected("small", small)}, state: calm},
		"back to a small one":        {self: large, others: []Entry{connected("small", small)}, state: calm},
		"row without capability":     {self: small, others: []Entry{connected("old", Capability{})}, state: calm},
		"own capability unknown":     {others: []Entry{connected("large", large)}, state: calm},
		"restarted a moment ago":     {self: small, others: []Entry{restarted}, state: calm},
		"silent":                     {self: small, others: []Entry{silent}, state: calm},
		"not calm":                   {self: small, others: []Entry{connected("large", large)}},
		"another hand-over":          {self: small, others: []Entry{connected("large", large)}, state: Situation{Calm: true, RecentHandOver: true}},
		"ownership has come back":    {self: small, others: []Entry{connected("large", large)}, state: Situation{Calm: true, SinceOwnHandOver: HandOverInterval}},
		"ownership came back before": {self: small, others: []Entry{connected("large", large)}, state: Situation{Calm: true, SinceOwnHandOver: returnInterval}, want: "large"},
	} {
		e, ok := ShouldHandOver(c.self, c.others, c.state)
		assert.Equal(t, ok, c.want != "", name)
		if ok {
			assert.Equal(t, e.Name, c.want, name)
		}
	}
}

// Guards against hand-overs that lead in a circle, and against a delay of the most capable entry.
func TestHandOversNeverLeadBack(t *testing.T) {
	value := rapid.Custom(func(t *rapid.T) Capability {
		n := rapid.Int64Range(0, 9)
		return Capability{CPU: n.Draw(t, "cpu"), MemoryMB: n.Draw(t, "memory"), LinkMbps: float64(n.Draw(t, "link"))}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := value.Draw(t, "a"), value.Draw(t, "b"), value.Draw(t, "c")
		assert.Assert(t, !a.Exceeds(a))
		if a.Exceeds(b) && b.Exceeds(c) {
			assert.Assert(t, a.Exceeds(c))
		}
		if best, ok := Strongest([]Capability{a, b, c}); ok {
			assert.Equal(t, TakeoverDelay(best, best), time.Duration(0))
			assert.Assert(t, !a.Exceeds(best) && !b.Exceeds(best) && !c.Exceeds(best))
		}
	})
}
