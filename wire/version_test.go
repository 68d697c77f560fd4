package wire

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// A message with a field more or less than the receiver knows used to close the connection, so that an owner and agents of
// two versions could not reach each other and all leases ran out during an upgrade.
func TestMessagesOfOtherVersionsAreDecoded(t *testing.T) {
	decode := func(fields ...any) *Lead {
		t.Helper()
		var b bytes.Buffer
		assert.NilError(t, msgpack.NewEncoder(&b).Encode(fields))
		m, err := decodeBody(frame{typ: TypeLead, body: b.Bytes()})
		assert.NilError(t, err)
		return m.(*Lead)
	}
	assert.DeepEqual(t, decode(uint64(7), "owner"), &Lead{Epoch: 7, Owner: "owner"})
	assert.DeepEqual(t, decode(uint64(7), "owner", int64(3), "added", []string{"later"}), &Lead{Epoch: 7, Owner: "owner", CommitAgeMS: 3})
	many := []any{uint64(7), "owner", int64(3)}
	for range 20 {
		many = append(many, "added")
	}
	assert.DeepEqual(t, decode(many...), &Lead{Epoch: 7, Owner: "owner", CommitAgeMS: 3})
}

// alignFields counts the fields of the Go type, which has to be what the encoder writes.
func TestMessagesAreEncodedWithAllTheirFields(t *testing.T) {
	for number := range 256 {
		msg := newMessage(Type(number))
		if msg == nil {
			continue
		}
		b, err := encodeFrame(flagNotify, 0, msg)
		assert.NilError(t, err)
		sent, _, ok := arrayHeader(b.Bytes()[headerSize:])
		assert.Assert(t, ok, "%T", msg)
		assert.Equal(t, sent, reflect.TypeOf(msg).Elem().NumField(), "%T", msg)
		releaseBuffer(b)
	}
}
