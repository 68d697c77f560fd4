package errkind

import "encoding/json"

// MarshalJSON encodes the kind as its stable identifier.
func (k Kind) MarshalJSON() ([]byte, error) { return json.Marshal(k.String()) }

// UnmarshalJSON decodes a stable identifier; an unknown one becomes Internal.
func (k *Kind) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return Wrap(InvalidArgument, err, "error kind")
	}
	*k = Parse(name)
	return nil
}
