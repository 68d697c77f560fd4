package plan_test

import (
	"testing"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
)

// Guards against documents that crash the parser or are accepted although they are invalid.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "plans: [{customer: a, plan: p}]\nlimits: [{plan: p, priority: 5}]\n", "plans: 5\n", "limits: [{plan: p}, {plan: p}]\n",
		"limits: [{plan: p, requests_per_second: .nan}]\n", "limits: [{plan: p, cpu_milli: -1}]\n", "generation: -1\n", "a: &a [*a]\n", "limits: [{plan: p, share_weight: .inf}]\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := plan.Parse("fuzz.yaml", []byte(text))
		if err != nil && errkind.Of(err) != errkind.InvalidArgument {
			t.Fatalf("%q: kind %s: %v", text, errkind.Of(err), err)
		}
		if err != nil {
			return
		}
		if err := doc.Validate(); err != nil {
			t.Fatalf("%q is accepted although it is invalid: %v", text, err)
		}
		for _, l := range doc.Limits {
			if !(l.RequestsPerSecond >= 0) || !(l.ShareWeight >= 0) {
				t.Fatalf("%q is accepted with a negative or NaN amount", text)
			}
		}
	})
}
