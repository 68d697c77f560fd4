package wire

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
)

func encoded(t testing.TB, flag byte, corr uint32, msg Message) []byte {
	t.Helper()
	buf, err := encodeFrame(flag, corr, msg)
	assert.NilError(t, err)
	return bytes.Clone(buf.Bytes())
}

// Guards against frames that are decoded wrongly when reads return only part of the
// data and when the body exceeds one read chunk.
func TestFrameRoundTrip(t *testing.T) {
	for name, msg := range map[string]*Request{
		"empty body":                 {ID: RequestID{1, 2}},
		"body of one byte":           {ID: RequestID{1, 3}, Body: []byte("x"), Checksum: 7},
		"body larger than one chunk": {ID: RequestID{1, 4}, Body: bytes.Repeat([]byte("abc"), 300_000)},
	} {
		t.Run(name, func(t *testing.T) {
			data := encoded(t, flagCall, 9, msg)
			f, err := readFrame(iotest.HalfReader(bytes.NewReader(data)))
			assert.NilError(t, err)
			got, err := decodeBody(f)
			assert.NilError(t, err)
			request, ok := got.(*Request)
			assert.Assert(t, ok)
			assert.Equal(t, request.ID, msg.ID)
			assert.Equal(t, request.Checksum, msg.Checksum)
			assert.Assert(t, bytes.Equal(request.Body, msg.Body))
			assert.Equal(t, f.corr, uint32(9))
		})
	}
}

// Guards against accepting a truncated or malformed frame.
func TestMalformedFramesAreRejected(t *testing.T) {
	valid := encoded(t, flagCall, 1, &Request{Body: []byte("body")})
	oversized := bytes.Clone(valid)
	oversized[0] = 0xff
	badFlag := bytes.Clone(valid)
	badFlag[5] = 99
	for name, data := range map[string][]byte{
		"truncated in the header":           valid[:headerSize-1],
		"truncated after the header":        valid[:headerSize],
		"truncated in the body":             valid[:len(valid)-1],
		"length above the limit":            oversized,
		"undefined flag":                    badFlag,
		"length without the announced body": {0, 0x10, 0, 0, 12, 1, 0, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readFrame(bytes.NewReader(data))
			assert.Assert(t, err != nil)
			assert.Assert(t, err != io.EOF, "a truncated frame must not look like a regular close")
		})
	}
}

// Guards against sending an oversized message: the receiver would close the connection
// and fail the other requests on it.
func TestOversizedMessageIsNotSent(t *testing.T) {
	_, err := encodeFrame(flagCall, 1, &Request{Body: make([]byte, MaxBody+1)})
	assert.Equal(t, errkind.Of(err), errkind.TooLarge)
}

// Guards against a short frame that makes the decoder allocate a large array, and
// against rejecting a valid message.
func TestArrayLengthsAreChecked(t *testing.T) {
	_, err := decodeBody(frame{typ: TypeMembers, body: []byte("\x92\x93\xa0\x01\x01\xdd\x00\x0f\xff\xff")})
	assert.Equal(t, errkind.Of(err), errkind.InvalidArgument)
	want := &Announce{VM: "vm", Incarnation: 1 << 40, Tasks: []TaskStatus{{ID: "a", ProgressMS: -5}, {State: string(make([]byte, 300))}}}
	f, err := readFrame(bytes.NewReader(encoded(t, flagCall, 1, want)))
	assert.NilError(t, err)
	got, err := decodeBody(f)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// FuzzReadFrame guards against panics and unbounded allocation on malicious input.
// Seeds are in testdata and below.
func FuzzReadFrame(f *testing.F) {
	f.Add(encoded(f, flagCall, 1, &Request{ID: RequestID{1, 2}, Method: "GET", Path: "/", Body: []byte("b")}))
	f.Add(encoded(f, flagReply, 1, &Response{Status: 200, Body: []byte("b")}))
	f.Add(encoded(f, flagNotify, 0, &Hello{Entry: 1, Conn: 2}))
	f.Add(encoded(f, flagNotify, 0, &Members{Upstreams: []Upstream{{VM: "vm"}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			fr, err := readFrame(r)
			if err != nil {
				return
			}
			msg, err := decodeBody(fr)
			if err != nil {
				continue
			}
			again, err := encodeFrame(fr.flag, fr.corr, msg)
			if errkind.Of(err) == errkind.TooLarge {
				continue
			}
			assert.NilError(t, err)
			_, err = readFrame(bytes.NewReader(again.Bytes()))
			assert.NilError(t, err)
		}
	})
}
