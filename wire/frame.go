// Package wire exchanges typed messages between the system's own processes over
// TCP. A frame is a 10-byte header followed by a MessagePack body:
//
//	bytes 0-3  body length, big endian
//	byte  4    message type
//	byte  5    flags: 0 notification, 1 call, 2 reply, 3 error reply, 4 receipt
//	bytes 6-9  correlation id, big endian
package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// MaxBody is the largest accepted frame body in bytes. It leaves room for a
// 1 MiB request or response body and its envelope.
const MaxBody = 1<<20 + 64<<10

const headerSize = 10

// Flag values of a frame.
const (
	flagNotify byte = iota
	flagCall
	flagReply
	flagError
	// flagReceipt confirms that the call with the same correlation id has arrived. It has no body.
	flagReceipt
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

// maxPooledBuffer is the largest buffer in bytes that is kept for reuse. Larger ones
// are released so that one large body does not stay allocated.
const maxPooledBuffer = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encodeFrame encodes a frame into a pooled buffer, which the caller returns with
// releaseBuffer. Structs are encoded as arrays, without field names. Builds before may
// refuse arrays with another number of fields, and every build refuses them inside a
// message, so a new field needs a message type of its own.
func encodeFrame(flag byte, corr uint32, msg Message) (*bytes.Buffer, error) {
	buf, _ := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	var h [headerSize]byte
	buf.Write(h[:])
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(msg); err != nil {
		releaseBuffer(buf)
		return nil, errkind.Wrap(errkind.Internal, err, "encode message type %d", msg.Type())
	}
	n := buf.Len() - headerSize
	if n > MaxBody {
		releaseBuffer(buf)
		return nil, errkind.New(errkind.TooLarge, "message body of %d bytes exceeds %d", n, MaxBody)
	}
	putHeader(buf.Bytes(), uint32(n), msg.Type(), flag, corr)
	return buf, nil
}

func releaseBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= maxPooledBuffer {
		buffers.Put(buf)
	}
}

func putHeader(h []byte, n uint32, t Type, flag byte, corr uint32) {
	binary.BigEndian.PutUint32(h[0:4], n)
	h[4], h[5] = byte(t), flag
	binary.BigEndian.PutUint32(h[6:10], corr)
}

// readChunk is the initial size in bytes of a body buffer, which doubles as data
// arrives. A length field alone can't make the receiver allocate the whole body.
const readChunk = 64 << 10

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
	if h[5] > flagReceipt {
		return frame{}, errkind.New(errkind.InvalidArgument, "frame flag %d is not defined", h[5])
	}
	f := frame{typ: Type(h[4]), flag: h[5], corr: binary.BigEndian.Uint32(h[6:10])}
	var err error
	if f.body, err = readBody(r, int(n)); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, err
	}
	return f, nil
}

func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, readChunk))
	read := 0
	for {
		m, err := io.ReadFull(r, body[read:])
		read += m
		if err != nil || read == n {
			return body, err
		}
		grown := make([]byte, min(n, 2*len(body)))
		copy(grown, body)
		body = grown
	}
}

func decodeBody(f frame) (Message, error) {
	msg := newMessage(f.typ)
	if msg == nil {
		return nil, errkind.New(errkind.InvalidArgument, "message type %d is not defined", f.typ)
	}
	switch f.typ {
	case TypeHello, TypeRequest, TypeResponse, TypeResolve:
		// These messages have no arrays, and the decoder allocates byte strings in steps.
	default:
		if err := checkLengths(f.body); err != nil {
			return nil, err
		}
	}
	if err := msgpack.Unmarshal(alignFields(f.body, msg), msg); err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "decode message type %d", f.typ)
	}
	return msg, nil
}
