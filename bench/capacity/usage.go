// Package capacity measures what entries and sidecars cost in processor time and
// memory, and fits slopes: a cost for each request, each token and each change of
// the configuration. The capacity page is worked out from these slopes.
package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the program's name, counted from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// StatError says that the kernel's figures of a process could not be read.
type StatError struct {
	Process string
	Cause   error
}

func (e *StatError) Error() string {
	return fmt.Sprintf("figures of process %s: %v", e.Process, e.Cause)
}

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Cause }

// Usage is what the processes of one role have used.
type Usage struct {
	Processes int
	CPU       time.Duration
	// ResidentBytes is the largest resident memory of one process.
	ResidentBytes uint64
}

// ReadUsage adds up the processes of a role.
func ReadUsage(d *deploy.Deployment, role platform.Role) (Usage, error) {
	var total Usage
	for _, p := range d.Processes() {
		if !strings.HasPrefix(p.Name, string(role)) {
			continue
		}
		cpu, err := readCPU(p)
		if err != nil {
			return Usage{}, err
		}
		resident, err := readResident(p)
		if err != nil {
			return Usage{}, err
		}
		total.Processes++
		total.CPU += cpu
		total.ResidentBytes = max(total.ResidentBytes, resident)
	}
	return total, nil
}

func readCPU(p *deploy.Process) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.WithStack(&StatError{Process: p.Name, Cause: err})
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	var ticks int64
	for _, index := range []int{statUserTime, statSystemTime} {
		n, err := strconv.ParseInt(fields[index], 10, 64)
		if err != nil {
			return 0, errors.WithStack(&StatError{Process: p.Name, Cause: err})
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

func readResident(p *deploy.Process) (uint64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/statm")
	if err != nil {
		return 0, errors.WithStack(&StatError{Process: p.Name, Cause: err})
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0, errors.WithStack(&StatError{Process: p.Name, Cause: err})
	}
	return pages * uint64(os.Getpagesize()), nil
}
