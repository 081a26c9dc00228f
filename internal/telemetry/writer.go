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
	// logBuffer is the number of log lines that are kept when the output is slower than
	// the process; older ones are dropped then.
	logBuffer = 4096
	// lastLinesWithin bounds the wait for the last lines at the end of a process: a fifth of
	// the time that roles keep between their last request and the kill.
	lastLinesWithin = 100 * time.Millisecond
)

// NewProcessLogger returns the logger of a process as NewLogger does. Neither a line nor
// the end of the process ever waits for w: lines that w is too slow for are dropped, and
// counted in metrics. Closing the logger leaves w open.
func NewProcessLogger(w io.Writer, level, role, id string, metrics *Metrics) (zerolog.Logger, io.Closer, error) {
	dropped, err := metrics.Meter.Int64Counter("lagoonlane_log_lines_dropped")
	if err != nil {
		return zerolog.Nop(), nil, errors.WithStack(err)
	}
	out := NewLossyWriter(w, func(lines int) { dropped.Add(context.Background(), int64(lines)) })
	logger, err := NewLogger(out, level, role, id)
	return logger, out, err
}

// lossyWriter counts the lines on their way through a diode.
type lossyWriter struct {
	diode   diode.Writer
	dropped func(lines int)
	// taken counts the lines that were written to it, passed those that the output took
	// and those that were dropped.
	taken, passed atomic.Int64
}

// NewLossyWriter returns a writer that never blocks. Lines that w is too slow for are
// dropped and counted by dropped. Closing it waits a moment for the last lines and
// leaves w open.
func NewLossyWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	l := &lossyWriter{dropped: dropped}
	l.diode = diode.NewWriter(&countingWriter{output: w, lines: &l.passed}, logBuffer, 0, func(lines int) {
		l.passed.Add(int64(lines))
		dropped(lines)
	})
	return l
}

// Write implements io.Writer.
func (l *lossyWriter) Write(p []byte) (int, error) {
	l.taken.Add(1)
	return l.diode.Write(p)
}

// Close writes the lines that are left. Those that the output doesn't take in time are
// counted as dropped, and are no error: there is nowhere left to tell of it.
func (l *lossyWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.diode.Close() }()
	timer := time.NewTimer(lastLinesWithin)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		l.dropped(int(l.taken.Load() - l.passed.Load()))
		return nil
	}
}

// countingWriter counts the writes that have ended. It has no Close, which would close
// the output with the diode.
type countingWriter struct {
	output io.Writer
	lines  *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	defer w.lines.Add(1)
	return w.output.Write(p)
}
