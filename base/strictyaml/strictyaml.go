// Package strictyaml decodes YAML into structs. Unknown fields, duplicate keys and
// wrong types are errors that name line and field.
package strictyaml

import (
	"bytes"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Decode decodes the YAML document in data into the struct that into points to. An
// empty document leaves it unchanged. All errors have the kind errkind.InvalidArgument
// and name the file.
func Decode(file string, data []byte, into any) (err error) {
	defer func() {
		// The decoder panics on some malformed documents, for example an unknown tag
		// in place of a list.
		if r := recover(); r != nil {
			err = errkind.New(errkind.InvalidArgument, "%s: malformed YAML: %v", file, r)
		}
	}()
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField()).Decode(into)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return errkind.New(errkind.InvalidArgument, "%s:%s", file, yaml.FormatError(err, false, false))
}
