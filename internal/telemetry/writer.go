package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines is the number of log lines that are buffered if the output is slower than the
	// process. When the buffer is full, the oldest lines are dropped.
	logBufferLines = 4096
	// closeTimeout is how long Close waits for the remaining lines to be written. It is a
	// fifth of the time that roles reserve between their last request and the SIGKILL.
	closeTimeout = 100 * time.Millisecond
)

// NewProcessLogger is like NewLogger, but neither logging nor the end of the process blocks on w:
// lines that w does not accept in time are dropped and counted in metrics. The closer writes the
// remaining lines and leaves w open.
func NewProcessLogger(w io.Writer, level, role, id string, metrics *Metrics) (zerolog.Logger, io.Closer, error) {
	dropped, err := metrics.Meter.Int64Counter("lagoonlane_log_lines_dropped")
	if err != nil {
		return zerolog.Nop(), nil, errors.WithStack(err)
	}
	out := NewLossyWriter(w, func(lines int) { dropped.Add(context.Background(), int64(lines)) })
	logger, err := NewLogger(out, level, role, id)
	return logger, out, err
}

// lossyWriter writes lines through a diode and counts them before and after it.
type lossyWriter struct {
	diode   diode.Writer
	dropped func(lines int)
	// received counts the lines passed to Write, finished those that were written to the output
	// or dropped.
	received, finished atomic.Int64
}

// NewLossyWriter returns a writer whose Write never blocks. Lines that w does not accept in time are
// dropped, and their number is passed to dropped. Close waits for a limited time until the remaining
// lines are written, and leaves w open.
func NewLossyWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	l := &lossyWriter{dropped: dropped}
	l.diode = diode.NewWriter(&countingWriter{output: w, lines: &l.finished}, logBufferLines, 0, func(lines int) {
		l.finished.Add(int64(lines))
		dropped(lines)
	})
	return l
}

// Write implements io.Writer.
func (l *lossyWriter) Write(p []byte) (int, error) {
	l.received.Add(1)
	return l.diode.Write(p)
}

// Close writes the remaining lines. Lines that the output does not accept in time are counted as
// dropped. They are not an error, as there is no log left to report them to.
func (l *lossyWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.diode.Close() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		l.dropped(int(l.received.Load() - l.finished.Load()))
		return nil
	}
}

// countingWriter counts completed writes. It has no Close method, as the diode would call it and so
// close the output.
type countingWriter struct {
	output io.Writer
	lines  *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	defer w.lines.Add(1)
	return w.output.Write(p)
}
