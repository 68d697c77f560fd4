package errkind_test

import (
	"fmt"

	"github.com/chicorystand/chicorystand/base/errkind"
)

func ExampleOf() {
	err := fmt.Errorf("send: %w", errkind.New(errkind.SlotsFull, "vm-01"))
	a := errkind.Of(err).Attributes()
	fmt.Println(a.Name, a.HTTPStatus, a.Execution)
	// Output: slots_full 503 not_run
}
