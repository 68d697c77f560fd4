package inmem

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Data lost to a partition used to leave a gap in the stream: the reader took the bytes after it for
// those that were lost. A connection that has lost data must end instead.
func TestPartitionLeavesNoGapInAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNet(1)
		n.Delay = func(string, string) time.Duration { return time.Millisecond }
		l := n.Listen("b", "b:1")
		c, err := n.Dialer("a")(t.Context(), "b:1")
		assert.NilError(t, err)
		remote, err := l.Accept()
		assert.NilError(t, err)
		write := func(s string) error {
			_, err := io.WriteString(c, s)
			return err
		}
		assert.NilError(t, write("one "))
		n.SetPartition(func(string, string) bool { return true })
		assert.NilError(t, write("lost "))
		n.SetPartition(func(string, string) bool { return false })
		assert.Assert(t, write("three") != nil, "the sender may continue after a gap")
		got, err := io.ReadAll(remote)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "one ")
	})
}
