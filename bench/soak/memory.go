package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// StatError reports that the memory use of a process could not be read.
type StatError struct {
	Process string
	Cause   error
}

func (e *StatError) Error() string { return "memory of " + e.Process + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Cause }

// peakBytes returns the peak resident memory of a process, in bytes.
func peakBytes(p *deploy.Process, name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, errors.WithStack(&StatError{Process: name, Cause: err})
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10, errors.WithStack(err)
		}
	}
	return 0, errors.WithStack(&StatError{Process: name, Cause: os.ErrNotExist})
}

// checkMemory checks that the peak memory of each process does not exceed the memory of its
// machine.
func (b *testbed) checkMemory() (violations []string) {
	for _, m := range append(append([]*machine{}, b.entries...), b.sidecars...) {
		peak, err := peakBytes(m.process, m.Name)
		if err != nil {
			violations = append(violations, err.Error())
		}
		if peak > standin.MemoryMB<<20 {
			violations = append(violations, fmt.Sprintf("%s had %d MB resident, its machine has %d", m.Name, peak>>20, standin.MemoryMB))
		}
	}
	return violations
}
