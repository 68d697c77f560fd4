package plan_test

import (
	"fmt"

	"github.com/chicorystand/chicorystand/control/plan"
)

func ExampleDiff() {
	before, err := plan.Parse("before", []byte("limits: [{plan: desk, priority: 9}]\nplans: [{customer: kiosk, plan: desk}]"))
	if err != nil {
		fmt.Println(err)
	}
	after := before.Clone()
	after.Plans = append(after.Plans, plan.CustomerPlan{Customer: "hotel", Plan: "desk"})
	fmt.Println(after.Validate(), plan.Diff(before, after))
	// Output: <nil> [+ customer hotel: plan desk]
}
