package receive

import (
	"bytes"
	"net/http"
)

// headerReader counts the bytes and lines of a header up to its end.
type headerReader struct {
	size, lines int
	// line is the length of the line that has not ended.
	line int
	// begun is set after the first line, ended after the blank line that ends the header.
	begun, ended bool
}

// read counts bytes of the header and returns those after its end.
func (h *headerReader) read(p []byte) []byte {
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.size += len(p)
			h.line += len(bytes.TrimSuffix(p, []byte{'\r'}))
			return nil
		}
		h.line += len(bytes.TrimSuffix(p[:end], []byte{'\r'}))
		h.endLine(end + 1)
		p = p[end+1:]
	}
	return p
}

// endLine counts a line. Blank lines before a header are skipped, as net/http does after a POST.
func (h *headerReader) endLine(size int) {
	h.size += size
	h.lines++
	h.ended = h.begun && h.line == 0
	h.begun = h.begun || h.line > 0
	h.line = 0
}

// memory returns the memory that the header takes.
func (h *headerReader) memory() int64 { return headerMemory(h.size, h.lines) }

// afterBlankLine returns what follows the last blank line of p.
func afterBlankLine(p []byte) []byte {
	blank := []byte("\r\n\r\n")
	if i := bytes.LastIndex(p, blank); i >= 0 {
		return p[i+len(blank):]
	}
	return p
}

const (
	// headerCopies counts the bytes of a header in the buffer that it is read into and in the strings of its fields.
	headerCopies = 2
	// headerLineBytes is for the entry of a line in the map of the fields: a slot, a slice of values and a string.
	headerLineBytes = 128
	// usualHeader is the memory of a header that is part of what a connection takes.
	usualHeader = 16 << 10
	// maxHeaderLines bounds the lines of a header: while they grow, the maps of short lines take several times headerLineBytes.
	maxHeaderLines = 700
	// serverBuffer is the size of the buffer that net/http reads headers into. Reads into larger ones leave nothing for the next request.
	serverBuffer = 4 << 10
)

// headerCharge returns the charge of a whole header.
func headerCharge(c *conn, h http.Header) int64 {
	if c.header.memory() <= usualHeader {
		return 0
	}
	memory := int64(0)
	for name, values := range h {
		for _, v := range values {
			memory += headerMemory(len(name)+len(v), 1)
		}
	}
	if memory <= usualHeader {
		return 0
	}
	return memory
}

func headerMemory(size, lines int) int64 {
	return int64(size)*headerCopies + int64(lines)*headerLineBytes
}
