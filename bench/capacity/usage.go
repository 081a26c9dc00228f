// Package capacity measures the processor time and memory of entries and sidecars
// under load, and fits the cost of each request, token and configuration change. The
// capacity page is computed from these costs.
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

// clockTick is the unit of processor times in /proc on Linux (USER_HZ = 100).
const clockTick = 10 * time.Millisecond

// Indices of the fields of /proc/PID/stat that follow the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// StatError reports that the resource usage of a process can't be read from /proc.
type StatError struct {
	Process string
	Cause   error
}

func (e *StatError) Error() string {
	return fmt.Sprintf("figures of process %s: %v", e.Process, e.Cause)
}

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Cause }

// Usage is the resource usage of the processes of one role.
type Usage struct {
	Processes int
	CPU       time.Duration
	// ResidentBytes is the resident memory of the largest process.
	ResidentBytes uint64
}

// ReadUsage returns the resource usage of a role's processes. It returns a StatError
// if a process has ended.
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
