package wire

import (
	"encoding/binary"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// maxDepth bounds the nesting of a message body.
const maxDepth = 16

// checkLengths verifies that no length in a MessagePack value exceeds the bytes that
// follow. The decoder allocates arrays by their declared length, up to a million
// elements, so a frame of a few bytes could otherwise allocate over 100 MB.
func checkLengths(body []byte) error {
	rest, ok := skipValue(body, 0)
	if !ok || len(rest) != 0 {
		return errkind.New(errkind.InvalidArgument, "a length field in the message body exceeds the body")
	}
	return nil
}

// skipValue returns the bytes after the first value of b.
func skipValue(b []byte, depth int) (rest []byte, ok bool) {
	if len(b) == 0 || depth > maxDepth {
		return nil, false
	}
	c := b[0]
	b = b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return b, true
	case c >= 0x80 && c <= 0x8f:
		return skipValues(b, 2*uint64(c&0x0f), depth)
	case c >= 0x90 && c <= 0x9f:
		return skipValues(b, uint64(c&0x0f), depth)
	case c >= 0xa0 && c <= 0xbf:
		return skipBytes(b, uint64(c&0x1f))
	case c >= 0xcc && c <= 0xd3:
		return skipBytes(b, 1<<(c&3))
	case c == 0xca || c == 0xcb:
		return skipBytes(b, 4<<(c-0xca))
	case c >= 0xd4 && c <= 0xd8:
		return skipBytes(b, 1+1<<(c-0xd4))
	case c == 0xc1:
		return nil, false
	}
	return skipSized(c, b, depth)
}

// skipSized skips a value with an explicit length of 1, 2 or 4 bytes.
func skipSized(c byte, b []byte, depth int) ([]byte, bool) {
	widths := map[byte]int{0xc4: 1, 0xc5: 2, 0xc6: 4, 0xc7: 1, 0xc8: 2, 0xc9: 4, 0xd9: 1, 0xda: 2, 0xdb: 4,
		0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4}
	width := widths[c]
	if width == 0 || len(b) < width {
		return nil, false
	}
	var size [8]byte
	copy(size[8-width:], b[:width])
	n := binary.BigEndian.Uint64(size[:])
	b = b[width:]
	switch {
	case c == 0xdc || c == 0xdd:
		return skipValues(b, n, depth)
	case c == 0xde || c == 0xdf:
		return skipValues(b, 2*n, depth)
	case c >= 0xc7 && c <= 0xc9:
		n++
	}
	return skipBytes(b, n)
}

func skipBytes(b []byte, n uint64) ([]byte, bool) {
	if n > uint64(len(b)) {
		return nil, false
	}
	return b[n:], true
}

func skipValues(b []byte, n uint64, depth int) ([]byte, bool) {
	if n > uint64(len(b)) {
		return nil, false
	}
	ok := true
	for ; n > 0 && ok; n-- {
		b, ok = skipValue(b, depth+1)
	}
	return b, ok
}
