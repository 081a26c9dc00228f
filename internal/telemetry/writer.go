package telemetry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBuffer is the number of log lines that are kept when the output is slower than
	// the process; older ones are dropped then.
	logBuffer = 4096
	// lastLinesWithin bounds the wait for the last lines at the end of a process: less than
	// half of the time that roles keep between their last request and the kill.
	lastLinesWithin = 200 * time.Millisecond
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

// NewLossyWriter returns a writer that never blocks. Lines that w is too slow for are
// dropped and counted by dropped. Closing it leaves w open.
func NewLossyWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return &lossyWriter{diode.NewWriter(struct{ io.Writer }{w}, logBuffer, 0, dropped)}
}

type lossyWriter struct{ diode.Writer }

// Close writes the lines that are left, as far as the output takes them in time.
func (w *lossyWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- w.Writer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(lastLinesWithin):
		// The output has stalled: there is nowhere left to tell of it.
		return nil
	}
}
