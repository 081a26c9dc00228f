package telemetry

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// logBuffer is the number of log lines that are kept when the output is slower than
// the process; older ones are dropped then.
const logBuffer = 4096

// NewLossyWriter returns a writer that never blocks. Lines that w is too slow for are
// dropped and counted by dropped.
func NewLossyWriter(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, logBuffer, 0, dropped)
}
