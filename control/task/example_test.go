package task_test

import (
	"fmt"

	"github.com/chicorystand/chicorystand/control/task"
)

func ExampleNext() {
	state, err := task.Next(task.Pending, task.EventAssign)
	fmt.Println(state, err)
	_, err = task.Next(task.Succeeded, task.EventCancel)
	fmt.Println(err != nil)
	// Output:
	// assigned <nil>
	// true
}
