package wire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// pipe returns two ends of a synchronous connection, which are closed at the end of the test.
func pipe(t *testing.T) (near, far net.Conn) {
	near, far = net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

// Guards against connections that hold resources without sending a complete frame,
// and against closing idle ones.
func TestSlowSendersAreClosed(t *testing.T) {
	hello := encoded(t, flagNotify, 0, &Hello{Entry: 1, Conn: 1})
	for _, c := range []struct {
		name     string
		first    time.Duration
		send     []byte
		wait     time.Duration
		wantOpen bool
	}{
		{"accepted, sends nothing", time.Second, nil, time.Second, false},
		{"accepted, sends nothing, before the timeout", time.Second, nil, 900 * time.Millisecond, true},
		{"accepted, stops in the first frame", time.Second, hello[:4], frameTimeout, false},
		{"stops in the header", 0, hello[:4], frameTimeout, false},
		{"stops in the body", 0, hello[:headerSize+1], frameTimeout, false},
		{"idle after a complete frame", time.Second, hello, time.Hour, true},
		{"idle without any frame", 0, nil, time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := pipe(t)
				p := newPeer(near, nil, c.first)
				defer p.Close()
				_, _ = far.Write(c.send)
				time.Sleep(c.wait + time.Millisecond)
				synctest.Wait()
				select {
				case <-p.Done():
					assert.Assert(t, !c.wantOpen)
				default:
					assert.Assert(t, c.wantOpen)
				}
			})
		})
	}
}

// Guards against a remote peer that stops reading: writers must not block for longer
// than the write timeout, and their calls must end.
func TestUnreadConnectionFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := pipe(t)
		p := NewPeer(near, nil)
		start := time.Now()
		_, err := p.Call(context.Background(), &Request{})
		assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
		assert.Assert(t, time.Since(start) <= writeTimeout)
		_, err = p.Call(context.Background(), &Request{})
		assert.Equal(t, errkind.Of(err), errkind.NotReady, "nothing is written on a closed connection")
	})
}

// Guards against replies that reach the wrong caller when they arrive more than once,
// after the call was abandoned or out of order.
func TestRepliesReachTheirCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := pipe(t)
		p := NewPeer(near, nil)
		defer p.Close()
		go func() {
			var frames []frame
			for range 3 {
				f, err := readFrame(far)
				if err != nil {
					return
				}
				frames = append(frames, f)
			}
			for i := len(frames) - 1; i >= 0; i-- {
				m, _ := decodeBody(frames[i])
				seq := m.(*Request).ID.Seq
				for range 2 {
					buf, _ := encodeFrame(flagReply, frames[i].corr, &Response{ID: RequestID{1, seq}})
					_, _ = far.Write(buf.Bytes())
				}
			}
		}()
		abandoned, err := p.Start(&Request{ID: RequestID{1, 100}})
		assert.NilError(t, err)
		abandoned.Abandon()
		for _, seq := range []uint64{1, 2} {
			c, err := p.Start(&Request{ID: RequestID{1, seq}})
			assert.NilError(t, err)
			defer func() {
				r := <-c.Result()
				assert.NilError(t, r.Err)
				assert.Equal(t, r.Msg.(*Response).ID.Seq, seq)
			}()
		}
		synctest.Wait()
		select {
		case <-abandoned.Result():
			t.Fatal("an abandoned call received a reply")
		default:
		}
	})
}

// Guards against a missing receipt for a request whose handler is running, and against
// receipts for calls that require none.
func TestReceiptPrecedesTheReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := pipe(t)
		release := make(chan struct{})
		server := NewPeer(far, func(_ *Peer, _ Message, reply Reply) {
			go func() { <-release; reply(&Ack{}) }()
		})
		defer server.Close()
		p := NewPeer(near, nil)
		defer p.Close()
		request, err := p.Start(&Request{})
		assert.NilError(t, err)
		plain, err := p.Start(&Locate{})
		assert.NilError(t, err)
		time.Sleep(receiptDelay)
		synctest.Wait()
		assert.Assert(t, request.Received())
		assert.Assert(t, !plain.Received())
		close(release)
		assert.NilError(t, (<-request.Result()).Err)
		assert.NilError(t, (<-plain.Result()).Err)
	})
}

// The owner's loop sends to hundreds of members. It used to wait up to a second for each whose link was slow, while leases ran out.
func TestBackgroundWriterDoesNotWaitForReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		p := NewPeer(near, func(*Peer, Message, Reply) {})
		p.WriteInBackground()
		const limit = 1 << 10
		p.LimitQueue(limit)
		began := time.Now()
		queued, refused := 0, false
		for !refused {
			refused = p.Notify(&StateQuery{ID: "00000000000000aa"}) != nil
			queued++
			assert.Assert(t, queued < limit, "nothing bounds what is queued")
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, queued > 10)
		p.Close()
		assert.NilError(t, far.Close())
	})
}
