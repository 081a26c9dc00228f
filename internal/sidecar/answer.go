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
	// retainIdempotentBytes and retainNonIdempotentBytes bound the encoded frames that one
	// answer retains for readers that reconnect.
	retainIdempotentBytes    = 512 << 10
	retainNonIdempotentBytes = 1 << 20
	// readBatchBytes bounds the frames that one read returns, unless a single frame is larger.
	readBatchBytes = 64 << 10
)

// answer is the bounded buffer of one answer: encoded frames with sequence numbers from 0.
// The copy from the backend server appends frames and any number of readers consume them
// concurrently. Backpressure comes from the slowest reader: the copy blocks while that
// reader is more than answerWindowBytes behind. Without readers the copy continues and
// only the last keepBytes bytes are retained.
type answer struct {
	mu sync.Mutex
	// data holds the encoded frames from firstSequence on. Written bytes are
	// immutable, so readers use slices of it without holding the lock.
	data []byte
	// frameEnds holds the offset in data after each retained frame.
	frameEnds []int
	// firstSequence is the sequence number of the first retained frame.
	firstSequence uint64
	// closed is true once the closing frame has been appended.
	closed bool
	// retainBytes is the number of bytes above which frames that were read are dropped.
	retainBytes int

	readers map[*reader]struct{}
	// holdPosition is true from the disconnection of the last reader until release or the next
	// attach. Meanwhile heldPosition, the reader's position, limits the copy like a reader.
	holdPosition bool
	heldPosition uint64
	// spaceFreed signals the copy that a reader has advanced or disconnected.
	spaceFreed chan struct{}
	// onReadersChanged is called with mu held when a reader attaches or detaches. It must not block.
	onReadersChanged func(connected int)
}

// reader is one connection that reads an answer.
type reader struct {
	answer *answer
	// nextSequence is the sequence number of the frame that the reader returns next.
	nextSequence uint64
	// appended signals that a frame has been appended.
	appended chan struct{}
}

// newAnswer returns an empty buffer that retains about keepBytes bytes.
func newAnswer(keepBytes int, onReadersChanged func(connected int)) *answer {
	return &answer{
		retainBytes:      keepBytes,
		readers:          map[*reader]struct{}{},
		spaceFreed:       make(chan struct{}, 1),
		onReadersChanged: onReadersChanged,
	}
}

// append assigns the next sequence number to a frame and adds it to the buffer. It blocks
// while the slowest reader is too far behind and returns the cause of ctx if that ends
// first. A closing frame (End or Fault) is added without blocking.
func (a *answer) append(ctx context.Context, f *lanepb.Frame) error {
	closing := f.GetEnd() != nil || f.GetFault() != nil
	for !closing && !a.hasSpace() {
		select {
		case <-a.spaceFreed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f.Sequence = a.nextSequenceLocked()
	data, err := frame.Append(a.data, f)
	if err != nil {
		return err
	}
	a.data = data
	a.frameEnds = append(a.frameEnds, len(data))
	a.closed = closing
	a.trim()
	for r := range a.readers {
		notify(r.appended)
	}
	return nil
}

// nextSequenceLocked is nextSequence for callers that hold mu.
func (a *answer) nextSequenceLocked() uint64 { return a.firstSequence + uint64(len(a.frameEnds)) }

// hasSpace reports whether the slowest reader is at most answerWindowBytes behind.
func (a *answer) hasSpace() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	slowest, found := a.slowestPosition()
	return !found || len(a.data)-a.offset(slowest) <= answerWindowBytes
}

// slowestPosition returns the lowest position of all readers and of a held position. It reports
// false if there is none. The caller holds mu.
func (a *answer) slowestPosition() (uint64, bool) {
	slowest, found := a.heldPosition, a.holdPosition
	for r := range a.readers {
		if !found || r.nextSequence < slowest {
			slowest, found = r.nextSequence, true
		}
	}
	return slowest, found
}

// offset returns the offset in data at which a retained frame begins. The caller holds mu.
func (a *answer) offset(sequence uint64) int {
	if sequence <= a.firstSequence {
		return 0
	}
	return a.frameEnds[sequence-a.firstSequence-1]
}

// trim drops the oldest frames once data exceeds keepBytes, except frames that a reader
// hasn't read yet. It cuts down to half of keepBytes, so that data isn't copied for each frame.
// The caller holds mu.
func (a *answer) trim() {
	if len(a.data) <= a.retainBytes {
		return
	}
	slowest, found := a.slowestPosition()
	drop := 0
	for drop < len(a.frameEnds)-1 && len(a.data)-a.frameEnds[drop] >= a.retainBytes/2 {
		if found && a.firstSequence+uint64(drop) >= slowest {
			break
		}
		drop++
	}
	if drop == 0 {
		return
	}
	cut := a.frameEnds[drop-1]
	a.data = append([]byte(nil), a.data[cut:]...)
	ends := make([]int, 0, len(a.frameEnds)-drop)
	for _, end := range a.frameEnds[drop:] {
		ends = append(ends, end-cut)
	}
	a.frameEnds = ends
	a.firstSequence += uint64(drop)
}

// attach adds a reader that starts at a sequence number. It returns *FrameNotRetainedError if that
// frame was dropped or is beyond the end of the answer.
func (a *answer) attach(from uint64) (*reader, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.firstSequence || from > a.nextSequenceLocked() || (a.closed && from == a.nextSequenceLocked()) {
		return nil, errors.WithStack(&FrameNotRetainedError{Sequence: from, First: a.firstSequence, Next: a.nextSequenceLocked()})
	}
	r := &reader{answer: a, nextSequence: from, appended: make(chan struct{}, 1)}
	a.readers[r] = struct{}{}
	a.holdPosition = false
	a.onReadersChanged(len(a.readers))
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
		a.holdPosition = true
		a.heldPosition = r.nextSequence
	}
	a.onReadersChanged(connected)
	notify(a.spaceFreed)
}

// release removes the limit set by detach, so that the copy continues without a reader.
func (a *answer) release() {
	a.mu.Lock()
	a.holdPosition = false
	a.mu.Unlock()
	notify(a.spaceFreed)
}

// nextSequence returns the sequence number of the next frame to be appended.
func (a *answer) nextSequence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextSequenceLocked()
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
		encoded, last = r.takeAvailable()
		if len(encoded) > 0 {
			notify(r.answer.spaceFreed)
			return encoded, last, nil
		}
		select {
		case <-r.appended:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// takeAvailable returns the frames that are available, up to readBatchBytes, without blocking.
func (r *reader) takeAvailable() (encoded []byte, last bool) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	begin := a.offset(r.nextSequence)
	end := begin
	for r.nextSequence < a.nextSequenceLocked() {
		frameEnd := a.frameEnds[r.nextSequence-a.firstSequence]
		if end > begin && frameEnd-begin > readBatchBytes {
			break
		}
		end = frameEnd
		r.nextSequence++
	}
	return a.data[begin:end:end], a.closed && r.nextSequence == a.nextSequenceLocked()
}

// notify signals a channel with a buffer of one without blocking. Pending signals coalesce.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
