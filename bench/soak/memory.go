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

// StatError says that the memory of a process could not be read.
type StatError struct {
	Process string
	Cause   error
}

func (e *StatError) Error() string { return "memory of " + e.Process + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Cause }

// peakBytes returns the most memory that a process ever had resident.
func peakBytes(p *deploy.Process, name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
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

// checkMemory: no process has more memory than its machine.
func (w *world) checkMemory() (violations []string) {
	for _, m := range append(append([]*machine{}, w.entries...), w.sidecars...) {
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
