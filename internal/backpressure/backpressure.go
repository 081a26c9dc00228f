// Package backpressure keeps what backend servers ask of their callers in their answers: a limit on
// the rate of requests, a time without requests, or no more requests at all. A limit on the rate and
// an announced end bind all processes, which exchange what they were told; a time without requests
// binds the process that was told. The package doesn't enforce anything and knows no transport.
package backpressure

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// MinRate is the lowest rate limit that is applied, in requests a second. A server that names a
	// lower one, or 0, still gets a request now and then: only an answer can lift the limit.
	MinRate = 1.0 / 60
	// MaxPause bounds the time without requests that a backend server can ask for.
	MaxPause = 24 * time.Hour
	// withdrawnTTL is how long it is remembered that a limit was withdrawn, so that peers learn of it.
	withdrawnTTL = time.Minute
	// minSidecarActive and sidecarActiveRequests are how long after its last grant the sidecar of an engine
	// with a rate limit counts as active: the longer of a time and that in which the limit allows some
	// requests.
	minSidecarActive      = 2 * time.Second
	sidecarActiveRequests = 2
	// unregisteredTTL is how long the state of a server that isn't registered is kept.
	unregisteredTTL = time.Minute
	// maxServers bounds the servers with kept state.
	maxServers = 1024
)

// Notice is what a backend server asks of its callers in one answer.
type Notice struct {
	// RateLimit is the rate, in requests a second, that it takes from all callers together; valid if
	// HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// RateLimitUnknown says that the answer doesn't tell whether there is a limit. The previous one
	// then remains.
	RateLimitUnknown bool
	// Leaving says that the server ends soon and takes no more requests.
	Leaving bool
	// ColdLeft is how much longer the server is warming up; 0 if it doesn't say or isn't.
	ColdLeft time.Duration
	// Pause is how long the server wants no further requests from this process; 0 if it doesn't say.
	Pause time.Duration
}

// RateLimit is the rate limit of a backend server.
type RateLimit struct {
	// PerSecond is the number of requests a second from all callers together; 0 if there is no limit.
	PerSecond float64
	// SaidAt is when the server last said so, and Since when it first named this limit.
	SaidAt, Since time.Time
	// By is the id of the process that got the answer.
	By string
}

// Options configures a Tracker. All fields are required.
type Options struct {
	// ID is the id of this process.
	ID string
	// Now returns the current time.
	Now    func() time.Time
	Logger zerolog.Logger
}

// state is what one incarnation of a backend server asks for.
type state struct {
	limit RateLimit
	// leavingAt is when the server first said that it leaves, to the process leavingBy; zero if it
	// hasn't.
	leavingAt time.Time
	leavingBy string
	// pausedUntil is when this process may send requests again.
	pausedUntil time.Time
	// coldUntil is when the server has warmed up, as it told this process.
	coldUntil time.Time
	// grantedAt is when the sidecar of an engine with a rate limit last granted a slot to any process.
	grantedAt time.Time
	updated   time.Time
}

// known reports whether the limit, or its absence, is known.
func (l RateLimit) known() bool { return !l.SaidAt.IsZero() }

// Block is the wish of a backend server to get no requests.
type Block struct {
	// By is the process that the server told that it leaves, or "" if it doesn't leave.
	By string
	// Left is how long the server wants no requests, if it doesn't leave.
	Left time.Duration
}

// Reason returns why the server wants no requests.
func (b Block) Reason() string {
	if b.By != "" {
		return "it is leaving, as it told " + b.By
	}
	return "it has asked for a pause, of which are left " + b.Left.String()
}
