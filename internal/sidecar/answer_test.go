package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

func chunk(size int, fill byte) *lanepb.Frame {
	return &lanepb.Frame{Part: &lanepb.Frame_Chunk{Chunk: bytes.Repeat([]byte{fill}, size)}}
}

func closing() *lanepb.Frame {
	return &lanepb.Frame{Part: &lanepb.Frame_End{End: &lanepb.End{}}}
}

// decode returns the complete frames in encoded.
func decode(t interface{ Fatal(...any) }, encoded []byte) []*lanepb.Frame {
	var frames []*lanepb.Frame
	r := frame.NewReader(bytes.NewReader(encoded))
	for {
		f, err := r.Read()
		if err != nil {
			return frames
		}
		frames = append(frames, f)
	}
}

// bufferModel is the state machine of TestBufferServesAnySequence: a buffer and, as its
// model, the list of all appended frames.
type bufferModel struct {
	buffer  *answer
	written []byte
	readers []*reader
	next    []uint64
	closed  bool
}

// TestBufferServesAnySequence attaches readers at any sequence number, reads and detaches
// them in random order while frames are appended. Each reader must get the appended frames
// in order and the buffer must stay within its bound.
func TestBufferServesAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &bufferModel{buffer: newAnswer(retainIdempotentBytes, func(int) {})}
		t.Repeat(map[string]func(*rapid.T){
			"append": m.append,
			"attach": m.attach,
			"read":   m.read,
			"detach": m.detach,
			"": func(t *rapid.T) {
				if size := len(m.buffer.data); size > retainIdempotentBytes+copyBufferBytes {
					t.Fatalf("the buffer retains %d bytes", size)
				}
			},
		})
	})
}

func (m *bufferModel) append(t *rapid.T) {
	if m.closed || !m.buffer.hasSpace() {
		return
	}
	fill := rapid.Byte().Draw(t, "fill")
	f := chunk(rapid.IntRange(1, copyBufferBytes).Draw(t, "size"), fill)
	if rapid.IntRange(0, 30).Draw(t, "close") == 0 {
		f, m.closed = closing(), true
	}
	if err := m.buffer.append(context.Background(), f); err != nil {
		t.Fatal(err)
	}
	m.written = append(m.written, fill)
}

func (m *bufferModel) attach(t *rapid.T) {
	from := rapid.Uint64Range(0, uint64(len(m.written))+1).Draw(t, "from")
	r, err := m.buffer.attach(from)
	if err == nil {
		m.readers, m.next = append(m.readers, r), append(m.next, from)
		return
	}
	var notRetained *FrameNotRetainedError
	if !errors.As(err, &notRetained) || (from >= notRetained.First && from < uint64(len(m.written))) {
		t.Fatalf("attach at %d: %v", from, err)
	}
}

func (m *bufferModel) read(t *rapid.T) {
	if len(m.readers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
	encoded, last := m.readers[i].takeAvailable()
	for _, f := range decode(t, encoded) {
		if f.GetSequence() != m.next[i] || (f.GetEnd() == nil && f.GetChunk()[0] != m.written[m.next[i]]) {
			t.Fatalf("reader expects frame %d, got %d", m.next[i], f.GetSequence())
		}
		m.next[i]++
	}
	if last != (m.closed && m.next[i] == uint64(len(m.written))) {
		t.Fatalf("read returned last=%v at frame %d of %d", last, m.next[i], len(m.written))
	}
}

func (m *bufferModel) detach(t *rapid.T) {
	if len(m.readers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "reader")
	m.buffer.detach(m.readers[i])
	m.readers = append(m.readers[:i:i], m.readers[i+1:]...)
	m.next = append(m.next[:i:i], m.next[i+1:]...)
}

func TestSlowReaderSlowsTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAnswer(retainIdempotentBytes, func(int) {})
		r, err := a.attach(0)
		qt.Assert(t, err, qt.IsNil)
		const frames = 400
		go func() {
			for range frames {
				if a.append(t.Context(), chunk(4<<10, 1)) != nil {
					return
				}
			}
			_ = a.append(t.Context(), closing())
		}()
		next := uint64(0)
		for ended := false; !ended; {
			time.Sleep(time.Second)
			synctest.Wait()
			qt.Assert(t, len(a.data) <= retainIdempotentBytes+copyBufferBytes, qt.IsTrue)
			encoded, last, err := r.read(t.Context())
			qt.Assert(t, err, qt.IsNil)
			for _, f := range decode(t, encoded) {
				qt.Assert(t, f.GetSequence(), qt.Equals, next)
				next++
			}
			ended = last
		}
		qt.Assert(t, next, qt.Equals, uint64(frames+1))
	})
}

func TestCopyWaitsForAReaderThatLeftUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAnswer(retainIdempotentBytes, func(int) {})
		r, err := a.attach(0)
		qt.Assert(t, err, qt.IsNil)
		a.detach(r)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 400 {
				if a.append(t.Context(), chunk(4<<10, 1)) != nil {
					return
				}
			}
		}()
		synctest.Wait()
		qt.Assert(t, a.firstSequence, qt.Equals, uint64(0))
		held := a.nextSequence()
		qt.Assert(t, held < 100, qt.IsTrue)
		a.release()
		<-done
		qt.Assert(t, a.nextSequence(), qt.Equals, uint64(400))
		qt.Assert(t, len(a.data) <= retainIdempotentBytes, qt.IsTrue)
		_, err = a.attach(0)
		var notRetained *FrameNotRetainedError
		qt.Assert(t, errors.As(err, &notRetained), qt.IsTrue)
		_, err = a.attach(399)
		qt.Assert(t, err, qt.IsNil)
	})
}

func TestStalledReaderIsCutOffAndTheAnswerEnds(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		const size = 8 << 20
		fx.service.serve = largeAnswer(size)
		fx.grant("d", "s")
		stream := fx.openDispatch(t.Context(), "d", "s")
		defer stream.Close()
		time.Sleep(readerStallTimeout + readerGrace + time.Second)
		qt.Assert(t, fx.enquire("d"), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FINISHED)
		qt.Assert(t, fx.service.runCount("d"), qt.Equals, 1)
	})
}

func TestManyReadersGetTheSameAnswer(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.service.serve = largeAnswer(1 << 20)
		fx.grant("d", "s")
		first := fx.openDispatch(t.Context(), "d", "s")
		answers := make(chan []*lanepb.Frame)
		for range 3 {
			go func() { answers <- fx.frames(fx.resume(t.Context(), "d", 0)) }()
		}
		want := fx.frames(first)
		qt.Assert(t, last(want).GetEnd().GetTotalBytes(), qt.Equals, uint64(1<<20))
		for range 3 {
			got := <-answers
			qt.Assert(t, len(got), qt.Equals, len(want))
			qt.Assert(t, text(got) == text(want), qt.IsTrue)
		}
	})
}

// TestStalledCallersHoldBoundedMemory checks that a caller that reads nothing occupies a
// bounded number of bytes, whatever the size of its answer.
func TestStalledCallersHoldBoundedMemory(t *testing.T) {
	inBubble(t, 16, func(t *testing.T, fx *fixture) {
		fx.service.serve = largeAnswer(16 << 20)
		for n := range 16 {
			id := fmt.Sprint("d", n)
			fx.grant(id, "s")
			defer fx.openDispatch(t.Context(), id, "s").Close()
		}
		time.Sleep(readerStallTimeout / 2)
		total := 0
		for n := range 16 {
			total += fx.sidecar.table.view(fx.sidecar.table.get(fmt.Sprint("d", n))).answer.size()
		}
		qt.Assert(t, total <= 16*2*retainNonIdempotentBytes, qt.IsTrue, qt.Commentf("%d bytes", total))
	})
}
