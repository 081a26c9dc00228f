package routing

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures that ejects a backend server.
	ejectAfterFailures = 3
	// firstEjection is the length of the first ejection. It doubles with each consecutive
	// ejection, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// ejectionState ejects a backend server after consecutive failures.
type ejectionState struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

func (e *ejectionState) fail(now time.Time) {
	e.failures++
	if e.failures < ejectAfterFailures || now.Before(e.ejectedUntil) {
		return
	}
	duration := min(firstEjection<<min(e.ejections, 10), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(duration)
}

func (e *ejectionState) succeed() { *e = ejectionState{} }

func (e *ejectionState) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }
