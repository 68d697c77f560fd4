package task

import (
	"encoding/json"

	"github.com/chicorystand/chicorystand/base/errkind"
)

var classNames = [...]string{Batch: "batch", LatencyCritical: "latency_critical"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class of the name, or errkind.InvalidArgument.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, errkind.New(errkind.InvalidArgument, "class %q is not one of batch, latency_critical", name)
}

// MarshalJSON encodes the class as its name.
func (c Class) MarshalJSON() ([]byte, error) { return json.Marshal(c.String()) }

// UnmarshalJSON decodes the name of a class.
func (c *Class) UnmarshalJSON(data []byte) error {
	return c.read(func(v any) error { return json.Unmarshal(data, v) })
}

// UnmarshalYAML decodes the name of a class.
func (c *Class) UnmarshalYAML(decode func(any) error) error { return c.read(decode) }

func (c *Class) read(decode func(any) error) error {
	var name string
	if err := decode(&name); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "class")
	}
	parsed, err := ParseClass(name)
	*c = parsed
	return err
}
