// Package wire carries typed messages between the system's own processes over
// TCP. A frame is a 10-byte header followed by a MessagePack body:
//
//	bytes 0-3  body length, big endian
//	byte  4    message type
//	byte  5    flags: 0 notification, 1 call, 2 reply, 3 error reply
//	bytes 6-9  correlation id, big endian
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/errkind"
)

// MaxBody is the largest accepted frame body in bytes. It leaves room for a
// 1 MiB request or answer body and its envelope.
const MaxBody = 1<<20 + 64<<10

const headerSize = 10

// Flag values of a frame.
const (
	flagNotify byte = iota
	flagCall
	flagReply
	flagError
)

// Message is a typed message of this package.
type Message interface {
	// Type returns the frame type of the message.
	Type() Type
}

type frame struct {
	typ  Type
	flag byte
	corr uint32
	body []byte
}

func encodeFrame(flag byte, corr uint32, msg Message) ([]byte, error) {
	body, err := encodeBody(msg)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode message type %d", msg.Type())
	}
	if len(body) > MaxBody {
		return nil, errkind.New(errkind.TooLarge, "message body of %d bytes exceeds %d", len(body), MaxBody)
	}
	buf := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(buf[0:4], uint32(len(body)))
	buf[4] = byte(msg.Type())
	buf[5] = flag
	binary.BigEndian.PutUint32(buf[6:10], corr)
	return append(buf, body...), nil
}

// encodeBody encodes structs as arrays, without field names. New fields may only
// be added at the end of a message.
func encodeBody(msg Message) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var buf bytes.Buffer
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(msg)
	return buf.Bytes(), err
}

// readFrame reads one frame. It returns errkind.TooLarge for an oversized length
// before it allocates the body, and io errors unchanged.
func readFrame(r io.Reader) (frame, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(h[0:4])
	if n > MaxBody {
		return frame{}, errkind.New(errkind.TooLarge, "frame body of %d bytes exceeds %d", n, MaxBody)
	}
	if h[5] > flagError {
		return frame{}, errkind.New(errkind.InvalidArgument, "frame flag %d is not defined", h[5])
	}
	f := frame{typ: Type(h[4]), flag: h[5], corr: binary.BigEndian.Uint32(h[6:10]), body: make([]byte, n)}
	if _, err := io.ReadFull(r, f.body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, err
	}
	return f, nil
}

func decodeBody(f frame) (Message, error) {
	msg := newMessage(f.typ)
	if msg == nil {
		return nil, errkind.New(errkind.InvalidArgument, "message type %d is not defined", f.typ)
	}
	if err := msgpack.Unmarshal(f.body, msg); err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "decode message type %d", f.typ)
	}
	return msg, nil
}
