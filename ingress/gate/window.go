package gate

// windowSize is the number of sequence numbers below the highest one that a
// window distinguishes. At 4,000 requests/s from one entry it spans one second.
const windowSize = 4096

// window remembers which sequence numbers have arrived on one connection, in
// constant memory. Numbers need not arrive in order.
type window struct {
	top  uint64
	bits [windowSize / 64]uint64
}

// add records seq. It returns false when seq has arrived before or lies below the window.
func (w *window) add(seq uint64) bool {
	if seq+windowSize <= w.top {
		return false
	}
	if seq > w.top {
		w.advance(seq)
	}
	word, bit := &w.bits[seq%windowSize/64], uint64(1)<<(seq%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance moves the upper end to seq and clears the numbers that enter the window.
func (w *window) advance(seq uint64) {
	if seq-w.top >= windowSize {
		w.bits = [windowSize / 64]uint64{}
	} else {
		for s := w.top + 1; s <= seq; s++ {
			w.bits[s%windowSize/64] &^= 1 << (s % 64)
		}
	}
	w.top = seq
}
