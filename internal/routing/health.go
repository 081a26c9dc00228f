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

func (h *ejectionState) fail(now time.Time) {
	h.failures++
	if h.failures < ejectAfterFailures || now.Before(h.ejectedUntil) {
		return
	}
	duration := min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(duration)
}

func (h *ejectionState) succeed() { *h = ejectionState{} }

func (h *ejectionState) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
