package sidecar

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// answerWindowBytes is how far the copy from the backend server may be ahead of the
	// slowest reader before it blocks.
	answerWindowBytes = 256 << 10
	// keepIdempotentBytes and keepNonIdempotentBytes bound the encoded frames that one
	// answer retains for readers that reconnect.
	keepIdempotentBytes    = 512 << 10
	keepNonIdempotentBytes = 1 << 20
	// readBatchBytes bounds the frames that one read returns, unless a single frame is larger.
	readBatchBytes = 64 << 10
)

// answer is the bounded buffer of one answer: encoded frames with sequence numbers from 0.
// The copy from the backend server appends frames and any number of readers consume them
// concurrently. Backpressure comes from the slowest reader: the copy blocks while that
// reader is more than answerWindowBytes behind. Without readers the copy continues and
// only the last keep bytes are retained.
type answer struct {
	mu sync.Mutex
	// data holds the encoded frames from sequence first on. Written bytes are
	// immutable, so readers use slices of it without holding the lock.
	data []byte
	// ends holds the offset in data after each retained frame.
	ends []int
	// first is the sequence number of the first retained frame.
	first uint64
	// closed is true once the closing frame has been appended.
	closed bool
	// keep is the number of bytes above which frames that were read are dropped.
	keep int

	readers map[*reader]struct{}
	// hold is true from the disconnection of the last reader until release or the next
	// attach. Meanwhile heldAt, the reader's position, limits the copy like a reader.
	hold   bool
	heldAt uint64
	// space signals the copy that a reader has advanced or disconnected.
	space chan struct{}
	// onReaders is called with mu held when a reader attaches or detaches. It must not block.
	onReaders func(connected int)
}

// reader is one connection that reads an answer.
type reader struct {
	answer *answer
	// next is the sequence number of the frame that the reader returns next.
	next uint64
	// ready signals that a frame has been appended.
	ready chan struct{}
}

func newAnswer(keep int, onReaders func(connected int)) *answer {
	return &answer{
		keep:      keep,
		readers:   map[*reader]struct{}{},
		space:     make(chan struct{}, 1),
		onReaders: onReaders,
	}
}

// append assigns the next sequence number to a frame and adds it to the buffer. It blocks
// while the slowest reader is too far behind and returns the cause of ctx if that ends
// first. A closing frame (End or Fault) is added without blocking.
func (a *answer) append(ctx context.Context, f *lanepb.Frame) error {
	closing := f.GetEnd() != nil || f.GetFault() != nil
	for !closing && !a.hasSpace() {
		select {
		case <-a.space:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f.Sequence = a.nextSequence()
	data, err := frame.Append(a.data, f)
	if err != nil {
		return err
	}
	a.data = data
	a.ends = append(a.ends, len(data))
	a.closed = closing
	a.trim()
	for r := range a.readers {
		poke(r.ready)
	}
	return nil
}

func (a *answer) nextSequence() uint64 { return a.first + uint64(len(a.ends)) }

// hasSpace reports whether the slowest reader is at most answerWindowBytes behind.
func (a *answer) hasSpace() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	slowest, any := a.slowest()
	return !any || len(a.data)-a.offset(slowest) <= answerWindowBytes
}

// slowest returns the lowest position of all readers and of a held position. It reports
// false if there is none. The caller holds mu.
func (a *answer) slowest() (uint64, bool) {
	slowest, any := a.heldAt, a.hold
	for r := range a.readers {
		if !any || r.next < slowest {
			slowest, any = r.next, true
		}
	}
	return slowest, any
}

// offset returns the offset in data at which a retained frame begins. The caller holds mu.
func (a *answer) offset(sequence uint64) int {
	if sequence <= a.first {
		return 0
	}
	return a.ends[sequence-a.first-1]
}

// trim drops the oldest frames once data exceeds keep bytes, except frames that a reader
// hasn't read yet. It cuts down to half of keep, so that data isn't copied for each frame.
// The caller holds mu.
func (a *answer) trim() {
	if len(a.data) <= a.keep {
		return
	}
	slowest, any := a.slowest()
	drop := 0
	for drop < len(a.ends)-1 && len(a.data)-a.ends[drop] >= a.keep/2 {
		if any && a.first+uint64(drop) >= slowest {
			break
		}
		drop++
	}
	if drop == 0 {
		return
	}
	cut := a.ends[drop-1]
	a.data = append([]byte(nil), a.data[cut:]...)
	ends := make([]int, 0, len(a.ends)-drop)
	for _, end := range a.ends[drop:] {
		ends = append(ends, end-cut)
	}
	a.ends = ends
	a.first += uint64(drop)
}

// attach adds a reader that starts at a sequence number. It returns *NotKeptError if that
// frame was dropped or is beyond the end of the answer.
func (a *answer) attach(from uint64) (*reader, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.first || from > a.nextSequence() || (a.closed && from == a.nextSequence()) {
		return nil, errors.WithStack(&NotKeptError{Sequence: from, First: a.first, Next: a.nextSequence()})
	}
	r := &reader{answer: a, next: from, ready: make(chan struct{}, 1)}
	a.readers[r] = struct{}{}
	a.hold = false
	a.onReaders(len(a.readers))
	return r, nil
}

// detach removes a reader. If it was the last one, its position continues to limit the
// copy until release, so that a caller that reconnects can resume from there.
func (a *answer) detach(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	connected := len(a.readers)
	if connected == 0 && !a.closed {
		a.hold = true
		a.heldAt = r.next
	}
	a.onReaders(connected)
	poke(a.space)
}

// release lifts the limit that the last reader left, so that the copy continues without
// a reader.
func (a *answer) release() {
	a.mu.Lock()
	a.hold = false
	a.mu.Unlock()
	poke(a.space)
}

// next returns the sequence number of the next frame to be appended.
func (a *answer) next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextSequence()
}

// size returns the bytes of memory that the buffer occupies.
func (a *answer) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cap(a.data)
}

// read blocks until frames are available and returns them encoded. last is true if the
// closing frame is among them. It returns the error of ctx if that ends first.
func (r *reader) read(ctx context.Context) (encoded []byte, last bool, err error) {
	for {
		encoded, last = r.take()
		if len(encoded) > 0 {
			poke(r.answer.space)
			return encoded, last, nil
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// take returns the frames that are available, up to readBatchBytes, without blocking.
func (r *reader) take() (encoded []byte, last bool) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	begin := a.offset(r.next)
	end := begin
	for r.next < a.nextSequence() {
		frameEnd := a.ends[r.next-a.first]
		if end > begin && frameEnd-begin > readBatchBytes {
			break
		}
		end = frameEnd
		r.next++
	}
	return a.data[begin:end:end], a.closed && r.next == a.nextSequence()
}

// poke signals a channel with a buffer of one without blocking. Pending signals coalesce.
func poke(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
