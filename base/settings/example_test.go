package settings_test

import (
	"fmt"

	"github.com/chicorystand/chicorystand/base/settings"
)

func ExampleLoad() {
	var s settings.Entry
	err := settings.Load(&s, "../../deploy/entry.yaml", nil)
	fmt.Println(err, s.ID, s.Listen.API, s.StopTimeout)
	// Output: <nil> entry-0 127.0.0.1:7401 35s
}
