package routing

import "fmt"

// Reason is the reason why no backend server can be chosen.
type Reason string

// Reasons of a NoServerError.
const (
	// ReasonNoServer: the instance list contains none for the pool.
	ReasonNoServer Reason = "the pool has no backend server"
	// ReasonVersion: no usable backend server of the pool runs the version.
	ReasonVersion Reason = "no backend server runs the version"
	// ReasonExcluded: every backend server was tried already or is ejected.
	ReasonExcluded Reason = "each backend server was tried or has failed"
	// ReasonShed: every queue is full of tiers with precedence.
	ReasonShed Reason = "each queue is full of tiers that go first"
	// ReasonDraining: all backend servers are leaving or draining.
	ReasonDraining Reason = "each backend server is leaving"
)

// NoServerError is returned if no backend server can take a request now.
type NoServerError struct {
	Pool    string
	Version string
	Reason  Reason
}

func (e *NoServerError) Error() string {
	return fmt.Sprintf("pool %s, version %q: %s", e.Pool, e.Version, e.Reason)
}

// NoVersionError is returned if a route has no version that may take requests.
type NoVersionError struct{ Route string }

func (e *NoVersionError) Error() string {
	return fmt.Sprintf("route %s has no version in service", e.Route)
}
