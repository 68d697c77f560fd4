package intake

import (
	"bytes"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// JSONLimits bound what a JSON document makes a decoder build.
type JSONLimits struct {
	// Depth is the largest number of nested arrays and objects.
	Depth int
	// Elements is the number of elements of one array, Members that of one object.
	Elements, Members int
	// StringBytes is the encoded length of a string.
	StringBytes int
}

// maxNesting is the largest depth that can be checked.
const maxNesting = 64

// Check reports the first limit that a document exceeds. It does not check the syntax.
func (l JSONLimits) Check(doc []byte) error {
	// commas holds the commas of each open array or object, and array tells which of them are arrays.
	var commas [maxNesting]int
	var array [maxNesting]bool
	depth, deepest := 0, min(l.Depth, maxNesting-1)
	for i := 0; i < len(doc); i++ {
		switch doc[i] {
		case '"':
			n := stringLength(doc[i+1:])
			if n > l.StringBytes {
				return errkind.New(errkind.InvalidArgument, "a string of the document has %d bytes, at most %d are allowed", n, l.StringBytes)
			}
			i += n + 1
		case '[', '{':
			if depth++; depth > deepest {
				return errkind.New(errkind.InvalidArgument, "the document is nested %d deep, at most %d are allowed", depth, deepest)
			}
			commas[depth], array[depth] = 0, doc[i] == '['
		case ']', '}':
			depth = max(0, depth-1)
		case ',':
			commas[depth]++
			if n := commas[depth] + 1; depth > 0 && n > l.entries(array[depth]) {
				return errkind.New(errkind.InvalidArgument, "an array or object of the document has more than %d entries", l.entries(array[depth]))
			}
		}
	}
	return nil
}

func (l JSONLimits) entries(array bool) int {
	if array {
		return l.Elements
	}
	return l.Members
}

// stringLength returns the number of bytes before the closing quote.
func stringLength(b []byte) int {
	for start := 0; ; {
		n := bytes.IndexByte(b[start:], '"')
		if n < 0 {
			return len(b)
		}
		if escapes(b[start:start+n])%2 == 0 {
			return start + n
		}
		start += n + 1
	}
}

// escapes returns the number of backslashes at the end. A quote after an odd number of them belongs to the string.
func escapes(b []byte) int {
	n := 0
	for n < len(b) && b[len(b)-1-n] == '\\' {
		n++
	}
	return n
}
