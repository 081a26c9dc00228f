package main

import (
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sys/unix"

	"github.com/lagoonlane/lagoonlane/internal/callerconn"
	"github.com/lagoonlane/lagoonlane/internal/connguard"
)

const (
	// connectionBytes is the memory of a connection without a request: its goroutine, its buffers and the kernel's.
	connectionBytes = 24 << 10
	// publicDescriptorShare and internalDescriptorShare are the shares of the descriptors for connections of callers
	// and for those at the other addresses. The rest is left for connections that the process opens itself.
	publicDescriptorShare   = 0.5
	internalDescriptorShare = 0.2
	// publicConnectionsShare and internalConnectionsShare are the shares of the memory that connections may hold, and
	// publicHeadsShare and internalHeadsShare those of incomplete heads.
	publicConnectionsShare   = 0.25
	internalConnectionsShare = 0.1
	publicHeadsShare         = 0.04
	internalHeadsShare       = 0.02
	// minHeadBytes bounds the size of a head from below; callers whose heads are over the configuration's limit, but
	// not over this one, are told so.
	minHeadBytes = 64 << 10
	// headLimitFactor is the same bound as a multiple of the configuration's limit.
	headLimitFactor = 2
	// internalHeadBytes is the largest head at the other addresses, with room for what follows it in one read.
	internalHeadBytes = 80 << 10
	// ownBufferedBytesShare is the share of the memory for request bodies on our own interface.
	ownBufferedBytesShare = 0.375
	// streamBytes is the memory of a running request of HTTP/2: its goroutines, buffers and header. internalStreamsShare
	// is the share of the memory for those without a peer key.
	streamBytes          = 32 << 10
	internalStreamsShare = 0.05
	// defaultMemoryBytes is assumed if the memory of the machine isn't known, and defaultDescriptors if the number
	// of descriptors isn't.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
)

// connectionGuards guard the listeners of a process.
type connectionGuards struct{ public, internal *connguard.Guard }

// machineLimits are the limits of a process's machine; 0 if they aren't known.
type machineLimits struct {
	memoryBytes int64
	descriptors int
	// openStreams says that HTTP/2 requests need no peer key, and are bounded by their number.
	openStreams bool
}

// newConnectionGuards returns guards within the limits of a machine. publicHeadBytes returns the largest head of a caller.
func newConnectionGuards(limits machineLimits, publicHeadBytes func() int64, logger zerolog.Logger, meter metric.Meter) (connectionGuards, error) {
	if limits.memoryBytes <= 0 {
		limits.memoryBytes = defaultMemoryBytes
	}
	if limits.descriptors <= 0 {
		limits.descriptors = openFileLimit()
	}
	internalStreams := int64(0)
	if limits.openStreams {
		internalStreams = int64(internalStreamsShare * float64(limits.memoryBytes) / streamBytes)
	}
	newGuard := func(name string, headBytes func() int64, descriptors, connections, heads float64, streams int64) (*connguard.Guard, error) {
		return connguard.New(connguard.Options{
			Name: name, Logger: logger, Meter: meter,
			Limits: connguard.Limits{
				Connections:    max(1, int(min(descriptors*float64(limits.descriptors), connections*float64(limits.memoryBytes)/connectionBytes))),
				HeadBytes:      headBytes,
				TotalHeadBytes: int64(heads * float64(limits.memoryBytes)),
				Streams:        streams,
			},
		})
	}
	var guards connectionGuards
	var err error
	if guards.public, err = newGuard("public", publicHeadBytes, publicDescriptorShare, publicConnectionsShare, publicHeadsShare, 0); err != nil {
		return guards, err
	}
	guards.internal, err = newGuard("internal", func() int64 { return internalHeadBytes }, internalDescriptorShare, internalConnectionsShare, internalHeadsShare, internalStreams)
	return guards, errors.WithMessage(err, "connection guards")
}

// openFileLimit returns the number of descriptors that the process may open.
func openFileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 || limit.Cur > 1<<30 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}

// protectPublic makes the server of a front door report its connections to a guard. Its handler must be set.
func (g connectionGuards) protectPublic(server *http.Server) { g.public.Protect(server) }

// protectInternal is protectPublic for the servers of the other addresses. These have no callerconn.Server, which bounds
// bodies that a handler doesn't read.
func (g connectionGuards) protectInternal(server *http.Server) {
	server.Handler = callerconn.BoundUnreadBody(server.Handler)
	g.internal.Protect(server)
}
