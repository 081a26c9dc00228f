package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logBuffer is the number of log lines that are kept when the output is slower than
	// the process; older ones are dropped then.
	logBuffer = 4096
	// closeWithin is how long closing waits until the output has taken the last lines: one
	// that is read takes all that are kept in some milliseconds.
	closeWithin = 100 * time.Millisecond
)

// lossyWriter counts the lines on their way through a diode.
type lossyWriter struct {
	diode   diode.Writer
	dropped func(lines int)
	// taken counts the lines that were written to it, passed those that the output took
	// and those that were dropped.
	taken, passed atomic.Int64
}

// NewLossyWriter returns a writer that never blocks. Lines that w is too slow for are
// dropped and counted by dropped. Close waits a moment for the last ones.
func NewLossyWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	l := &lossyWriter{dropped: dropped}
	l.diode = diode.NewWriter(&countingWriter{Writer: w, lines: &l.passed}, logBuffer, 0, func(lines int) {
		l.passed.Add(int64(lines))
		dropped(lines)
	})
	return l
}

func (l *lossyWriter) Write(p []byte) (int, error) {
	l.taken.Add(1)
	return l.diode.Write(p)
}

// Close flushes what is kept. Lines that the output doesn't take in time are counted as
// dropped, and are no error: there is nothing left to tell it with.
func (l *lossyWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.diode.Close() }()
	timer := time.NewTimer(closeWithin)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		l.dropped(int(l.taken.Load() - l.passed.Load()))
		return nil
	}
}

// countingWriter counts the writes that have ended.
type countingWriter struct {
	io.Writer
	lines *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	defer w.lines.Add(1)
	return w.Writer.Write(p)
}

// Close closes the output, if it can be closed.
func (w *countingWriter) Close() error {
	if closer, ok := w.Writer.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}
