package wire

import (
	"encoding/binary"
	"reflect"
	"slices"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// alignFields returns the body of a message of another version with the number of fields that this one knows,
// since the decoder rejects any other. Fields that the sender does not know are zero, and those that only the
// sender knows follow the array, where the decoder ignores them.
func alignFields(body []byte, msg Message) []byte {
	sent, fields, ok := arrayHeader(body)
	known := reflect.TypeOf(msg).Elem().NumField()
	if !ok || sent == known {
		return body
	}
	aligned := binary.BigEndian.AppendUint16([]byte{msgpcode.Array16}, uint16(known))
	aligned = append(aligned, fields...)
	if sent < known {
		aligned = append(aligned, slices.Repeat([]byte{msgpcode.Nil}, known-sent)...)
	}
	return aligned
}

// arrayHeader returns the length of an array of a message's size and the bytes after its header.
func arrayHeader(b []byte) (length int, rest []byte, ok bool) {
	const array16Header = 3
	switch {
	case len(b) > 0 && msgpcode.IsFixedArray(b[0]):
		return int(b[0] & msgpcode.FixedArrayMask), b[1:], true
	case len(b) >= array16Header && b[0] == msgpcode.Array16:
		return int(binary.BigEndian.Uint16(b[1:])), b[array16Header:], true
	}
	return 0, nil, false
}
