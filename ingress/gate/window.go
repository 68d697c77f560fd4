package gate

// replayWindowSize is the number of sequence numbers, up to the highest one, that the window
// tracks. At 4,000 requests/s from one entry it spans one second.
const replayWindowSize = 4096

// replayWindow is an anti-replay window: it tracks in constant memory which sequence numbers
// have arrived on one connection. Numbers may arrive out of order.
type replayWindow struct {
	highest uint64
	bits    [replayWindowSize / 64]uint64
}

// add records seq. It returns false for a duplicate and for a number below the window.
func (w *replayWindow) add(seq uint64) bool {
	if seq+replayWindowSize <= w.highest {
		return false
	}
	if seq > w.highest {
		w.advance(seq)
	}
	word, bit := &w.bits[seq%replayWindowSize/64], uint64(1)<<(seq%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance makes seq the highest number and clears the bits of the numbers that enter the window.
func (w *replayWindow) advance(seq uint64) {
	if seq-w.highest >= replayWindowSize {
		w.bits = [replayWindowSize / 64]uint64{}
	} else {
		for s := w.highest + 1; s <= seq; s++ {
			w.bits[s%replayWindowSize/64] &^= 1 << (s % 64)
		}
	}
	w.highest = seq
}
